// Package settings holds what one process is told when it starts: its
// addresses, its failure domain and where the platform's services are.
package settings

import (
	"fmt"
	"net"
	"os"
	"strings"

	"go.yaml.in/yaml/v3"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
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
	AllowFaults         bool            `yaml:"AllowFaults"`         // Whether tests may command faults on the operator address.
}

// TLS names the files for mutual TLS between instances.
type TLS struct {
	CertFile string `yaml:"CertFile"`
	KeyFile  string `yaml:"KeyFile"`
	CAFile   string `yaml:"CAFile"`
}

// Enabled reports whether links use TLS.
func (t TLS) Enabled() bool { return t.CertFile != "" }

// Defaults for settings that may be left out.
const (
	defaultHeartbeatMS     = 500
	defaultBalancerDelayMS = 2000
	defaultLogLevel        = "info"
)

// Load reads and checks the settings in a file.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.BadSettings, "cannot read settings %s", path)
	}
	return Decode(raw)
}

// Decode reads and checks settings. Unknown fields are errors.
func Decode(raw []byte) (*Settings, error) {
	s := &Settings{
		HeartbeatMS:     defaultHeartbeatMS,
		BalancerDelayMS: defaultBalancerDelayMS,
		LogLevel:        defaultLogLevel,
	}
	dec := yaml.NewDecoder(strings.NewReader(string(raw)))
	dec.KnownFields(true)
	if err := dec.Decode(s); err != nil {
		return nil, fault.Wrap(err, fault.BadSettings, "settings")
	}
	var root yaml.Node
	if err := yaml.Unmarshal(raw, &root); err != nil {
		return nil, fault.Wrap(err, fault.BadSettings, "settings")
	}
	if problems := s.check(fieldLines(&root)); len(problems) > 0 {
		return nil, fault.New(fault.BadSettings, "%s", strings.Join(problems, "; "))
	}
	return s, nil
}

// fieldLines returns the line of each top-level field.
func fieldLines(root *yaml.Node) map[string]int {
	lines := make(map[string]int)
	if len(root.Content) == 0 {
		return lines
	}
	fields := root.Content[0].Content
	for i := 0; i+1 < len(fields); i += 2 {
		lines[fields[i].Value] = fields[i].Line
	}
	return lines
}

// check returns one message for each wrong field.
func (s *Settings) check(lines map[string]int) []string {
	var problems []string
	report := func(field, format string, args ...any) {
		message := fmt.Sprintf(format, args...)
		problems = append(problems, fmt.Sprintf("line %d: %s: %s", lines[field], field, message))
	}
	if s.Name == "" {
		report("Name", "is missing; give the name of this instance")
	}
	if s.Domain == "" {
		report("Domain", "is missing; give the failure domain of this instance")
	}
	required := []struct {
		field   string
		address ident.Address
	}{
		{"CallerAddress", s.CallerAddress},
		{"PeerAddress", s.PeerAddress},
		{"OperatorAddress", s.OperatorAddress},
	}
	for _, r := range required {
		if message := checkAddress(r.address); message != "" {
			report(r.field, "%s", message)
		}
	}
	if len(s.StoreAddresses) == 0 {
		report("StoreAddresses", "is missing; give at least one host:port of the key-value service")
	}
	lists := map[string][]ident.Address{"StoreAddresses": s.StoreAddresses, "FirstPeers": s.FirstPeers}
	for field, list := range lists {
		for _, a := range list {
			if message := checkAddress(a); message != "" {
				report(field, "%s", message)
			}
		}
	}
	if s.InstanceListAddress != "" {
		if message := checkAddress(s.InstanceListAddress); message != "" {
			report("InstanceListAddress", "%s", message)
		}
	}
	if s.HeartbeatMS < 50 || s.HeartbeatMS > 10_000 {
		report("HeartbeatMS", "is %d; give 50 to 10000", s.HeartbeatMS)
	}
	if s.BalancerDelayMS < 0 {
		report("BalancerDelayMS", "is %d; give 0 or more", s.BalancerDelayMS)
	}
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		report("LogLevel", "is %q; give debug, info, warn or error", s.LogLevel)
	}
	if s.TLS.Enabled() && (s.TLS.KeyFile == "" || s.TLS.CAFile == "") {
		report("TLS", "needs CertFile, KeyFile and CAFile together")
	}
	return problems
}

// checkAddress returns what is wrong with an address, or "".
func checkAddress(a ident.Address) string {
	host, port, err := net.SplitHostPort(string(a))
	if err != nil {
		return fmt.Sprintf("%q is not host:port, such as 127.0.0.1:8080", a)
	}
	if net.ParseIP(host) == nil {
		return fmt.Sprintf("%q does not start with an IP number, such as 127.0.0.1:8080", a)
	}
	if port == "" {
		return fmt.Sprintf("%q has no port", a)
	}
	return ""
}
