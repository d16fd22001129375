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
	// fleet is coordinators that call each other within the process, on a clock of its own, and what they have written
	// into the store. Endpoints are only names.
	fleet struct {
		t      *testing.T
		random *rand.Rand

		mu           sync.Mutex
		coordinators map[string]*quarantine.Coordinator
		names        []string
		// cut nodes reach no other and hear nothing of the store.
		cut map[string]bool
		// mute nodes answer nothing, and no other node has noticed.
		mute map[string]bool
		// noticed holds which nodes have found out that another is mute.
		noticed map[[2]string]bool
		// deaf nodes are not answered by the store.
		deaf         map[string]bool
		rows         []kernel.HeldRequest
		dead         map[string]bool
		incarnations int
		calls        int
		bytes        int
		writes       int
	}

	// try is what became of one request.
	try struct {
		reached bool
		refused bool
	}

	// tally counts the tries of a poison request that reached an endpoint, and those later than nodes are bound after
	// the third.
	tally struct {
		digest  model.Digest
		reached int
		later   int
		thirdAt time.Time
	}
)

func newFleet(t *testing.T, size int) *fleet {
	f := &fleet{
		t: t, random: rand.New(rand.NewPCG(1, 1)), coordinators: map[string]*quarantine.Coordinator{},
		cut: map[string]bool{}, deaf: map[string]bool{}, mute: map[string]bool{}, noticed: map[[2]string]bool{}, dead: map[string]bool{},
	}
	for i := range size {
		f.start(fmt.Sprint("node-", i))
	}
	return f
}

// start starts a node, in the place of one of the same name; it reads the store first.
func (f *fleet) start(name string) {
	k := quarantine.NewCoordinator(f.t.Context(), name, quarantine.Seams{
		Peers: func() []kernel.Peer { return f.peers(name) },
		Call: func(ctx context.Context, node string, kind peer.Kind, message, reply any) error {
			return f.call(ctx, name, node, kind, message, reply)
		},
		Connect: f.connect,
		Store:   func(_ context.Context, change kernel.QuarantineChange) error { return f.write(name, change) },
	}, time.Now, metric.NewSet(), zerolog.Nop())
	f.mu.Lock()
	if f.coordinators[name] == nil {
		f.names = append(f.names, name)
	}
	f.coordinators[name] = k
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
	k := f.coordinators[to]
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
	for name := range f.coordinators {
		time.AfterFunc(newsTakes, func() {
			f.mu.Lock()
			k, cut := f.coordinators[name], f.cut[name]
			f.mu.Unlock()
			if !cut {
				k.Learn(change)
			}
		})
	}
	return nil
}

// any returns a node that is not cut off.
func (f *fleet) any() *quarantine.Coordinator {
	f.mu.Lock()
	defer f.mu.Unlock()
	for {
		if name := f.names[f.random.IntN(len(f.names))]; !f.cut[name] {
			return f.coordinators[name]
		}
	}
}

// end ends an endpoint: each of the requests breaks off, at a node of its own.
func (f *fleet) end(digests ...model.Digest) {
	f.mu.Lock()
	f.incarnations++
	e := model.Endpoint{Name: fmt.Sprint("incarnation-", f.incarnations), Pool: "engines", Address: fmt.Sprint("incarnation-", f.incarnations)}
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

// note counts a try that reached an endpoint.
func (of *tally) note() {
	of.reached++
	if !of.thirdAt.IsZero() && time.Since(of.thirdAt) > contact {
		of.later++
	}
	if of.reached == kernel.CrashThreshold {
		of.thirdAt = time.Now()
	}
}

// repeat sends a poison request again and again. Others run beside it; they come once more when they were cut.
func (f *fleet) repeat(digest model.Digest, tries int, pause time.Duration) tally {
	of := tally{digest: digest}
	for range tries {
		beside := f.others(besides)
		if f.send(digest, true, beside...).reached {
			of.note()
		}
		time.Sleep(pause)
		for _, d := range beside {
			must.False(f.t, f.send(d, false).refused, must.Sprint("what ran beside is served"))
		}
	}
	return of
}

// sendAll sends several poison requests once: each ends an endpoint of its own, or all of them the same one.
func (f *fleet) sendAll(tallies []*tally, together bool) {
	var sent []model.Digest
	for _, of := range tallies {
		if _, refusal := f.any().Admit(f.t.Context(), of.digest); refusal == nil {
			of.note()
			sent = append(sent, of.digest)
		}
	}
	if together && len(sent) > 0 {
		f.end(sent...)
		return
	}
	for _, d := range sent {
		f.end(d)
	}
}
