package relay

import (
	"time"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// coldDutyMemory is how long it counts whether this node may send to a cold endpoint: about as long as nodes take to
// learn of each other.
const coldDutyMemory = 500 * time.Millisecond

type (
	// coldGate keeps what a pool's cold endpoints get within what they bear.
	coldGate struct {
		share kernel.ColdShare
		self  string
		nodes func() []kernel.Peer
	}

	// coldState is what a node knows of its own sends to an endpoint that is cold.
	coldState struct {
		// sends is whether this node may send at all, as of decidedAt.
		sends     bool
		decidedAt time.Time
		sentAt    time.Time
	}
)

func (r *Relay) coldGate(pool string) coldGate {
	traits, _ := r.View().Table.Pool(pool)
	return coldGate{share: r.options.Cold.Share(traits.ColdRate), self: r.options.Name, nodes: r.announced}
}

// admits tells whether an endpoint may get a request from this node now.
func (g coldGate) admits(now time.Time, e model.Endpoint, s *coldState) bool {
	if g.share.Senders == 0 || !kernel.IsCold(now, e) {
		return true
	}
	if s.decidedAt.IsZero() || now.Sub(s.decidedAt) >= coldDutyMemory {
		s.sends = g.share.Sends(g.self, e, g.nodes())
		s.decidedAt = now
	}
	return s.sends && g.share.Due(now, s.sentAt)
}
