package kernel_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
)

func TestOneNodeReadsForItsDomain(t *testing.T) {
	nodes := []kernel.Peer{{Name: "a", Domain: "x"}, {Name: "b", Domain: "x"}, {Name: "c", Domain: "x"}, {Name: "d", Domain: "y"}}
	readers := map[string]bool{}
	for _, n := range nodes[:3] {
		source, own := kernel.Reader(n.Name, "x", nodes, false)
		if own {
			must.Eq(t, "", source)
			readers[n.Name] = true
			continue
		}
		readers[source] = true
	}
	must.MapLen(t, 1, readers)
	_, own := kernel.Reader("d", "y", nodes, false)
	must.True(t, own)
}

func TestAReaderThatTheStoreTurnsAwayAsksAnother(t *testing.T) {
	nodes := []kernel.Peer{{Name: "a", Domain: "x"}, {Name: "d", Domain: "y"}}
	source, own := kernel.Reader("a", "x", nodes, true)
	must.True(t, own)
	must.Eq(t, "d", source)
	source, _ = kernel.Reader("a", "x", nodes[:1], true)
	must.Eq(t, "", source)
}
