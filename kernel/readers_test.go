package kernel_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
)

func TestOneNodeReadsForItsDomain(t *testing.T) {
	nodes := []kernel.Peer{{Name: "a", Domain: "x"}, {Name: "b", Domain: "x"}, {Name: "c", Domain: "x"}, {Name: "d", Domain: "y"}}
	readers := map[string]bool{}
	for _, n := range nodes[:3] {
		source, own := kernel.Reader(n.Name, "x", nodes, false, nil)
		if own {
			must.Eq(t, "", source)
			readers[n.Name] = true
			continue
		}
		readers[source] = true
	}
	must.MapLen(t, 1, readers)
	_, own := kernel.Reader("d", "y", nodes, false, nil)
	must.True(t, own)
}

func TestAReaderThatTheStoreTurnsAwayAsksAnother(t *testing.T) {
	nodes := []kernel.Peer{{Name: "a", Domain: "x"}, {Name: "d", Domain: "y"}}
	source, own := kernel.Reader("a", "x", nodes, true, nil)
	must.True(t, own)
	must.Eq(t, "d", source)
	source, _ = kernel.Reader("a", "x", nodes[:1], true, nil)
	must.Eq(t, "", source)
}

// The reader of a failure domain that is cut off from the store still answers others. They turn to
// the next node instead of taking its word until it is old: an endpoint that had left got requests
// for 3.4 s where 3 s were allowed.
func TestAReaderThatTheStoreDoesNotAnswerIsPassedOver(t *testing.T) {
	nodes := []kernel.Peer{{Name: "a", Domain: "x"}, {Name: "b", Domain: "x"}, {Name: "c", Domain: "x"}, {Name: "d", Domain: "y"}}
	order := kernel.Gatherers("reader of x", nodes[:3])
	away := map[string]bool{order[0]: true}
	source, own := kernel.Reader(order[2], "x", nodes, false, away)
	must.False(t, own)
	must.Eq(t, order[1], source)
	_, own = kernel.Reader(order[1], "x", nodes, false, away)
	must.True(t, own, must.Sprint("the next in order reads"))
	source, _ = kernel.Reader(order[0], "x", nodes, true, nil)
	must.Eq(t, order[1], source, must.Sprint("the one cut off asks it"))
	away[order[1]] = true
	source, _ = kernel.Reader(order[0], "x", nodes, true, away)
	must.Eq(t, order[2], source)
}

func TestPatienceGrowsUntilAnAnswerComesWhole(t *testing.T) {
	const usual, most = 2 * time.Second, 7 * time.Second
	patience := kernel.Patience(0, usual, most, false)
	must.EqOp(t, usual, patience)
	for _, step := range []struct {
		inTime bool
		want   time.Duration
	}{{false, 4 * time.Second}, {false, most}, {false, most}, {true, usual}, {true, usual}, {false, 4 * time.Second}} {
		patience = kernel.Patience(patience, usual, most, step.inTime)
		must.EqOp(t, step.want, patience)
	}
}
