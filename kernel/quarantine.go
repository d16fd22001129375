package kernel

import (
	"slices"
	"time"

	"basilstall.example/basilstall/model"
)

const (
	// CrashThreshold is how many processes of endpoints must have ended under a request before it is held back. One
	// or two happen to what merely ran beside another request, or was caught by crashes of other causes.
	CrashThreshold = 3
	// HoldTime is how long a request is held back before one more run may show whether it still ends endpoints: a
	// release of the endpoints may have mended them.
	HoldTime = 10 * time.Minute
	// trialRetryAfter is when a caller may come back whose request is one of several that may have ended endpoints: a
	// trial of another one takes about as long.
	trialRetryAfter = time.Second
	// trialTimeout is how long a trial may take until the next one may begin.
	trialTimeout = 10 * time.Second
	// maxTrials bounds the trials of one request in HoldTime. The first may tell nothing: its caller left.
	maxTrials = 2
	// CrashDedupWindow is how far apart two reports on one process may be that are of the same end: a process that does
	// not say when it started takes longer to be back.
	CrashDedupWindow = 1500 * time.Millisecond
	// crashRetention is how long the ends of endpoints are counted against a request.
	crashRetention = HoldTime
	// attributionTTL is how long reports on an end whose cause is known still come in.
	attributionTTL = 10 * time.Second
	// trustDuration is how long nothing counts against a request that was answered after endpoints had ended under
	// it: one of which many are under way at any time is at each end, whatever its cause.
	trustDuration = time.Minute
	// maxSuspects bounds the requests that endpoints ended under, some 250 bytes each, and those that were answered
	// since; maxHeld those held back, of which all nodes are told, some 400 bytes each; maxCrashes the ends that
	// are kept of each.
	maxSuspects = 4096
	maxHeld     = 256
	maxCrashes  = 8
)

// The passages of a request.
const (
	// Free: nothing is held against it.
	NotHeld HoldState = iota
	// TrialOnly: it may run if the coordinator of its pool permits a trial.
	TrialOnly
	// Held: it must not be sent.
	Held
)

type (
	// Passage says whether a request may be sent to endpoints.
	HoldState int

	// Crash is the end of an endpoint's process while it worked on a request.
	Crash struct {
		Incarnation string
		At          time.Time
	}

	// HeldRequest is what nodes tell each other of a request that is held back.
	HeldRequest struct {
		Digest model.Digest
		// Pool is whose endpoints ended.
		Pool string
		// Firm is false where other requests were under way at all the same ends: trials tell which one it is.
		Firm bool
		// Incarnations are the processes that ended, at most maxCrashes.
		Incarnations []string
		// Since is how long before this was written the first of them ended.
		Since time.Duration
	}

	// Quarantine is what a node knows of requests under which endpoints ended. A pool's coordinator, one node for all,
	// is told of all ends in its pool and decides; all nodes hold back what it found. It changes in place.
	Quarantine struct {
		suspects map[model.Digest]*suspect
		held     map[model.Digest]*heldRequest
		// explained holds the processes whose end is known to be another request's doing.
		attributed map[string]attribution
		// trials has the trial under way in each pool that is kept here.
		trials map[string]trial
		// trusted holds until when nothing counts against requests that were answered.
		trustedUntil map[model.Digest]time.Time
		answered     answeredRequests
	}

	suspect struct {
		pool    string
		crashes []Crash
		// updatedAt is when the newest crash became known, evaluateBy when the case is to be judged at the latest; zero
		// before there is anything to judge.
		updatedAt  time.Time
		evaluateBy time.Time
	}

	heldRequest struct {
		HeldRequest
		learnedAt time.Time
		// trials counts those that were permitted since.
		trials int
	}

	attribution struct {
		digest model.Digest
		until  time.Time
	}

	trial struct {
		digest model.Digest
		until  time.Time
	}
)

