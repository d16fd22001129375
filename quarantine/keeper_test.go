package quarantine_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/metric"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/peer"
	"basilstall.example/basilstall/quarantine"
)

const (
	fleetSize = 400
	// besides is how many requests are under way at an endpoint, each at a node of its own.
	besides = 60
	// newsTakes is how long it takes until a node hears of what was written into the store.
	newsTakes = 500 * time.Millisecond
	// silence is after which time a node that does not answer is given up.
	silence = 600 * time.Millisecond
	// contact is after which time all nodes are bound by what was found.
	contact = 3 * time.Second
	// mostLater is how many tries may reach an endpoint later than that.
	mostLater = 3
	// popularPause is how long after one try of a popular request the next comes.
	popularPause = 100 * time.Millisecond
	// mostMessage bounds one word between nodes, in bytes: it fills the slowest links of hosts for 20 ms.
	mostMessage = 25_000
)

var errCut = errors.New("no way to the node")

type (
	// fleet is keepers that call each other within the process, on a clock of its own, and what they have written
	// into the store. Endpoints are only names.
	fleet struct {
		t      *testing.T
		random *rand.Rand

		mu      sync.Mutex
		keepers map[string]*quarantine.Keeper
		names   []string
		// cut nodes reach no other and hear nothing of the store.
		cut map[string]bool
		// mute nodes answer nothing, and no other node has noticed.
		mute map[string]bool
		// noticed holds which nodes have found out that another is mute.
		noticed map[[2]string]bool
		// deaf nodes are not answered by the store.
		deaf   map[string]bool
		rows   []kernel.HeldRequest
		dead   map[string]bool
		lives  int
		calls  int
		bytes  int
		writes int
	}

	// try is what became of one request.
	try struct {
		reached bool
		refused bool
	}
)

func newFleet(t *testing.T, size int) *fleet {
	f := &fleet{
		t: t, random: rand.New(rand.NewPCG(1, 1)), keepers: map[string]*quarantine.Keeper{},
		cut: map[string]bool{}, deaf: map[string]bool{}, mute: map[string]bool{}, noticed: map[[2]string]bool{}, dead: map[string]bool{},
	}
	for i := range size {
		f.start(fmt.Sprint("node-", i))
	}
	return f
}

// start starts a node, in the place of one of the same name; it reads the store first.
func (f *fleet) start(name string) {
	k := quarantine.NewKeeper(f.t.Context(), name, quarantine.Seams{
		Peers: func() []kernel.Peer { return f.peers(name) },
		Call: func(ctx context.Context, node string, kind peer.Kind, message, reply any) error {
			return f.call(ctx, name, node, kind, message, reply)
		},
		Connect: f.connect,
		Store:   func(_ context.Context, change kernel.QuarantineChange) error { return f.write(name, change) },
	}, time.Now, metric.NewSet(), zerolog.Nop())
	f.mu.Lock()
	if f.keepers[name] == nil {
		f.names = append(f.names, name)
	}
	f.keepers[name] = k
	rows := f.rows
	f.mu.Unlock()
	k.Learn(kernel.QuarantineChange{Hold: rows})
}

func (f *fleet) peers(of string) []kernel.Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := []kernel.Peer{{Name: of}}
	for _, name := range f.names {
		if name != of && !f.cut[of] && !f.cut[name] && !f.noticed[[2]string{of, name}] {
			out = append(out, kernel.Peer{Name: name})
		}
	}
	return out
}

func (f *fleet) call(ctx context.Context, from, to string, kind peer.Kind, message, reply any) error {
	body, err := peer.EncodeBody(message)
	if err != nil {
		return err
	}
	f.mu.Lock()
	k := f.keepers[to]
	severed := f.cut[from] || f.cut[to]
	mute := f.mute[to]
	f.calls++
	f.bytes += len(body)
	f.mu.Unlock()
	must.Less(f.t, mostMessage, len(body))
	time.Sleep(2 * time.Millisecond)
	if severed {
		return errCut
	}
	if mute {
		time.Sleep(silence)
		f.mu.Lock()
		f.noticed[[2]string{from, to}] = true
		f.mu.Unlock()
		return errCut
	}
	answer, err := k.Handlers()[kind](ctx, body)
	if err != nil {
		return err
	}
	if body, err = peer.EncodeBody(answer); err != nil {
		return err
	}
	return peer.DecodeBody(body, reply)
}

func (f *fleet) connect(_ context.Context, address string) error {
	time.Sleep(2 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dead[address] {
		return &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	}
	return nil
}

// write writes a change into the store; all nodes that are not cut off hear of it.
func (f *fleet) write(from string, change kernel.QuarantineChange) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cut[from] || f.deaf[from] {
		return errCut
	}
	f.writes++
	f.rows = change.Apply(f.rows)
	for name := range f.keepers {
		time.AfterFunc(newsTakes, func() {
			f.mu.Lock()
			k, cut := f.keepers[name], f.cut[name]
			f.mu.Unlock()
			if !cut {
				k.Learn(change)
			}
		})
	}
	return nil
}

