package kernel_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
)

// maxAgeInTouch is how old the routing may be at a node that may act on it, with the shortest bound of the platform's
// deployments: 2 s, less 0.25 s for the request's way to its endpoint.
const maxAgeInTouch = 1750 * time.Millisecond

// A change in the middle of a wait must not let the proof of the routing get twice as old as in calm, nor may a node that begins
// to read wait at first: nodes that were in touch refused requests, as behind, after each change.
func TestReadWaitEndsBeforeProofIsOld(t *testing.T) {
	const maxWait = 900 * time.Millisecond
	now := time.Unix(1000, 0)
	for age, want := range map[time.Duration]time.Duration{0: maxWait, 300 * time.Millisecond: 600 * time.Millisecond, maxWait: 0, 5 * time.Second: 0, -time.Second: maxWait} {
		must.Eq(t, want, kernel.ReadWait(now, now.Add(-age), maxWait), must.Sprint("proof of ", age, " ago"))
	}
	must.Eq(t, 0, kernel.ReadWait(now, time.Time{}, maxWait), must.Sprint("no proof yet"))
	must.Eq(t, 0, kernel.ReadWait(now, now, 0))
}

// The nodes that read the store for the fleet lose it, while all others could read it. The others must learn at once that
// their reader is lost, and one of them must read in time: they went on by the routing that they had for up to 2 s, and asked
// three nodes one after the other before one of them read.
func TestLostReadersLeaveNobodyBehind(t *testing.T) {
	for _, nodes := range []int{3, 8, 76, 400, 1000} {
		for _, lost := range []int{0, 1, 2, 3} {
			for _, silent := range []bool{false, true} {
				if lost < nodes && (nodes < 1000 || lost == 2) {
					t.Run(fmt.Sprintf("%d nodes, %d readers lost, silent %t", nodes, lost, silent), func(t *testing.T) { testLostReaders(t, nodes, lost, silent) })
				}
			}
		}
	}
}

func testLostReaders(t *testing.T, nodes, lost int, silent bool) {
	const duration = 3 * time.Second
	f := newFollowerSim(uint64(nodes+lost), 3, (nodes+2)/3)
	f.run(2*time.Second, noAction)
	order := kernel.NodesByHash("reader", f.peers)[:lost]
	isLost := func(node string) bool { return slices.Contains(order, node) }
	f.storeAnswers, f.storeSilent = func(node string) bool { return !isLost(node) }, silent
	calls := f.totalStoreCalls()
	oldest := time.Duration(0)
	f.run(duration, func() {
		for _, n := range f.nodes {
			if !isLost(n.Name) {
				oldest = max(oldest, f.now.Sub(n.provenAt))
			}
		}
	})
	perSecond := float64(f.totalStoreCalls()-calls) / duration.Seconds()
	t.Logf("oldest routing %s, %.1f calls of the store a second", oldest, perSecond)
	must.LessEq(t, maxAgeInTouch, oldest, must.Sprint("age of the oldest routing at a node that reaches the store"))
	// Each lost reader asks as often as it may, and a few nodes read in their place.
	must.Less(t, 30, perSecond, must.Sprint("calls to the store a second"))
}
