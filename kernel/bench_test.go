package kernel_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

var benchSink any

func BenchmarkPickTwoChoices(b *testing.B) {
	for _, n := range []int{12, 790} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			cs := candidates(n)
			b.ReportAllocs()
			for b.Loop() {
				benchSink = kernel.PickTwoChoices(testStart, kernel.Usable(testStart, cs, nil), "basauri", rand.Float64(), rand.Float64())
			}
		})
	}
}

func BenchmarkPickPrefix(b *testing.B) {
	for _, n := range []int{12, 790} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			cs := candidates(n)
			b.ReportAllocs()
			for b.Loop() {
				benchSink = kernel.PickPrefix(testStart, cs, "agreement-17")
			}
		})
	}
}

func BenchmarkFairQueue(b *testing.B) {
	for _, n := range []int{5, 740} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			q := kernel.NewFairQueue()
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprint("customer-", i)
				q.Push(&kernel.Waiter{Customer: names[i], Cost: 1, Deadline: testStart})
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				q.Push(&kernel.Waiter{Customer: names[i%n], Cost: 1, Deadline: testStart})
				benchSink = q.Pop()
			}
		})
	}
}

func BenchmarkAhead(b *testing.B) {
	for _, n := range []int{5, 740} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			q := kernel.NewFairQueue()
			for i := range n {
				q.Push(&kernel.Waiter{Customer: fmt.Sprint("customer-", i), Cost: 1, Deadline: testStart})
			}
			b.ReportAllocs()
			for b.Loop() {
				benchSink = q.CostAhead(kernel.Waiter{Customer: "customer-1", Cost: 1, Deadline: testStart})
			}
		})
	}
}

func BenchmarkOwnerOf(b *testing.B) {
	for _, n := range []int{9, 400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			row := kernel.NewClaims(testStart, testStart, testStart.Add(time.Minute), members(n), "w")
			key := timedKey("team/customer/key", testStart)
			b.ReportAllocs()
			for b.Loop() {
				benchSink, _ = row.OwnerOf(key)
			}
		})
	}
}

func BenchmarkLedger(b *testing.B) {
	l := kernel.NewLedger(time.Time{})
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		key := timedKey(fmt.Sprint("key-", i), testStart)
		l.Admit(key, 1, 0)
		l.Finish(key, model.Answer{})
	}
}

func BenchmarkLimitAndBudget(b *testing.B) {
	l := kernel.NewConcurrencyLimit(10, 1, 100)
	budget := kernel.NewRetryBudget()
	load := kernel.PoolLoad{Slots: 48}
	b.ReportAllocs()
	for b.Loop() {
		l = l.WithReply(testStart, time.Millisecond, time.Millisecond, load, 9)
		budget = budget.WithSuccess()
	}
	benchSink = l
}

// BenchmarkHeartbeats measures the heartbeats of one node in a second: two rounds, with the answers of its neighbours.
// It reports the bytes sent.
func BenchmarkHeartbeats(b *testing.B) {
	for _, n := range []int{9, 400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			g := newGossipSim(n)
			for range 60 {
				g.round()
			}
			bytes := 0
			b.ReportAllocs()
			for b.Loop() {
				bytes = simulateSecond(g)
			}
			b.ReportMetric(float64(bytes), "sent-B/s")
		})
	}
}

// simulateSecond runs two rounds of the first node and returns the bytes that it sends. It receives as many heartbeats
// as it sends, and each is answered.
func simulateSecond(g *gossipSim) int {
	node := g.nodes[0]
	sent := 0
	for range 2 {
		g.now = g.now.Add(500 * time.Millisecond)
		for _, info := range node.Members()[1:] {
			node.RecordHeartbeat(g.now, kernel.GossipUpdate{Member: info.Member, Beat: info.Beat, FailureDomain: "d"})
		}
		node.Tick(g.now)
		for range 2 * len(node.Neighbours()) {
			data, _ := msgpack.Marshal(node.PendingUpdates())
			sent += len(data)
		}
	}
	return sent
}

// BenchmarkSettings applies a whole snapshot. It reports the size of the documents and the memory that the settings
// keep.
func BenchmarkSettings(b *testing.B) {
	for _, n := range []int{5, 740, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			snapshot := customersSnapshot(n)
			documentBytes := 0
			for _, d := range snapshot.Documents {
				documentBytes += len(d.YAML)
			}
			before := heapBytes()
			s, _ := kernel.NewSettings().WithSnapshot(snapshot)
			heldBytes := heapBytes() - before
			for b.Loop() {
				benchSink, _ = kernel.NewSettings().WithSnapshot(snapshot)
			}
			b.ReportMetric(float64(documentBytes), "document-B")
			b.ReportMetric(float64(heldBytes)/float64(n), "held-B/customer")
			runtime.KeepAlive(s)
		})
	}
}

// heapBytes returns the size of the live heap.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// customersSnapshot returns a snapshot with 16 teams of one pipeline each, over which the customers are spread.
func customersSnapshot(customers int) model.Snapshot {
	const teams = 16
	s := model.Snapshot{Revision: teams}
	for t := range teams {
		var text strings.Builder
		fmt.Fprintf(&text, "Team: team-%d\nCustomers:\n", t)
		for c := t; c < max(customers, teams); c += teams {
			fmt.Fprintf(&text, "  - {Name: customer-%d, Token: token-of-customer-%d, Weight: 1}\n", c, c)
		}
		text.WriteString("Pipelines:\n  - Name: ask\n    Deadline: 5s\n    Stages:\n")
		text.WriteString("      - {Name: e, Kind: Encode, Pool: encoders}\n      - {Name: g, Kind: Generate, Pool: runners, Model: m}\n")
		s.Documents = append(s.Documents, model.Document{Path: fmt.Sprintf("teams/team-%d", t), Revision: uint64(t + 1), YAML: text.String()})
	}
	return s
}

// BenchmarkNodesByHash orders the nodes by hash, as each look-up of a pool's batcher or of the store's readers does.
func BenchmarkNodesByHash(b *testing.B) {
	for _, n := range []int{9, 400, 4000} {
		nodes := make([]kernel.Peer, n)
		for i := range nodes {
			nodes[i] = kernel.Peer{Name: fmt.Sprint("node-", i), Capacity: 1}
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				benchSink = len(kernel.NodesByHash("pool", nodes))
			}
		})
	}
}

func BenchmarkRegistryChange(b *testing.B) {
	for _, n := range []int{100, 1_000, 10_000, 20_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			listed := fleetEndpoints(n)
			r := kernel.NewRegistry().WithChanges(testStart, testStart, listed, nil, nil)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				r = r.WithChanges(testStart, testStart, listed[i%n:i%n+1], nil, nil)
			}
			benchSink = r
		})
	}
}

func BenchmarkRegistryStart(b *testing.B) {
	listed := fleetEndpoints(10_000)
	b.ReportAllocs()
	for b.Loop() {
		benchSink = kernel.NewRegistry().WithChanges(testStart, testStart, listed, nil, nil)
	}
}

func BenchmarkPickEngine(b *testing.B) {
	for _, n := range []int{64, 790, 5_515} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			engines := engineCandidates(n)
			b.ReportAllocs()
			for b.Loop() {
				benchSink = kernel.PickEngine(testStart, kernel.Usable(testStart, engines, nil), "agreement-17")
			}
		})
	}
}