// any returns a node that is not cut off.
func (f *fleet) any() *quarantine.Keeper {
	f.mu.Lock()
	defer f.mu.Unlock()
	for {
		if name := f.names[f.random.IntN(len(f.names))]; !f.cut[name] {
			return f.keepers[name]
		}
	}
}

// end ends an endpoint: each of the requests breaks off, at a node of its own.
func (f *fleet) end(digests ...model.Digest) {
	f.mu.Lock()
	f.lives++
	e := model.Endpoint{Name: fmt.Sprint("life-", f.lives), Pool: "engines", Address: fmt.Sprint("life-", f.lives)}
	f.dead[e.Address] = true
	f.mu.Unlock()
	for _, d := range digests {
		f.any().BrokeOff(e, d)
	}
}

// send sends a request to any node. A poison request ends an endpoint, with others beside it.
func (f *fleet) send(digest model.Digest, poison bool, beside ...model.Digest) try {
	k := f.any()
	if _, refusal := k.Admit(f.t.Context(), digest); refusal != nil {
		return try{refused: true}
	}
	if poison {
		f.end(append(beside, digest)...)
	} else {
		k.Answered(digest)
	}
	return try{reached: true}
}

// others returns the digests of requests that are sent once.
func (f *fleet) others(n int) []model.Digest {
	out := make([]model.Digest, n)
	for i := range out {
		out[i] = model.NewDigest(fmt.Sprint(f.random.Uint64()))
	}
	return out
}

// repeat sends a poison request again and again and returns how many tries reached an endpoint, and how many of
// them later than nodes are bound after the third. Others run beside it; they come once more when they were cut.
func (f *fleet) repeat(digest model.Digest, tries int, pause time.Duration) (reached, later int) {
	var thirdAt time.Time
	for range tries {
		beside := f.others(besides)
		if f.send(digest, true, beside...).reached {
			reached++
			if reached == kernel.CrashesToHold {
				thirdAt = time.Now()
			}
			if !thirdAt.IsZero() && time.Since(thirdAt) > contact {
				later++
			}
		}
		time.Sleep(pause)
		for _, d := range beside {
			must.False(f.t, f.send(d, false).refused, must.Sprint("what ran beside is served"))
		}
	}
	return reached, later
}

func TestAFleetOfHundredsHoldsARequestBack(t *testing.T) {
	for _, tc := range []struct {
		name string
		// pause is how long after one try the next comes.
		pause time.Duration
		// before prepares the fleet.
		before func(f *fleet)
	}{
		{"one try in two seconds", 2 * time.Second, func(*fleet) {}},
		{"five tries a second", 200 * time.Millisecond, func(*fleet) {}},
		{"a tenth of the nodes are cut off", time.Second, func(f *fleet) {
			for _, name := range f.names[:fleetSize/10] {
				f.cut[name] = true
			}
		}},
		{"the keeper stands still", time.Second, func(f *fleet) {
			f.mute[kernel.Gatherers("engines", f.peers("node-0"))[0]] = true
		}},
		{"the store turns a third of the nodes away", time.Second, func(f *fleet) {
			for i, name := range f.names {
				f.deaf[name] = i%3 == 0
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, fleetSize)
				tc.before(f)
				reached, later := f.repeat(model.NewDigest("poison"), 40, tc.pause)
				t.Logf("%d of 40 tries reached an endpoint; %d calls, %d bytes, %d writes", reached, f.calls, f.bytes, f.writes)
				must.LessEq(t, mostLater, later)
				// Each node with a request at an end tells two keepers once, or where one does not answer two more
				// words, and a node asks for each trial.
				words := 2
				if len(f.mute) > 0 {
					words = 4
				}
				must.LessEq(t, reached*words*(besides+1)+40, f.calls)
				must.LessEq(t, reached+2, f.writes)
			})
		})
	}
}

// Others may be under way at all the same ends: a stream that is resumed next to the cause each time. They are
// held for as long as it takes to tell them apart, and no longer.
func TestWhatRanBesideAllEndsIsToldApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, fleetSize)
		bad, good := model.NewDigest("bad"), model.NewDigest("good")
		for range kernel.CrashesToHold {
			f.send(bad, true, good)
			time.Sleep(time.Second)
		}
		ends := kernel.CrashesToHold
		served := 0
		for range 20 {
			if f.send(bad, true).reached {
				ends++
			}
			time.Sleep(time.Second)
			if f.send(good, false).reached {
				served++
			}
			time.Sleep(time.Second)
		}
		must.LessEq(t, kernel.CrashesToHold+1, ends)
		must.GreaterEq(t, 18, served)
	})
}

