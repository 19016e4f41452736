// Package settings holds what one process is told when it starts: its
// addresses, its failure domain and where the platform's services are.
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

// Settings are the settings of one daemon. All that operators decide for the
// whole fleet stands in the configuration text instead.
type Settings struct {
	Name                string          `yaml:"Name"`                // Name of the instance.
	Domain              ident.DomainID  `yaml:"Domain"`              // Failure domain of the instance.
	CallerAddress       ident.Address   `yaml:"CallerAddress"`       // Where callers are served.
	PeerAddress         ident.Address   `yaml:"PeerAddress"`         // Where other instances connect.
	OperatorAddress     ident.Address   `yaml:"OperatorAddress"`     // Where operators are served.
	StoreAddresses      []ident.Address `yaml:"StoreAddresses"`      // The platform's key-value service.
	InstanceListAddress ident.Address   `yaml:"InstanceListAddress"` // The platform's instance list; may be empty.
	FirstPeers          []ident.Address `yaml:"FirstPeers"`          // Peer addresses to try at start.
	TLS                 TLS             `yaml:"TLS"`                 // For links between instances; empty means none.
	LogLevel            string          `yaml:"LogLevel"`            // debug, info, warn or error.
	AdmissionLog        string          `yaml:"AdmissionLog"`        // File for one line an admission; empty means none.
	HeartbeatMS         int64           `yaml:"HeartbeatMS"`         // Interval of heartbeats inside the domain.
	BalancerDelayMS     int64           `yaml:"BalancerDelayMS"`     // Time that the balancer needs to see a stopping instance.
	OrderLeaseMS        int64           `yaml:"OrderLeaseMS"`        // Lease of the instance that gives orders to the domain's engines.
	AllowFaults         bool            `yaml:"AllowFaults"`         // Whether tests may command faults on the operator address.
	Deployment          Deployment      `yaml:"Deployment"`          // Where declarations and engines come from.
	MetricsAddress      ident.Address   `yaml:"MetricsAddress"`      // Where metrics are served too; may be empty.
	Bounds              Bounds          `yaml:"Bounds"`              // What a platform asks for; only under Deployment Platform.
}

// Deployment says where declarations and engines come from.
type Deployment string

// Deployments are some of the deployments.
type Deployments []Deployment

// The deployments.
const (
	OwnText  Deployment = "OwnText"  // From the text that operators apply.
	Platform Deployment = "Platform" // From the platform's store.
)

// Bounds are what a platform asks of the daemons together.
type Bounds struct {
	RepeatRatio   float64 `yaml:"RepeatRatio"`   // Calls beyond the first, of the requests for a service.
	RepeatSlack   float64 `yaml:"RepeatSlack"`   // Calls beyond the first in a window that are always allowed.
	RepeatWindowS float64 `yaml:"RepeatWindowS"` // Window of both.
	StopS         float64 `yaml:"StopS"`         // From SIGTERM until the process is killed.
	OrderLeaseMS  int64   `yaml:"OrderLeaseMS"`  // Shortest time between orders of two holders.
}

// TLS names the files for mutual TLS between instances.
type TLS struct {
	CertFile string `yaml:"CertFile"` // Certificate of this instance.
	KeyFile  string `yaml:"KeyFile"`  // Its private key.
	CAFile   string `yaml:"CAFile"`   // Certificates that sign those of the instances.
}

// Enabled reports whether links use TLS.
func (t TLS) Enabled() bool { return t.CertFile != "" }

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
	defaultLogLevel        = "info"
)

// logLevels are the values of LogLevel.
var logLevels = []string{"debug", "info", "warn", "error"}

// Default returns the settings that a file need not give.
func Default() *Settings {
	return &Settings{
		HeartbeatMS:     defaultHeartbeatMS,
		BalancerDelayMS: defaultBalancerDelayMS,
		OrderLeaseMS:    defaultOrderLeaseMS,
		LogLevel:        defaultLogLevel,
		Deployment:      OwnText,
	}
}

// Load reads and checks the settings in a file.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.BadSettings, "cannot read settings %s", path)
	}
	return Decode(raw)
}

// Decode reads and checks settings. The error lists all problems, each with
// its line and field.
func Decode(raw []byte) (*Settings, error) {
	s := Default()
	doc, found := strictyaml.Decode(raw, s)
	c := checker{strictyaml.NewChecker(doc, found)}
	if !doc.Unreadable {
		s.check(c)
	}
	if problems := c.Problems(); len(problems) > 0 {
		return nil, fault.New(fault.BadSettings, "%v", problems)
	}
	return s, nil
}

// checker collects the problems of settings.
type checker struct{ *strictyaml.Checker }

// check adds the problems that the types of the fields do not show.
func (s *Settings) check(c checker) {
	c.present("Name", s.Name)
	c.present("Domain", string(s.Domain))
	c.address("CallerAddress", s.CallerAddress)
	c.address("PeerAddress", s.PeerAddress)
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
	c.between("HeartbeatMS", s.HeartbeatMS, minHeartbeatMS, maxHeartbeatMS)
	c.between("BalancerDelayMS", s.BalancerDelayMS, 0, maxBalancerDelayMS)
	c.between("OrderLeaseMS", s.OrderLeaseMS, minOrderLeaseMS, maxOrderLeaseMS)
	if !slices.Contains(logLevels, s.LogLevel) && !c.Failed("LogLevel") {
		c.Addf("LogLevel", "give debug, info, warn or error", "%q is not a level", s.LogLevel)
	}
	if s.TLS.Enabled() && (s.TLS.KeyFile == "" || s.TLS.CAFile == "") {
		c.Add("TLS", "is incomplete", "give CertFile, KeyFile and CAFile together")
	}
}

// present checks that a field has a value.
func (c checker) present(path, value string) {
	if value == "" && !c.Failed(path) {
		c.Add(path, "is missing", "write a name")
	}
}

// address checks that a field holds an IP number and a port.
func (c checker) address(path string, a ident.Address) {
	const right = "give an IP number and a port, such as 127.0.0.1:8080"
	if c.Failed(path) {
		return
	}
	if a == "" {
		c.Add(path, "is missing", right)
		return
	}
	if _, err := netip.ParseAddrPort(string(a)); err != nil {
		c.Addf(path, right, "%q is not an address", a)
	}
}

// between checks the range of a number.
func (c checker) between(path string, value, lowest, highest int64) {
	if (value < lowest || value > highest) && !c.Failed(path) {
		c.Addf(path, fmt.Sprintf("give %d to %d", lowest, highest), "%d is out of range", value)
	}
}
