package kernel

import (
	"maps"
	"slices"
	"time"
)

const (
	// PermitLifetime is how long after it was requested a permit may be used: short enough that the request arrives at
	// about the same time as a send of the node that granted the permit.
	PermitLifetime = 300 * time.Millisecond
	// permitRetryDelay is how long a node is not asked again that did not answer, or that does not share the cap.
	permitRetryDelay = time.Second
	// maxPermitWait is the maximum time until a node's turn. Together with the order of turns it bounds the permit
	// requests that one node receives.
	maxPermitWait = 5 * time.Second
)

type (
	// Permits is what a node knows of the other nodes that share the rate cap of an endpoint and may grant it a permit
	// to send one request in their place. It is immutable.
	PermitRequester struct {
		// sharers are the nodes that share the cap, ordered by rendezvous hash.
		sharers []string
		// skippedUntil holds by node until when it is not asked again.
		skippedUntil map[string]time.Time
	}

	// PermitIssuer counts, at a node that shares the rate cap of an endpoint, the permit requests denied since the node
	// last sent or granted a permit. It is immutable.
	PermitIssuer struct {
		sentAt time.Time
		denied int
	}
)

// CapSharers returns the nodes that share the rate cap of an endpoint.
func CapSharers(now time.Time, nodes SettledNodes, incarnation string) []string {
	return nodes.TopRanked(now, incarnation, maxCapSharers)
}

// WithSharers returns a copy in which the given nodes share the cap. The node itself may be among them and is left out.
func (p PermitRequester) WithSharers(sharers []string, self string) PermitRequester {
	out := PermitRequester{skippedUntil: map[string]time.Time{}}
	for _, name := range sharers {
		if name == self {
			continue
		}
		out.sharers = append(out.sharers, name)
		if until, denied := p.skippedUntil[name]; denied {
			out.skippedUntil[name] = until
		}
	}
	return out
}

// WithDenial returns a copy after a sharer denied a permit and named a wait. A wait of 0 stands for a sharer that did
// not answer.
func (p PermitRequester) WithDenial(now time.Time, sharer string, wait time.Duration) PermitRequester {
	if wait <= 0 {
		wait = permitRetryDelay
	}
	out := PermitRequester{sharers: p.sharers, skippedUntil: map[string]time.Time{}}
	maps.Copy(out.skippedUntil, p.skippedUntil)
	out.skippedUntil[sharer] = now.Add(wait)
	return out
}

// Choose returns a sharer that may be asked now. The draw is uniform between 0 and 1.
func (p PermitRequester) Choose(now time.Time, draw float64) (sharer string, ok bool) {
	open := slices.DeleteFunc(slices.Clone(p.sharers), func(name string) bool { return now.Before(p.skippedUntil[name]) })
	if len(open) == 0 {
		return "", false
	}
	return open[min(int(draw*float64(len(open))), len(open)-1)], true
}

// Next returns when the first sharer may be asked again; false where no sharer is known.
func (p PermitRequester) NextRequestAt() (at time.Time, ok bool) {
	for i, name := range p.sharers {
		if until := p.skippedUntil[name]; i == 0 || until.Before(at) {
			at = until
		}
	}
	return at, len(p.sharers) > 0
}

// Permit decides whether a node lets another node send a request to the endpoint in its place. sentAt is when the node
// last sent a request there or granted a permit. A denied node is told when its turn comes, after all nodes denied
// before it, so that few requests for permits are in vain.
func (i PermitIssuer) Decide(now time.Time, v CapView, sentAt time.Time, rank int) (next PermitIssuer, granted bool, wait time.Duration) {
	switch {
	case !v.Cap.Stated:
		// The other node may have learned of a cap that this node does not know of yet. Without a permit it sends no more
		// than before.
		return i, false, permitRetryDelay
	case rank >= maxCapSharers:
		return i, false, permitRetryDelay
	case v.Due(now, sentAt, rank):
		return PermitIssuer{sentAt: now}, true, 0
	}
	if !i.sentAt.Equal(sentAt) {
		i = PermitIssuer{sentAt: sentAt}
	}
	wait = sentAt.Add(v.sendInterval()).Sub(now) + time.Duration(i.denied)*v.sendInterval()
	i.denied++
	return i, false, min(wait, maxPermitWait)
}
