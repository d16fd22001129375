package config_test

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/config"
)

func parse(text string) (map[string]string, error) {
	got := map[string]string{}
	err := config.ParseFile("node.yaml", strings.NewReader(text), func(name, value string) error {
		got[name] = value
		return nil
	})
	return got, err
}

func TestFileIsDecodedStrictly(t *testing.T) {
	cases := []struct {
		name string
		text string
		says string
	}{
		{"unknown key", "Name: a\nPlatfrom: 127.0.0.1:1\n", "node.yaml:2: "},
		{"wrong unit", "Name: a\n\nDrainDelay: 5 parsecs\n", "node.yaml:3: "},
		{"no unit", "DrainLimit: five\n", "node.yaml:1: "},
		{"wrong level", "LogLevel: loud\n", "LogLevel"},
		{"not YAML", "Name: [a\n", "node.yaml:"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := parse(c.text)
			must.ErrorContains(t, err, c.says)
		})
	}
}

func TestOnlyGivenValuesAreSet(t *testing.T) {
	got, err := parse("Name: a\nDrainDelay: 3s\nPeerSeeds: [127.0.0.1:1, 127.0.0.1:2]\n")
	must.NoError(t, err)
	must.EqOp(t, "a", got["name"])
	must.EqOp(t, "3s", got["drain-delay"])
	must.EqOp(t, "127.0.0.1:2", got["peer-seeds"])
	must.MapNotContainsKey(t, got, "platform")
}

func TestValidateNamesInvalidOption(t *testing.T) {
	o := config.NewOptions()
	must.ErrorContains(t, o.Validate(), "Name is missing")
	o.Name, o.FailureDomain, o.Platform, o.OperatorsToken, o.PeersToken = "a", "d", "127.0.0.1:1", "t", "t"
	must.NoError(t, o.Validate())
	must.EqOp(t, 2*time.Second, o.DrainDelay)
	o.PeersListen = "nowhere"
	must.ErrorContains(t, o.Validate(), "PeersListen")
	o.Name = "a.b"
	must.ErrorContains(t, o.Validate(), "dot")
}
