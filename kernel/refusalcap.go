package kernel

import (
	"cmp"
	"math"
	"slices"
	"time"

	"basilstall.example/basilstall/model"
)

const (
	// refusalPause is how long a node sends nothing to an endpoint with a refusal cap after the endpoint has refused a
	// request of it: a second, and what requests may be delayed on their way.
	refusalPause = 1100 * time.Millisecond
	// acceptanceDelay is how long after a request a node sends the next one to an endpoint with a refusal cap if it has no
	// answer yet, and half as many under way as the endpoint has accepted: a refusal comes within a few round trips.
	acceptanceDelay = 30 * time.Millisecond
	// windowGrowthInterval is the minimum time between two increases of a refusal window.
	windowGrowthInterval = 300 * time.Millisecond
	// minCeilingTime and maxCeilingTime bound how long a window stays below the size at which a request was refused. The time doubles
	// with each refusal at the same size, so that an endpoint that takes the same all the time refuses little.
	minCeilingTime = 10 * time.Second
	maxCeilingTime = 40 * time.Second
	// maxRefusalBackoff bounds the pause of a sender whose only request is refused again and again: others use the room.
	maxRefusalBackoff = 8 * refusalPause
	// maxRefusalSenders bounds the senders to an endpoint: with more, each would have fewer requests under way than it takes to
	// keep the endpoint busy.
	maxRefusalSenders = 8
	// refusalRoleTTL is how long a node relies on its rank among the senders to an endpoint.
	refusalRoleTTL = 500 * time.Millisecond
	// refusalRoleDelay is how long after its start a node sends nothing to endpoints with refusal caps: until the other nodes
	// have learned of it, and of what it sent before.
	refusalRoleDelay = 3 * time.Second
	// refusalCapRetry is the time after which a caller may retry: by then endpoints have answered some of their requests.
	refusalCapRetry = 300 * time.Millisecond
	// maxRefusalPause bounds the pause of a batcher after a refusal.
	maxRefusalPause = 10 * time.Second
)

// RefusalRole is a node's rank among the senders to an endpoint, as it last found out. It is immutable.
type RefusalRole struct {
	rank     int
	rankedAt time.Time
}

// Expired reports whether the rank has to be found out again.
func (r RefusalRole) Expired(now time.Time) bool {
	return r.rankedAt.IsZero() || now.Sub(r.rankedAt) >= refusalRoleTTL
}

// With returns the role of the node self, which has started at startedAt, by the rendezvous hash of an endpoint's
// incarnation over all announced nodes, whether they answer or not. A node without a name has no others beside it.
func (r RefusalRole) With(now, startedAt time.Time, self, incarnation string, announced []Peer) RefusalRole {
	r = RefusalRole{rank: math.MaxInt, rankedAt: now}
	if now.Sub(startedAt) < refusalRoleDelay || len(announced) == 0 && self != "" {
		return r
	}
	own := rendezvousScore(incarnation, self)
	r.rank = 0
	for _, n := range announced {
		if n.Name != self && rendezvousScore(incarnation, n.Name) > own {
			r.rank++
		}
	}
	return r
}

// RefusalWindow bounds the requests that one node has under way at an endpoint with a refusal cap: the endpoint ends if it
// has to refuse more requests a second, from all nodes together, than it states. The window starts with one request, grows
// while the endpoint accepts as many as it allows, and after a refusal nothing is sent for a while, and for longer not as many
// as were refused. So each sender causes one refusal a second at most, and there are no more senders than refusals. It is immutable.
type RefusalWindow struct {
	// size is how many requests may be under way; 0 stands for one.
	size        int
	grownAt     time.Time
	pausedUntil time.Time
	// ceiling is the greatest size until ceilingUntil, after a request was refused above it; 0 for none. ceilingTime is how long that
	// lasts.
	ceiling      int
	ceilingUntil time.Time
	ceilingTime  time.Duration
	// refusedAlone counts the refusals of an only request since one was accepted.
	refusedAlone int
	// sentAt is when the last request was sent; answered is true if the endpoint has answered one since.
	sentAt   time.Time
	answered bool
}

// RefusalSenders returns how many nodes may send to an endpoint that states a refusal cap and has a number of slots, 0 if
// that is unknown. They are the first by rendezvous hash of the endpoint. One in four refusals, at least one, is left to
// nodes that have not heard of the cap or know other nodes.
func RefusalSenders(stated model.RateCap, slots int) int {
	refusals := int(stated.PerSecond)
	senders := min(refusals-max(1, refusals/4), maxRefusalSenders)
	if slots > 0 {
		senders = min(senders, slots)
	}
	return max(1, senders)
}

