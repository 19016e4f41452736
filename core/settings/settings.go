// Package settings reads and checks the settings file of one daemon process: its
// addresses, its failure domain and the addresses of the platform's services.
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"slices"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/strictyaml"
)

// Settings are the settings of one daemon. Configuration that applies to the whole fleet
// is in the operator's configuration text instead.
type Settings struct {
	Name                string          `yaml:"Name"`                // Name of the instance.
	Domain              ident.DomainID  `yaml:"Domain"`              // Failure domain of the instance.
	CallerAddress       ident.Address   `yaml:"CallerAddress"`       // Address on which callers are served.
	PeerAddress         ident.Address   `yaml:"PeerAddress"`         // Address to which other instances connect.
	PeerListenAddress   ident.Address   `yaml:"PeerListenAddress"`   // Address on which the instance listens for other instances, if a proxy forwards PeerAddress to it; empty means PeerAddress.
	OperatorAddress     ident.Address   `yaml:"OperatorAddress"`     // Address on which operators are served.
	StoreAddresses      []ident.Address `yaml:"StoreAddresses"`      // Addresses of the platform's key-value service.
	InstanceListAddress ident.Address   `yaml:"InstanceListAddress"` // Address of the platform's instance list; may be empty.
	FirstPeers          []ident.Address `yaml:"FirstPeers"`          // Peer addresses through which other instances are discovered.
	TLS                 TLS             `yaml:"TLS"`                 // TLS of the connections between instances; empty means no TLS.
	LogLevel            string          `yaml:"LogLevel"`            // debug, info, warn or error.
	AdmissionLog        string          `yaml:"AdmissionLog"`        // File to which a line for each admission is written; empty means none.
	HeartbeatMS         int64           `yaml:"HeartbeatMS"`         // Interval of heartbeats inside the failure domain.
	BalancerDelayMS     int64           `yaml:"BalancerDelayMS"`     // Time that the load balancer needs to notice a stopping instance.
	Backups             bool            `yaml:"Backups"`             // Copy the memory of streams to a second engine, where their service can, so that they go on there if the first one fails. False if left out, as copies take memory and bandwidth of other streams; only for Deployment Platform.
	OrderLeaseMS        int64           `yaml:"OrderLeaseMS"`        // Duration of the lease of the instance that sends orders to the domain's engines.
	AllowFaults         bool            `yaml:"AllowFaults"`         // Whether tests may inject faults through the operator address.
	Deployment          Deployment      `yaml:"Deployment"`          // Source of the declarations and the engine list.
	MetricsAddress      ident.Address   `yaml:"MetricsAddress"`      // Further address on which metrics are served; may be empty.
	Bounds              Bounds          `yaml:"Bounds"`              // Limits that the platform sets; only for Deployment Platform.
	MemoryMB            float64         `yaml:"MemoryMB"`            // Memory that the process may use, in megabytes; 0 means no limit.
	Zones               Zones           `yaml:"Zones"`               // Region of each failure domain; empty if the platform gives none.
}

// Zones holds the region of each failure domain.
type Zones map[ident.DomainID]ident.RegionID

// Deployment is the source of the declarations (routes, services, organisations) and of
// the engine list.
type Deployment string

// Deployments is a set of deployments.
type Deployments []Deployment

// The deployments.
const (
	OwnText  Deployment = "OwnText"  // From the configuration text that operators apply.
	Platform Deployment = "Platform" // From the platform's store.
)

