// Package fleet starts a complete fleet on loopback for tests and experiments:
// instances of monsoonfork as separate processes, and stand-ins (simulators) for
// the engines, the services, the store and the platform's instance list, each in
// this process or in a process of its own.
package fleet

import (
	"time"

	"monsoonfork/core/ident"
	"monsoonfork/lab/workload"
)

// Capacity and speed of the stand-in engines and services.
const (
	engineSlots              = 20
	engineMemoryPieces       = ident.Pieces(2000)
	engineTokensPerPiece     = ident.Tokens(32)
	engineLinkBytesPerSecond = ident.Bytes(4_000_000_000)
	bytesPerKVToken          = ident.Bytes(100_000)
	prefillRate              = ident.TokensPerSecond(20_000)
	prefillBaseTime          = 5 * time.Millisecond
	interTokenTime           = 15 * time.Millisecond
	batchSlowdown            = 0.5
	orderDuration            = 50 * time.Millisecond
	serviceProcessingTime    = 2 * time.Millisecond
)

// Spec describes a fleet.
type Spec struct {
	Workload      workload.Workload
	Instances     int           // Number of instances, assigned round robin to the failure domains.
	InProcess     bool          // Stand-ins run in this process instead of processes of their own.
	TimeScale     float64       // Factor on all durations in the engines; 0 means 1.
	ListLag       time.Duration // Delay until a change of the instance list becomes visible.
	StoreReads    float64       // Limit of the store on reads per second; 0 means none.
	StoreWrites   float64       // Limit of the store on writes per second; 0 means none.
	ChecksFencing bool          // Every second engine checks fencing numbers; if false, none does.
	AllowFaults   bool          // Instances accept operator commands that cut links.
	Env           []string      // Additional environment variables of instances, as NAME=VALUE.
	LogLevel      string        // Log level of instances; empty means the default setting.
	HeartbeatMS   int64         // Heartbeat interval of instances; 0 means the default setting.
	OrderLease    time.Duration // Lease of the instance that sends orders to a domain's engines; 0 means the default setting.
	BalancerDelay time.Duration // Time that the balancer needs to notice a stopping instance.
	AdmissionLog  bool          // Instances log each admission to a file.
	Seed          uint64        // Seed of the random generators in the engines.
}

// timeScale returns TimeScale, or 1 if it is not set.
func (s Spec) timeScale() float64 {
	if s.TimeScale == 0 {
		return 1
	}
	return s.TimeScale
}

// domain returns the failure domain of the i-th instance, engine or endpoint,
// which are assigned to the domains round robin.
func (s Spec) domain(i int) ident.DomainID {
	return s.Workload.Domains[i%len(s.Workload.Domains)]
}