// NewQuarantine returns a quarantine that knows nothing.
func NewQuarantine() *Quarantine {
	return &Quarantine{
		suspects:     map[model.Digest]*suspect{},
		held:         map[model.Digest]*heldRequest{},
		attributed:   map[string]attribution{},
		trials:       map[string]trial{},
		trustedUntil: map[model.Digest]time.Time{},
	}
}

// Look tells whether a request may be sent, and where it may not, or only on trial, when its caller may come back.
func (q *Quarantine) Check(now time.Time, digest model.Digest) (HoldState, HeldRequest, time.Duration) {
	h := q.held[digest]
	if h == nil {
		return NotHeld, HeldRequest{}, 0
	}
	if left := h.learnedAt.Add(HoldTime).Sub(now); h.Firm && left > 0 {
		return Held, h.HeldRequest, left
	}
	return TrialOnly, h.HeldRequest, trialRetryAfter
}

// Len returns how many requests are held back.
func (q *Quarantine) Len() int {
	return len(q.held)
}

// Cases returns how many requests are known under which endpoints ended.
func (q *Quarantine) Suspects() int {
	return len(q.suspects)
}

// Crashed notes that an endpoint's process ended while it worked on a request.
func (q *Quarantine) RecordCrash(now time.Time, digest model.Digest, pool string, crash Crash) {
	if now.Before(q.trustedUntil[digest]) {
		return
	}
	if why, known := q.attributed[crash.Incarnation]; known && why.digest != digest && now.Before(why.until) {
		return
	}
	if q.endTrial(digest) {
		// It has shown what it does; the verdict follows.
		q.held[digest].trials = maxTrials
	}
	c := q.suspects[digest]
	if c == nil {
		q.evictSuspect()
		c = &suspect{}
		q.suspects[digest] = c
	}
	c.pool = pool
	if c.has(crash) {
		return
	}
	if len(c.crashes) == maxCrashes {
		c.crashes = c.crashes[1:]
	}
	c.crashes = append(c.crashes, crash)
	c.updatedAt = now
	if len(c.crashes) >= CrashThreshold && c.evaluateBy.IsZero() {
		c.evaluateBy = now.Add(maxEvaluationDelay)
	}
}

// evictSuspect forgets the case that did not change for longest where there are too many.
func (q *Quarantine) evictSuspect() {
	if len(q.suspects) < maxSuspects {
		return
	}
	var oldest model.Digest
	for digest, c := range q.suspects {
		if oldest == "" || c.updatedAt.Before(q.suspects[oldest].updatedAt) {
			oldest = digest
		}
	}
	delete(q.suspects, oldest)
}

// Answered notes that an endpoint answered a request whole: it does not end each endpoint that runs it. True means
// that something is held against the request, and the coordinators of the pool are to be told.
func (q *Quarantine) RecordAnswer(now time.Time, digest model.Digest) (suspected bool, pool string) {
	q.answered.add(now, digest)
	if c := q.suspects[digest]; c != nil {
		return true, c.pool
	}
	if h := q.held[digest]; h != nil {
		return true, h.Pool
	}
	return false, ""
}

// Clear forgets what is held against a request.
func (q *Quarantine) Clear(digest model.Digest) {
	q.endTrial(digest)
	delete(q.suspects, digest)
	delete(q.held, digest)
}

// Trust forgets what is held against a request because it was answered whole.
func (q *Quarantine) Trust(now time.Time, digest model.Digest) {
	q.Clear(digest)
	if len(q.trustedUntil) >= maxSuspects {
		clear(q.trustedUntil)
	}
	q.trustedUntil[digest] = now.Add(trustDuration)
}

// has tells whether an end is counted already: reports on one come from several nodes.
func (c *suspect) has(crash Crash) bool {
	return slices.ContainsFunc(c.crashes, func(known Crash) bool {
		return known.Incarnation == crash.Incarnation && crash.At.Sub(known.At).Abs() < CrashDedupWindow
	})
}