// Bounds are limits that a platform sets for all daemons together.
type Bounds struct {
	RepeatRatio   float64  `yaml:"RepeatRatio"`   // Largest ratio of repeated calls to requests, for each service.
	RepeatSlack   float64  `yaml:"RepeatSlack"`   // Repeated calls in a window that are allowed regardless of the ratio.
	RepeatWindowS float64  `yaml:"RepeatWindowS"` // Window of RepeatRatio and RepeatSlack, in seconds.
	StopS         float64  `yaml:"StopS"`         // Time from SIGTERM until the platform kills the process, in seconds.
	OrderLeaseMS  int64    `yaml:"OrderLeaseMS"`  // Shortest time between the orders of two successive lease holders.
	ConfigMS      int64    `yaml:"ConfigMS"`      // Time after which an accepted configuration is in force everywhere; 0 if not set.
	DrainMS       int64    `yaml:"DrainMS"`       // Time after which an engine that leaves gets no more requests; 0 if not set.
	EvacuateMS    Optional `yaml:"EvacuateMS"`    // Time after which the engines of an evacuated failure domain get no more requests; 0 if not set.
	ColdOvershoot Optional `yaml:"ColdOvershoot"` // Largest ratio of requests to a cold engine in one second to the rate of its service for cold engines.
	ColdSlack     Optional `yaml:"ColdSlack"`     // Requests to a cold engine in one second that are allowed beyond that ratio.
}

// TLS names the files for mutual TLS between instances.
type TLS struct {
	CertFile string `yaml:"CertFile"` // Certificate of this instance.
	KeyFile  string `yaml:"KeyFile"`  // Private key of this instance.
	CAFile   string `yaml:"CAFile"`   // Certificates of the authority that signs those of the instances.
}

// Enabled reports whether connections between instances use TLS.
func (t TLS) Enabled() bool { return t.CertFile != "" }

// PeerListener returns the address on which the instance listens for other instances.
func (s *Settings) PeerListener() ident.Address {
	if s.PeerListenAddress != "" {
		return s.PeerListenAddress
	}
	return s.PeerAddress
}

// Defaults and ranges of settings.
const (
	defaultHeartbeatMS     = 500
	minHeartbeatMS         = 50
	maxHeartbeatMS         = 10_000
	defaultBalancerDelayMS = 2000
	maxBalancerDelayMS     = 60_000
	defaultOrderLeaseMS    = 10_000
	minOrderLeaseMS        = 2_000
	maxOrderLeaseMS        = 60_000
	maxMemoryMB            = 1_000_000
	maxBound               = 1_000_000 // Largest value of a field of Bounds, in the field's unit.
	defaultLogLevel        = "info"
)

// logLevels are the valid values of LogLevel.
var logLevels = []string{"debug", "info", "warn", "error"}

// Default returns the default settings. Fields that have no default are zero.
func Default() *Settings {
	return &Settings{
		HeartbeatMS:     defaultHeartbeatMS,
		BalancerDelayMS: defaultBalancerDelayMS,
		OrderLeaseMS:    defaultOrderLeaseMS,
		LogLevel:        defaultLogLevel,
		Deployment:      OwnText,
	}
}

// Load reads and checks a settings file.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.BadSettings, "cannot read settings %s", path)
	}
	return Decode(raw)
}

// Decode parses and checks settings in YAML. The error lists all problems, each with its
// line and field.
func Decode(raw []byte) (*Settings, error) {
	s := Default()
	doc, decodeProblems := strictyaml.Decode(raw, s)
	c := checker{strictyaml.NewChecker(doc, decodeProblems)}
	if !doc.InvalidSyntax {
		s.check(c)
	}
	if problems := c.Problems(); len(problems) > 0 {
		return nil, fault.New(fault.BadSettings, "%v", problems)
	}
	return s, nil
}

// check adds the problems of bounds.
func (b Bounds) check(c checker) {
	c.bound("Bounds.RepeatRatio", b.RepeatRatio)
	c.bound("Bounds.RepeatSlack", b.RepeatSlack)
	c.bound("Bounds.RepeatWindowS", b.RepeatWindowS)
	c.bound("Bounds.StopS", b.StopS)
	c.inRange("Bounds.OrderLeaseMS", b.OrderLeaseMS, 0, maxBound)
	c.inRange("Bounds.ConfigMS", b.ConfigMS, 0, maxBound)
	c.inRange("Bounds.DrainMS", b.DrainMS, 0, maxBound)
	c.bound("Bounds.EvacuateMS", float64(b.EvacuateMS))
	c.bound("Bounds.ColdOvershoot", float64(b.ColdOvershoot))
	c.bound("Bounds.ColdSlack", float64(b.ColdSlack))
}

