package quarantine_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

func TestLargeFleetHoldsBackPoisonRequest(t *testing.T) {
	for _, tc := range []struct {
		name string
		// pause is how long after one try the next comes.
		interval time.Duration
		// before prepares the fleet.
		prepare func(f *fleet)
	}{
		{"one try in two seconds", 2 * time.Second, func(*fleet) {}},
		{"five tries a second", 200 * time.Millisecond, func(*fleet) {}},
		{"a tenth of the nodes are cut off", time.Second, func(f *fleet) {
			for _, name := range f.names[:fleetSize/10] {
				f.partitioned[name] = true
			}
		}},
		{"the coordinator stands still", time.Second, func(f *fleet) {
			f.unresponsive[kernel.NodesByHash("engines", f.peers("node-0"))[0]] = true
		}},
		{"the store turns a third of the nodes away", time.Second, func(f *fleet) {
			for i, name := range f.names {
				f.withoutStore[name] = i%3 == 0
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, fleetSize)
				tc.prepare(f)
				stats := f.sendRepeatedly(model.NewDigest("poison"), 40, tc.interval)
				t.Logf("%d of 40 tries reached an endpoint; %d calls, %d bytes, %d writes", stats.reached, f.calls, f.bytes, f.writes)
				must.LessEq(t, maxLateAttempts, stats.late)
				// Each node with a request at an end tells two coordinators once, or where one does not answer two more
				// words, and a node asks for each trial.
				messages := 2
				if len(f.unresponsive) > 0 {
					messages = 4
				}
				must.LessEq(t, stats.reached*messages*(concurrentRequests+1)+40, f.calls)
				must.LessEq(t, stats.reached+2, f.writes)
			})
		})
	}
}

// Others may be under way at all the same ends: a stream that is resumed next to the cause each time. They are
// held for as long as it takes to tell them apart, and no longer.
func TestRequestBesideEveryCrashIsServedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, fleetSize)
		bad, good := model.NewDigest("bad"), model.NewDigest("good")
		for range kernel.CrashThreshold {
			f.send(bad, true, good)
			time.Sleep(time.Second)
		}
		crashes := kernel.CrashThreshold
		served := 0
		for range 20 {
			if f.send(bad, true).reached {
				crashes++
			}
			time.Sleep(time.Second)
			if f.send(good, false).reached {
				served++
			}
			time.Sleep(time.Second)
		}
		must.LessEq(t, kernel.CrashThreshold+1, crashes)
		must.GreaterEq(t, 18, served)
	})
}

// A request of which many are under way at any time is at each end of whatever cause. It has been answered in
// between, at some node.
func TestRequestAnsweredByAnyNodeIsServed(t *testing.T) {
	for _, unresponsive := range []bool{false, true} {
		t.Run(fmt.Sprint("coordinator stands still: ", unresponsive), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, fleetSize)
				f.unresponsive[kernel.NodesByHash("engines", f.peers("node-0"))[0]] = unresponsive
				popular := model.NewDigest("popular")
				refused := 0
				for range 30 {
					f.crash(popular)
					for range 10 {
						if f.send(popular, false).refused {
							refused++
						}
						time.Sleep(popularInterval)
					}
				}
				// Once, the news that it is held have to come, and those of its answers.
				must.LessEq(t, int((2*propagationDelay+failureDetectionTime)/popularInterval), refused)
				must.True(t, f.send(popular, false).reached)
				must.SliceEmpty(t, f.held)
			})
		})
	}
}

// Endpoints that live on, and reset connections, say nothing of the requests.
func TestConnectionResetIsNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		digest := model.NewDigest("usual")
		for i := range 20 {
			e := model.Endpoint{Name: fmt.Sprint("alive-", i), Pool: "engines", Address: fmt.Sprint("alive-", i)}
			f.randomNode().RecordDisconnect(e, digest)
			time.Sleep(time.Second)
		}
		must.True(t, f.send(digest, false).reached)
		must.EqOp(t, 0, f.calls)
	})
}

// Nodes come and go; what was found stays, and a coordinator's successor goes on from there.
func TestRestartedNodesKnowHeldRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, fleetSize)
		digest := model.NewDigest("poison")
		f.sendRepeatedly(digest, 5, time.Second)
		for _, name := range append([]string(nil), f.names...) {
			f.startNode(name)
		}
		must.EqOp(t, 0, f.sendRepeatedly(digest, 20, time.Second).reached)
	})
}

// A node that is cut off decides by itself, and tells what it saw when it is back.
func TestPartitionedNodeDecidesAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5)
		digest := model.NewDigest("poison")
		node := f.coordinators["node-0"]
		f.mu.Lock()
		f.partitioned["node-0"] = true
		f.mu.Unlock()
		for i := range kernel.CrashThreshold {
			name := fmt.Sprint("incarnation-", i)
			f.mu.Lock()
			f.crashed[name] = true
			f.mu.Unlock()
			node.RecordDisconnect(model.Endpoint{Name: name, Pool: "engines", Address: name}, digest)
			time.Sleep(time.Second)
		}
		_, refusal := node.Admit(t.Context(), digest)
		must.NotNil(t, refusal)
		must.EqOp(t, model.NotRun, refusal.Verdict)
		must.Positive(t, refusal.RetryAfter)
		f.mu.Lock()
		f.partitioned["node-0"] = false
		f.mu.Unlock()
		time.Sleep(convergenceTime)
		_, refusal = f.coordinators["node-1"].Admit(t.Context(), digest)
		must.NotNil(t, refusal)
	})
}

// Where the store answers nobody, what was found still spreads from node to node.
func TestHoldsSpreadWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 20
		f := newFleet(t, size)
		for _, name := range f.names {
			f.withoutStore[name] = true
		}
		digest := model.NewDigest("poison")
		for range kernel.CrashThreshold {
			f.crash(digest)
			time.Sleep(time.Second)
		}
		time.Sleep(30 * time.Second)
		held := 0
		for _, c := range f.coordinators {
			if c.Len() > 0 {
				held++
			}
		}
		must.Greater(t, size/2, held)
	})
}

// What was seen: with two poison requests that run at the same endpoints, both were under way at each end, and what was
// found of the first one took all ends off the second, which was sent on as a new one.
// The cause: what runs beside a cause at all its ends may be a cause as well; the ends tell nothing of it.
func TestConcurrentPoisonRequestsAreBothHeldBack(t *testing.T) {
	for name, sameEndpoint := range map[string]bool{"at endpoints of their own": false, "at the same endpoints": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, fleetSize)
				allStats := []*attemptStats{{digest: model.NewDigest("one")}, {digest: model.NewDigest("two")}}
				for range 40 {
					f.sendAll(allStats, sameEndpoint)
					time.Sleep(1500 * time.Millisecond)
				}
				for _, stats := range allStats {
					must.LessEq(t, kernel.CrashThreshold+1, stats.reached)
					must.LessEq(t, maxLateAttempts, stats.late)
				}
			})
		})
	}
}
