package standin

import (
	"os"
	"time"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/yamldoc"
)

type (
	// Config configures a stand-in.
	Config struct {
		// Platform is the address on which the platform's services listen, HOST:PORT; port 0 takes any free port.
		Platform string `yaml:"Platform" validate:"required"`
		// ListLag is the delay with which the list shows a change; 0 shows changes at once.
		ListLag time.Duration `yaml:"ListLag"`
		// TableDelay is added to each call to the table.
		TableDelay time.Duration `yaml:"TableDelay"`
		Pools      []PoolConfig  `yaml:"Pools" validate:"dive"`
		// Settings are the documents that the table holds from the start.
		Settings []SettingsFile `yaml:"Settings" validate:"dive"`
	}

	// PoolConfig configures a pool of identical endpoints.
	PoolConfig struct {
		Name string          `yaml:"Name" validate:"required"`
		Kind model.StageKind `yaml:"Kind" validate:"required,oneof=Encode Retrieve Rerank Generate Call"`
		// Endpoints is the number of endpoints, which are spread evenly over FailureDomains.
		Endpoints      int      `yaml:"Endpoints"      validate:"gte=1,lte=1000"`
		FailureDomains []string `yaml:"FailureDomains" validate:"required,min=1"`
		// Versions are the software versions of the endpoints, in turn; none if it is empty.
		Versions []string `yaml:"Versions"`
		// Host is the address on which the endpoints listen; if empty, each gets its own loopback address.
		Host string `yaml:"Host"`
		// FirstPort is the first endpoint's port, and each further endpoint has the next one; 0 takes any free ports.
		FirstPort int `yaml:"FirstPort"`
		// Slots is the number of calls that an endpoint processes concurrently.
		Slots int `yaml:"Slots" validate:"gte=1"`
		// StatesContention makes the endpoints state their contention with their loads: 1 unless FaultContend is active.
		StatesContention bool `yaml:"StatesContention"`
		// ServiceTime is the processing time of a call; for an engine, the time to the first token.
		ServiceTime time.Duration `yaml:"ServiceTime"`
		// PromptTime is added to an engine's time to the first token for each KiB of the prompt. A cached prefix
		// divides it by cachedPrefixSpeedup.
		PromptTime time.Duration `yaml:"PromptTime"`
		// TokenTime is the time between two tokens of an engine.
		TokenTime time.Duration `yaml:"TokenTime"`
		// HonoursFencing makes the pool's engines refuse orders with a fencing number below the highest accepted one.
		HonoursFencing bool `yaml:"HonoursFencing"`
		// MostAdapters is the maximum number of loaded adapters that an engine reports; it accepts load orders beyond it.
		// With 0, calls need no loaded adapter.
		MostAdapters int `yaml:"MostAdapters" validate:"gte=0"`
		// LoadTime is how long an engine takes to load an adapter from the weight store.
		LoadTime time.Duration `yaml:"LoadTime"`
	}

	// SettingsFile is one settings document, given as a file or inline. File takes precedence.
	SettingsFile struct {
		Path string `yaml:"Path" validate:"required"`
		// File is a path relative to the working directory; YAML is the document itself.
		File string `yaml:"File"`
		YAML string `yaml:"YAML"`
	}
)

// versionOf returns the software version of an endpoint, counted from 0; empty if none is configured.
func (p PoolConfig) versionOf(endpoint int) string {
	if len(p.Versions) == 0 {
		return ""
	}
	return p.Versions[endpoint%len(p.Versions)]
}

// ReadConfig reads a configuration file; unknown keys are errors.
func ReadConfig(file string) (Config, error) {
	var c Config
	data, err := os.ReadFile(file)
	if err != nil {
		return c, errors.Wrap(err, "standin: unable to read the configuration")
	}
	return c, yamldoc.Decode(file, data, &c)
}