// checker collects the problems of settings.
type checker struct{ *strictyaml.Checker }

// check adds the problems that decoding into typed fields does not find: missing values,
// invalid addresses and numbers out of range.
func (s *Settings) check(c checker) {
	c.required("Name", s.Name)
	c.required("Domain", string(s.Domain))
	c.address("CallerAddress", s.CallerAddress)
	c.address("PeerAddress", s.PeerAddress)
	if s.PeerListenAddress != "" {
		c.address("PeerListenAddress", s.PeerListenAddress)
	}
	c.address("OperatorAddress", s.OperatorAddress)
	if len(s.StoreAddresses) == 0 && !c.Failed("StoreAddresses") {
		c.Add("StoreAddresses", "is missing", "give at least one host:port of the key-value service")
	}
	for i, a := range s.StoreAddresses {
		c.address(fmt.Sprintf("StoreAddresses[%d]", i), a)
	}
	for i, a := range s.FirstPeers {
		c.address(fmt.Sprintf("FirstPeers[%d]", i), a)
	}
	if s.InstanceListAddress != "" {
		c.address("InstanceListAddress", s.InstanceListAddress)
	}
	if s.Deployment != OwnText && s.Deployment != Platform && !c.Failed("Deployment") {
		c.Addf("Deployment", "give OwnText or Platform", "%q is not a deployment", s.Deployment)
	}
	if s.MetricsAddress != "" {
		c.address("MetricsAddress", s.MetricsAddress)
	}
	c.inRange("HeartbeatMS", s.HeartbeatMS, minHeartbeatMS, maxHeartbeatMS)
	c.inRange("BalancerDelayMS", s.BalancerDelayMS, 0, maxBalancerDelayMS)
	c.inRange("OrderLeaseMS", s.OrderLeaseMS, minOrderLeaseMS, maxOrderLeaseMS)
	if valid := s.MemoryMB >= 0 && s.MemoryMB <= maxMemoryMB; !valid && !c.Failed("MemoryMB") { // NaN is not valid.
		c.Addf("MemoryMB", fmt.Sprintf("give 0 to %d", maxMemoryMB), "%g is out of range", s.MemoryMB)
	}
	s.Bounds.check(c)
	if !slices.Contains(logLevels, s.LogLevel) && !c.Failed("LogLevel") {
		c.Addf("LogLevel", "give debug, info, warn or error", "%q is not a level", s.LogLevel)
	}
	if s.TLS.Enabled() && (s.TLS.KeyFile == "" || s.TLS.CAFile == "") {
		c.Add("TLS", "is incomplete", "give CertFile, KeyFile and CAFile together")
	}
}

// required adds a problem if a field is empty.
func (c checker) required(path, value string) {
	if value == "" && !c.Failed(path) {
		c.Add(path, "is missing", "write a name")
	}
}

// address adds a problem if a field does not hold an IP address and a port.
func (c checker) address(path string, a ident.Address) {
	const hint = "give an IP number and a port, such as 127.0.0.1:8080"
	if c.Failed(path) {
		return
	}
	if a == "" {
		c.Add(path, "is missing", hint)
		return
	}
	if _, err := netip.ParseAddrPort(string(a)); err != nil {
		c.Addf(path, hint, "%q is not an address", a)
	}
}

// bound adds a problem if a value is not a number from 0 to maxBound.
func (c checker) bound(path string, value float64) {
	if inRange := value >= 0 && value <= maxBound; !inRange && !c.Failed(path) { // NaN is not in the range.
		c.Addf(path, fmt.Sprintf("give 0 to %d", maxBound), "%g is out of range", value)
	}
}

// inRange adds a problem if a number is below lowest or above highest.
func (c checker) inRange(path string, value, lowest, highest int64) {
	if (value < lowest || value > highest) && !c.Failed(path) {
		c.Addf(path, fmt.Sprintf("give %d to %d", lowest, highest), "%d is out of range", value)
	}
}