// A request of which many are under way at any time is at each end of whatever cause. It has been answered in
// between, at some node.
func TestWhatIsAnsweredAnywhereIsServed(t *testing.T) {
	for _, mute := range []bool{false, true} {
		t.Run(fmt.Sprint("keeper stands still: ", mute), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, fleetSize)
				f.mute[kernel.Gatherers("engines", f.peers("node-0"))[0]] = mute
				popular := model.NewDigest("popular")
				refused := 0
				for range 30 {
					f.end(popular)
					for range 10 {
						if f.send(popular, false).refused {
							refused++
						}
						time.Sleep(popularPause)
					}
				}
				// Once, the news that it is held have to come, and those of its answers.
				must.LessEq(t, int((2*newsTakes+silence)/popularPause), refused)
				must.True(t, f.send(popular, false).reached)
				must.SliceEmpty(t, f.rows)
			})
		})
	}
}

// Endpoints that live on, and reset connections, say nothing of the requests.
func TestAConnectionThatBreaksSaysNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		digest := model.NewDigest("usual")
		for i := range 20 {
			e := model.Endpoint{Name: fmt.Sprint("alive-", i), Pool: "engines", Address: fmt.Sprint("alive-", i)}
			f.any().BrokeOff(e, digest)
			time.Sleep(time.Second)
		}
		must.True(t, f.send(digest, false).reached)
		must.EqOp(t, 0, f.calls)
	})
}

// Nodes come and go; what was found stays, and a keeper's successor goes on from there.
func TestNodesThatStartKnowWhatIsHeldBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, fleetSize)
		digest := model.NewDigest("poison")
		f.repeat(digest, 5, time.Second)
		for _, name := range append([]string(nil), f.names...) {
			f.start(name)
		}
		reached, _ := f.repeat(digest, 20, time.Second)
		must.EqOp(t, 0, reached)
	})
}

// A node that is cut off decides by itself, and tells what it saw when it is back.
func TestANodeThatIsCutOffDecidesByItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5)
		digest := model.NewDigest("poison")
		alone := f.keepers["node-0"]
		f.mu.Lock()
		f.cut["node-0"] = true
		f.mu.Unlock()
		for i := range kernel.CrashesToHold {
			name := fmt.Sprint("life-", i)
			f.mu.Lock()
			f.dead[name] = true
			f.mu.Unlock()
			alone.BrokeOff(model.Endpoint{Name: name, Pool: "engines", Address: name}, digest)
			time.Sleep(time.Second)
		}
		_, refusal := alone.Admit(t.Context(), digest)
		must.NotNil(t, refusal)
		must.EqOp(t, model.NotRun, refusal.Verdict)
		must.Positive(t, refusal.RetryAfter)
		f.mu.Lock()
		f.cut["node-0"] = false
		f.mu.Unlock()
		time.Sleep(contact)
		_, refusal = f.keepers["node-1"].Admit(t.Context(), digest)
		must.NotNil(t, refusal)
	})
}

// Where the store answers nobody, what was found still spreads from node to node.
func TestWhatIsFoundSpreadsWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 20
		f := newFleet(t, size)
		for _, name := range f.names {
			f.deaf[name] = true
		}
		digest := model.NewDigest("poison")
		for range kernel.CrashesToHold {
			f.end(digest)
			time.Sleep(time.Second)
		}
		time.Sleep(30 * time.Second)
		held := 0
		for _, k := range f.keepers {
			if k.Len() > 0 {
				held++
			}
		}
		must.Greater(t, size/2, held)
	})
}

// What was seen: with two poison requests that run at the same endpoints, both were under way at each end, and what was
// found of the first one took all ends off the second, which was sent on as a new one.
// The cause: what runs beside a cause at all its ends may be a cause as well; the ends tell nothing of it.
func TestTwoPoisonRequestsAtOnceAreBothHeldBack(t *testing.T) {
	for name, together := range map[string]bool{"at endpoints of their own": false, "at the same endpoints": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, fleetSize)
				pair := []model.Digest{model.NewDigest("one"), model.NewDigest("two")}
				reached, later := map[model.Digest]int{}, map[model.Digest]int{}
				thirdAt := map[model.Digest]time.Time{}
				for range 40 {
					var sent []model.Digest
					for _, d := range pair {
						if _, refusal := f.any().Admit(t.Context(), d); refusal == nil {
							sent = append(sent, d)
						}
					}
					for _, d := range sent {
						reached[d]++
						if at, known := thirdAt[d]; known && time.Since(at) > contact {
							later[d]++
						}
						if reached[d] == kernel.CrashesToHold {
							thirdAt[d] = time.Now()
						}
						if !together {
							f.end(d)
						}
					}
					if together && len(sent) > 0 {
						f.end(sent...)
					}
					time.Sleep(1500 * time.Millisecond)
				}
				for _, d := range pair {
					must.LessEq(t, kernel.CrashesToHold+1, reached[d])
					must.LessEq(t, mostLater, later[d])
				}
			})
		})
	}
}
