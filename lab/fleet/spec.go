// Package fleet starts a whole fleet on loopback for tests and experiments:
// instances of monsoonfork as real processes, and stand-ins for all that is
// around them, in this process or in their own.
package fleet

import (
	"time"

	"monsoonfork/core/ident"
	"monsoonfork/lab/workload"
)

// Sizes of the engines that the fleet starts.
const (
	engineSlots          = 20
	enginePieces         = ident.Pieces(2000)
	engineTokensPerPiece = ident.Tokens(32)
	engineLinkBytes      = ident.Bytes(4_000_000_000) // A second.
	bytesPerKVToken      = ident.Bytes(100_000)
	prefillRate          = ident.TokensPerSecond(20_000)
	prefillBase          = 5 * time.Millisecond
	interToken           = 15 * time.Millisecond
	batchSlowdown        = 0.5
	orderTime            = 50 * time.Millisecond
	serviceRunTime       = 2 * time.Millisecond
)

// Spec says what a fleet consists of.
type Spec struct {
	Workload     workload.Workload
	Instances    int           // Spread over the failure domains.
	Embedded     bool          // Stand-ins run in this process.
	TimeScale    float64       // Factor on all times of the engines; 0 means 1.
	ListLag      time.Duration // Of the instance list.
	StoreReads   float64       // Limit of calls a second; 0 means none.
	StoreWrites  float64       // Limit of calls a second; 0 means none.
	ChecksFence  bool          // Every second engine checks fencing numbers; otherwise none does.
	AllowFaults  bool          // Instances take commands that cut links.
	Env          []string      // Environment of instances, as NAME=VALUE.
	LogLevel     string        // Of instances; empty means their default.
	HeartbeatMS  int64         // Of instances; 0 means their default.
	OrderLease   time.Duration // Of the instances that give orders to engines; 0 means their default.
	BalancerWait time.Duration // Of instances: time until the balancer has seen a stop.
	AdmissionLog bool          // Instances write one line for each admission.
	Seed         uint64
}

// timeScale returns the factor on all times of the engines.
func (s Spec) timeScale() float64 {
	if s.TimeScale == 0 {
		return 1
	}
	return s.TimeScale
}

// domain returns the failure domain of the i-th of something.
func (s Spec) domain(i int) ident.DomainID {
	return s.Workload.Domains[i%len(s.Workload.Domains)]
}
