package kernel

import (
	"maps"
	"slices"
	"time"
)

const (
	// PermitLifetime is how long after it was asked for a permit may be used: what it lets through arrives about when
	// the sends of its giver do.
	PermitLifetime = 300 * time.Millisecond
	// permitRetryPause is how long a node is not asked again that did not answer, or does not share the cap.
	permitRetryPause = time.Second
	// maxPermitWait is the longest that a node has to wait for its turn. Together with the turns it bounds
	// the questions that one node gets.
	maxPermitWait = 5 * time.Second
)

type (
	// Permits is what a node knows of the others that share an endpoint's rate cap, and that may let it send one request
	// in their place. It is immutable.
	Permits struct {
		// sharers are the nodes that share the cap, by hash.
		sharers []string
		// deniedUntil holds until when each of them is not worth asking.
		deniedUntil map[string]time.Time
	}

	// PermitIssuer counts, at a node that shares an endpoint's rate cap, who was turned away since it last sent or let
	// another node send. It is immutable.
	PermitIssuer struct {
		sentAt time.Time
		denied int
	}
)

// CapSharers returns the nodes that share an endpoint's rate cap.
func CapSharers(now time.Time, nodes SettledNodes, incarnation string) []string {
	return nodes.First(now, incarnation, capSenders)
}

// WithSharers returns the permits where certain nodes share the cap, this one possibly among them.
func (p Permits) WithSharers(sharers []string, self string) Permits {
	out := Permits{deniedUntil: map[string]time.Time{}}
	for _, name := range sharers {
		if name == self {
			continue
		}
		out.sharers = append(out.sharers, name)
		if until, denied := p.deniedUntil[name]; denied {
			out.deniedUntil[name] = until
		}
	}
	return out
}

// WithDenial returns the permits after a sharer let this node wait for a time; none stands for one that did not answer.
func (p Permits) WithDenial(now time.Time, sharer string, wait time.Duration) Permits {
	if wait <= 0 {
		wait = permitRetryPause
	}
	out := Permits{sharers: p.sharers, deniedUntil: map[string]time.Time{}}
	maps.Copy(out.deniedUntil, p.deniedUntil)
	out.deniedUntil[sharer] = now.Add(wait)
	return out
}

// Choose returns a sharer that is worth asking now; the draw is evenly between 0 and 1.
func (p Permits) Choose(now time.Time, draw float64) (sharer string, ok bool) {
	open := slices.DeleteFunc(slices.Clone(p.sharers), func(name string) bool { return now.Before(p.deniedUntil[name]) })
	if len(open) == 0 {
		return "", false
	}
	return open[min(int(draw*float64(len(open))), len(open)-1)], true
}

// Next returns when the first sharer is worth asking again; false where nobody is known to share the cap.
func (p Permits) Next() (at time.Time, ok bool) {
	for i, name := range p.sharers {
		if until := p.deniedUntil[name]; i == 0 || until.Before(at) {
			at = until
		}
	}
	return at, len(p.sharers) > 0
}

// Permit decides whether a node lets another one send a request to the endpoint in its place, given when it last did so
// or sent one itself, and its place by the endpoint's hash. Who has to wait learns when its turn comes, after all that
// were turned away before, so that few ask in vain.
func (d PermitIssuer) Permit(now time.Time, b CapView, sentAt time.Time, place int) (next PermitIssuer, granted bool, wait time.Duration) {
	switch {
	case !b.Cap.Stated:
		// What this node does not know of, the other one may have learned since: it sends as little as before.
		return d, false, permitRetryPause
	case place >= capSenders:
		return d, false, permitRetryPause
	case b.Due(now, sentAt, place):
		return PermitIssuer{sentAt: now}, true, 0
	}
	if !d.sentAt.Equal(sentAt) {
		d = PermitIssuer{sentAt: sentAt}
	}
	wait = sentAt.Add(b.pause()).Sub(now) + time.Duration(d.denied)*b.pause()
	d.denied++
	return d, false, min(wait, maxPermitWait)
}