// RefusalSenderNames returns the names of the nodes that may send to an incarnation of an endpoint with a refusal cap, of all announced
// ones.
func RefusalSenderNames(stated model.RateCap, slots int, incarnation string, announced []Peer) []string {
	ranked := slices.Clone(announced)
	slices.SortFunc(ranked, func(a, b Peer) int {
		return cmp.Compare(rendezvousScore(incarnation, b.Name), rendezvousScore(incarnation, a.Name))
	})
	var out []string
	for _, p := range ranked[:min(len(ranked), RefusalSenders(stated, slots))] {
		out = append(out, p.Name)
	}
	return out
}

// Admits reports whether a node may send one more request to the endpoint, where inFlight of its requests are under way.
func (w RefusalWindow) Admits(now time.Time, stated model.RateCap, slots int, role RefusalRole, inFlight int) bool {
	if !stated.Stated {
		return true
	}
	senders := RefusalSenders(stated, slots)
	if role.rank >= senders || now.Before(w.pausedUntil) {
		return false
	}
	if inFlight > 0 && 2*inFlight >= w.size && !w.answered && now.Sub(w.sentAt) < acceptanceDelay {
		return false
	}
	limit := max(1, w.size)
	if slots > 0 {
		limit = min(limit, max(1, slots/senders))
	}
	if stated.PerSecond < 1 {
		// The window grows until the endpoint refuses a request, which this one must not have to.
		limit = 1
	}
	return inFlight < limit
}

// WithSend returns the window after a request was sent.
func (w RefusalWindow) WithSend(now time.Time) RefusalWindow {
	w.sentAt, w.answered = now, false
	return w
}

// WithAccepted returns the window after the endpoint has answered a request that it accepted, while inFlight requests, that
// one included, were under way.
func (w RefusalWindow) WithAccepted(now time.Time, inFlight int) RefusalWindow {
	w.answered, w.refusedAlone = true, 0
	atCeiling := w.ceiling > 0 && max(1, w.size) >= w.ceiling && now.Before(w.ceilingUntil)
	if inFlight >= max(1, w.size) && !atCeiling && now.Sub(w.grownAt) >= windowGrowthInterval {
		w.size = max(1, w.size) + 1
		w.grownAt = now
	}
	return w
}

// WithRefused returns the window after the endpoint has refused a request, while inFlight requests, that one included, were
// under way.
func (w RefusalWindow) WithRefused(now time.Time, inFlight int) RefusalWindow {
	w.answered = true
	w.size = max(1, min(w.size, inFlight)-1)
	w.grownAt = now
	if w.size == w.ceiling {
		w.ceilingTime = min(2*w.ceilingTime, maxCeilingTime)
	} else {
		w.ceilingTime = minCeilingTime
	}
	w.ceiling, w.ceilingUntil = w.size, now.Add(w.ceilingTime)
	pause := refusalPause
	if inFlight <= 1 {
		pause = min(refusalPause<<min(w.refusedAlone, 4), maxRefusalBackoff)
		w.refusedAlone++
	}
	w.pausedUntil = now.Add(pause)
	return w
}

// PausedUntil returns when the pause after the last refusal ends.
func (w RefusalWindow) PausedUntil() time.Time {
	return w.pausedUntil
}

// RefusalCapBatcherPause returns how long a batcher makes no call to a worker with a refusal cap after the worker has refused
// one: two batchers may be active at the same time.
func RefusalCapBatcherPause(stated model.RateCap) time.Duration {
	if !stated.Stated {
		return 0
	}
	perBatcher := stated.PerSecond / 2
	if perBatcher*maxRefusalPause.Seconds() <= 1 {
		return maxRefusalPause
	}
	return max(refusalBackoff, time.Duration(float64(refusalPause)/perBatcher))
}

// RefuseRefusalCapped returns the refusal of a request that only endpoints with refusal caps could serve, which may get none
// from this node now.
func RefuseRefusalCapped(pool string) *model.Refusal {
	return model.NewRefusal(model.NotRun, model.EndpointsBrittle, ClampRetryAfter(refusalCapRetry), "the endpoints of pool "+pool+" bear no refusals, and take no more now")
}
