package leaving

import (
	"sync"
	"time"
)

const (
	// minSeenAnswers is how many requests of a route must have been answered for its times to be known.
	minSeenAnswers = 5
	// seenWindow is the length of a window. An ended request counts for two to three of them.
	seenWindow = 5 * time.Minute
)

type (
	// Times holds how long the requests of each route take at a node. It is safe for concurrent use.
	Times struct {
		mu     sync.Mutex
		routes map[string]*routeTimes
		last   Number
	}

	// Number identifies a request that is being served.
	Number uint64

	// Duration is how long a request took: Whole from its receipt, SinceSent from the first attempt at an endpoint.
	Duration struct {
		Whole     time.Duration
		SinceSent time.Duration
	}

	// Seen is what a node has seen of the requests of a route, those that are being served included.
	Seen struct {
		// Known is false if too few requests were answered to tell.
		Known bool
		// Longest holds the maximum of each time.
		Longest Duration
	}

	// End is how a request has ended.
	End struct {
		// Answered is true if its caller got the whole answer, and that was no failure.
		Answered bool
		// Sent is true if an endpoint may have got the request.
		Sent bool
	}

	routeTimes struct {
		running map[Number]runningRequest
		// windows holds what ended in the current window, which began at startedAt, and in the two before it.
		windows   [3]endedRequests
		startedAt time.Time
	}

	endedRequests struct {
		answered int
		longest  Duration
	}

	// runningRequest holds when a request was received and first sent; sentAt is zero before that.
	runningRequest struct {
		receivedAt time.Time
		sentAt     time.Time
	}
)

// NewTimes returns times of no requests.
func NewTimes() *Times {
	return &Times{routes: map[string]*routeTimes{}}
}

// Begin records a request that was received at the given time.
func (t *Times) Begin(now, receivedAt time.Time, route string) Number {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.routes[route]
	if r == nil {
		r = &routeTimes{running: map[Number]runningRequest{}, startedAt: now}
		t.routes[route] = r
	}
	t.last++
	r.running[t.last] = runningRequest{receivedAt: receivedAt}
	return t.last
}

// RecordSent records the first attempt at a request.
func (t *Times) RecordSent(now time.Time, route string, n Number) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.routes[route]
	if r == nil {
		return
	}
	if running, known := r.running[n]; known && running.sentAt.IsZero() {
		running.sentAt = now
		r.running[n] = running
	}
}

// End records the end of a request. What no endpoint has got tells nothing of the time that requests need.
func (t *Times) End(now time.Time, route string, n Number, end End) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.routes[route]
	if r == nil {
		return
	}
	running, known := r.running[n]
	delete(r.running, n)
	if !known || !end.Sent {
		return
	}
	r.advance(now)
	current := &r.windows[0]
	current.longest = current.longest.max(running.time(now))
	if end.Answered {
		current.answered++
	}
}

// Seen returns what is known of the requests of a route.
func (t *Times) Seen(now time.Time, route string) Seen {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.routes[route]
	if r == nil {
		return Seen{}
	}
	r.advance(now)
	answered, longest := 0, Duration{}
	for _, w := range r.windows {
		answered += w.answered
		longest = longest.max(w.longest)
	}
	for _, running := range r.running {
		longest = longest.max(running.time(now))
	}
	return Seen{Known: answered >= minSeenAnswers, Longest: longest}
}

// Expire forgets the routes of which nothing was seen lately.
func (t *Times) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, r := range t.routes {
		r.advance(now)
		if len(r.running) == 0 && r.windows == [3]endedRequests{} {
			delete(t.routes, name)
		}
	}
}

// advance begins a new window if the current one is over.
func (r *routeTimes) advance(now time.Time) {
	for range r.windows {
		if now.Sub(r.startedAt) < seenWindow {
			return
		}
		r.windows = [3]endedRequests{{}, r.windows[0], r.windows[1]}
		r.startedAt = r.startedAt.Add(seenWindow)
	}
	r.startedAt = now
}

func (r runningRequest) time(now time.Time) Duration {
	t := Duration{Whole: now.Sub(r.receivedAt)}
	if !r.sentAt.IsZero() {
		t.SinceSent = now.Sub(r.sentAt)
	}
	return t
}

func (t Duration) max(o Duration) Duration {
	return Duration{Whole: max(t.Whole, o.Whole), SinceSent: max(t.SinceSent, o.SinceSent)}
}
