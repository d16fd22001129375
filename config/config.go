// Package config defines the options of a node and their defaults, and reads them from flags,
// the environment and a YAML file in which unknown keys are errors.
package config

import (
	"io"
	"net"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/peterbourgon/ff/v4"

	"basilstall.example/basilstall/yamldoc"
)

const (
	// EnvPrefix is the prefix of the names of environment variables, as in BASILSTALL_PLATFORM.
	EnvPrefix = "BASILSTALL"

	defaultListen     = "127.0.0.1:0"
	defaultDrainDelay = 2 * time.Second
	defaultDrainLimit = 30 * time.Second
)

type (
	// Options are the options of one node.
	Options struct {
		// Name is the name of the node, unique among the entry hosts.
		Name string
		// FailureDomain is the failure domain of the host.
		FailureDomain string
		// Platform is the address, HOST:PORT, of the platform's table (a store of versioned rows) and its list of hosts
		// and endpoints.
		Platform string
		// CallersListen, OperatorsListen and PeersListen are the listen addresses, HOST:PORT.
		CallersListen   string
		OperatorsListen string
		PeersListen     string
		// OperatorsToken and PeersToken are the tokens that operators and other nodes must present.
		OperatorsToken string
		PeersToken     string
		// PeerSeeds are addresses of other nodes, for a start while the platform's list is unavailable.
		PeerSeeds []string
		// DrainDelay is how long a draining node still accepts requests, so that the load
		// balancer can notice first that it drains.
		DrainDelay time.Duration
		// DrainLimit is the maximum time that a draining node waits for requests in flight.
		DrainLimit time.Duration
		// Plain selects the baseline policies, for comparisons: round robin, no admission control and naive retries.
		Plain bool
		// LogLevel is debug, info, warn or error.
		LogLevel string
	}

	// file is the layout of the YAML file.
	file struct {
		Name            string        `yaml:"Name"`
		FailureDomain   string        `yaml:"FailureDomain"`
		Platform        string        `yaml:"Platform"`
		CallersListen   string        `yaml:"CallersListen"`
		OperatorsListen string        `yaml:"OperatorsListen"`
		PeersListen     string        `yaml:"PeersListen"`
		OperatorsToken  string        `yaml:"OperatorsToken"`
		PeersToken      string        `yaml:"PeersToken"`
		PeerSeeds       []string      `yaml:"PeerSeeds"`
		DrainDelay      time.Duration `yaml:"DrainDelay"`
		DrainLimit      time.Duration `yaml:"DrainLimit"`
		Plain           bool          `yaml:"Plain"`
		LogLevel        string        `yaml:"LogLevel" validate:"omitempty,oneof=debug info warn error"`
	}
)

// NewOptions returns the defaults.
func NewOptions() *Options {
	return &Options{
		CallersListen:   defaultListen,
		OperatorsListen: defaultListen,
		PeersListen:     defaultListen,
		DrainDelay:      defaultDrainDelay,
		DrainLimit:      defaultDrainLimit,
		LogLevel:        "info",
	}
}

// RegisterFlags adds a flag for each option.
func (o *Options) RegisterFlags(fs *ff.FlagSet) {
	fs.StringVar(&o.Name, 0, "name", o.Name, "node name, unique among the entry hosts")
	fs.StringVar(&o.FailureDomain, 0, "failure-domain", o.FailureDomain, "failure domain of the host")
	fs.StringVar(&o.Platform, 0, "platform", o.Platform, "address of the platform's table and list")
	fs.StringVar(&o.CallersListen, 0, "callers-listen", o.CallersListen, "address for callers")
	fs.StringVar(&o.OperatorsListen, 0, "operators-listen", o.OperatorsListen, "address for operators")
	fs.StringVar(&o.PeersListen, 0, "peers-listen", o.PeersListen, "address for other nodes")
	fs.StringVar(&o.OperatorsToken, 0, "operators-token", o.OperatorsToken, "token that operators must show")
	fs.StringVar(&o.PeersToken, 0, "peers-token", o.PeersToken, "token that other nodes must show")
	fs.StringListVar(&o.PeerSeeds, 0, "peer-seeds", "address of another node, repeatable")
	fs.DurationVar(&o.DrainDelay, 0, "drain-delay", o.DrainDelay, "time in which a draining node still takes requests")
	fs.DurationVar(&o.DrainLimit, 0, "drain-limit", o.DrainLimit, "longest wait for requests in flight")
	fs.BoolVar(&o.Plain, 0, "plain", "baseline policies, for comparisons")
	fs.StringVar(&o.LogLevel, 0, "log-level", o.LogLevel, "debug, info, warn or error")
}

// ParseFile parses a YAML file and calls set for each value that it contains. The name is used in errors only.
func ParseFile(name string, r io.Reader, set func(name, value string) error) error {
	data, err := io.ReadAll(r)
	if err != nil {
		return errors.Wrap(err, "config: unable to read the file")
	}
	var f file
	if err := yamldoc.Decode(name, data, &f); err != nil {
		return err
	}
	return f.apply(set)
}

// apply calls set for each value of the file, so that flags and environment variables keep their precedence.
func (f file) apply(set func(name, value string) error) error {
	values := [][2]string{
		{"name", f.Name},
		{"failure-domain", f.FailureDomain},
		{"platform", f.Platform},
		{"callers-listen", f.CallersListen},
		{"operators-listen", f.OperatorsListen},
		{"peers-listen", f.PeersListen},
		{"operators-token", f.OperatorsToken},
		{"peers-token", f.PeersToken},
		{"drain-delay", formatDuration(f.DrainDelay)},
		{"drain-limit", formatDuration(f.DrainLimit)},
		{"log-level", f.LogLevel},
	}
	if f.Plain {
		values = append(values, [2]string{"plain", "true"})
	}
	for _, seed := range f.PeerSeeds {
		values = append(values, [2]string{"peer-seeds", seed})
	}
	for _, v := range values {
		if v[1] == "" {
			continue
		}
		if err := set(v[0], v[1]); err != nil {
			return err
		}
	}
	return nil
}

func formatDuration(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}

// Validate returns an error for the first option that is missing or invalid.
func (o *Options) Validate() error {
	required := [][2]string{
		{"Name", o.Name},
		{"FailureDomain", o.FailureDomain},
		{"Platform", o.Platform},
		{"OperatorsToken", o.OperatorsToken},
		{"PeersToken", o.PeersToken},
	}
	for _, r := range required {
		if r[1] == "" {
			return errors.Errorf("config: %s is missing", r[0])
		}
	}
	if strings.ContainsAny(o.Name, "./ ") {
		return errors.Errorf("config: Name %q contains a dot, a slash or a space", o.Name)
	}
	addresses := [][2]string{
		{"Platform", o.Platform},
		{"CallersListen", o.CallersListen},
		{"OperatorsListen", o.OperatorsListen},
		{"PeersListen", o.PeersListen},
	}
	for _, a := range addresses {
		if _, _, err := net.SplitHostPort(a[1]); err != nil {
			return errors.Errorf("config: %s %q is not HOST:PORT", a[0], a[1])
		}
	}
	return nil
}
