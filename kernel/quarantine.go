package kernel

import (
	"slices"
	"time"

	"basilstall.example/basilstall/model"
)

const (
	// CrashThreshold is the number of endpoint processes that must crash while they run a request before the request
	// is held back. One or two crashes may be a coincidence: the request ran beside the one at fault, or the crashes
	// had other causes.
	CrashThreshold = 3
	// HoldTime is how long a request is held back before a trial run may show whether it still crashes endpoints: a
	// new release of the endpoints may have fixed the fault.
	HoldTime = 10 * time.Minute
	// trialRetryAfter is the retry delay for the caller of a request that may run only on trial: a trial of another
	// request takes about as long.
	trialRetryAfter = time.Second
	// TrialTimeout is how long a trial without a result keeps the next one of its pool from starting.
	TrialTimeout = 10 * time.Second
	// maxTrials bounds the trials of one request within HoldTime. It is more than one because the first trial has no
	// result if its caller disconnects.
	maxTrials = 2
	// jointTrialDelay is how long a request with several suspect parts may not run on trial, so that requests with one of
	// them are tried first.
	jointTrialDelay = time.Minute
	// CrashDedupWindow is the time within which two crash reports on one incarnation count as the same crash. A
	// process that does not report its start time keeps its incarnation over a restart, which takes longer than
	// this.
	CrashDedupWindow = 1500 * time.Millisecond
	// crashRetention is how long crashes count against a request.
	crashRetention = HoldTime
	// attributionTTL is how long a crash stays attributed to its cause. Reports on other requests that ran in the
	// crashed process still arrive during that time, and are ignored.
	attributionTTL = 10 * time.Second
	// trustDuration is how long crash reports on a request are ignored after it was answered in spite of earlier
	// crashes. A request that is running many times over at any moment is involved in every crash, whatever the
	// cause.
	trustDuration = time.Minute
	// maxSuspects bounds the requests with recorded crashes, some 250 bytes each, and the trusted requests. maxHeld
	// bounds the requests held back, which are sent to all nodes, some 400 bytes each. maxCrashes bounds the crashes
	// recorded for one request.
	maxSuspects = 4096
	maxHeld     = 256
	maxCrashes  = 8
)

// The hold states of a request.
const (
	// NotHeld: the request may be sent.
	NotHeld HoldState = iota
	// TrialOnly: the request may be sent if the coordinator of its pool permits a trial.
	TrialOnly
	// Held: the request must not be sent.
	Held
)

type (
	// HoldState tells whether a request may be sent to endpoints.
	HoldState int

	// Crash is the end of an endpoint's process while it worked on a request.
	Crash struct {
		Incarnation string
		At          time.Time
	}

	// HeldRequest is the notice of a held request that nodes send each other, or of a part of prompts: all requests with
	// the part are then held back.
	HeldRequest struct {
		// Digest is that of the request or of the part.
		Digest model.Digest
		// Pool is the pool whose endpoints crashed.
		Pool string
		// Firm is false if another suspect was running at each of the crashes: trials then show which one is the
		// cause.
		Firm bool
		// Incarnations are the processes that crashed, at most maxCrashes.
		Incarnations []string
		// Since is the time from the first of the crashes to the writing of the notice.
		Since time.Duration
		// Versions are those of the endpoints that crashed under requests with a part; empty if they are not known. Once none
		// of them is listed, a trial may show whether a release of the endpoints has fixed the fault.
		Versions []string `json:",omitempty"`
		// Trials is the number of trials of a part that crashed an endpoint.
		Trials int `json:",omitempty"`
	}

	// Quarantine is a node's record of the requests that crashed endpoints. One node for each pool, its coordinator,
	// receives the reports on all crashes in the pool and decides which requests are held back; all nodes then hold
	// them back. It changes in place.
	Quarantine struct {
		// suspects are the requests with recorded crashes.
		suspects map[model.Digest]*suspect
		held     map[model.Digest]*heldRequest
		// attributed holds the crashed processes for which the request at fault is known, by incarnation.
		attributed map[string]attribution
		// trials holds the running trial of each pool that this node coordinates.
		trials map[string]trial
		// trustedUntil holds until when crash reports are ignored on requests that were answered.
		trustedUntil map[model.Digest]time.Time
		answered     answeredRequests
		// parts are the parts of prompts with recorded crashes, answeredParts those of requests that were answered.
		parts         *partSuspects
		answeredParts answeredParts
		// listedVersions holds the versions of the listed endpoints of the pools with parts that are held back.
		listedVersions map[string][]string
	}

	suspect struct {
		pool    string
		crashes []Crash
		// updatedAt is when the newest crash was recorded. evaluateBy is when the suspect is evaluated at the
		// latest; zero while there is nothing new to evaluate.
		updatedAt  time.Time
		evaluateBy time.Time
	}

	heldRequest struct {
		HeldRequest
		learnedAt time.Time
		// trials counts the trials permitted since learnedAt; for a part, those that crashed an endpoint and the running one.
		trials int
		// crashedOnTrial is true if a request with the part crashed an endpoint on trial and this was not evaluated yet.
		crashedOnTrial bool
	}

	attribution struct {
		digest model.Digest
		until  time.Time
	}

	trial struct {
		digest model.Digest
		// request is the digest of the request on trial, digest that of the request or part that is held back.
		request model.Digest
		until   time.Time
	}
)

// NewQuarantine returns an empty quarantine.
func NewQuarantine() *Quarantine {
	return &Quarantine{
		suspects:     map[model.Digest]*suspect{},
		held:         map[model.Digest]*heldRequest{},
		attributed:   map[string]attribution{},
		trials:       map[string]trial{},
		trustedUntil: map[model.Digest]time.Time{},
		parts:        newPartSuspects(),

		listedVersions: map[string][]string{},
	}
}

// Check returns whether a request may be sent. If it is held back, or may run only on trial, Check also returns its
// notice and the time after which its caller may retry.
func (q *Quarantine) Check(now time.Time, digest model.Digest) (HoldState, HeldRequest, time.Duration) {
	h := q.held[digest]
	if h == nil {
		return NotHeld, HeldRequest{}, 0
	}
	left := h.learnedAt.Add(HoldTime).Sub(now)
	switch {
	case h.Firm && digest.IsPart() && !q.isReleased(h):
		return Held, h.HeldRequest, HoldTime
	case h.Firm && left > 0 && !digest.IsPart():
		return Held, h.HeldRequest, left
	default:
		return TrialOnly, h.HeldRequest, trialRetryAfter
	}
}

// CheckRequest is like Check, for a request and all parts of its prompt. A request with several digests that may run only
// on trial is held back for jointTrialDelay: its trial would not show which one is the cause.
func (q *Quarantine) CheckRequest(now time.Time, digests model.RequestDigests) (HoldState, HeldRequest, time.Duration) {
	state, held, retryAfter := q.Check(now, digests.Request)
	for _, part := range digests.Parts {
		partState, h, partRetryAfter := q.Check(now, part)
		switch {
		case partState == NotHeld || state == Held:
		case partState == Held || state == NotHeld:
			state, held, retryAfter = partState, h, partRetryAfter
		case now.Sub(q.held[part].learnedAt) < jointTrialDelay:
			state = Held
		}
	}
	return state, held, retryAfter
}

// isReleased reports whether the endpoints that crashed under a part have all been replaced by endpoints of other versions.
func (q *Quarantine) isReleased(h *heldRequest) bool {
	listed := q.listedVersions[h.Pool]
	if len(h.Versions) == 0 || len(listed) == 0 {
		return false
	}
	return !slices.ContainsFunc(listed, func(version string) bool { return version == "" || slices.Contains(h.Versions, version) })
}

// ApplyEndpointList records the versions of the listed endpoints of the pools with parts that are held back.
func (q *Quarantine) ApplyEndpointList(endpoints func(pool string) []model.Endpoint) {
	clear(q.listedVersions)
	for digest, h := range q.held {
		if !digest.IsPart() || q.listedVersions[h.Pool] != nil {
			continue
		}
		for _, e := range endpoints(h.Pool) {
			if !slices.Contains(q.listedVersions[h.Pool], e.Version) {
				q.listedVersions[h.Pool] = append(q.listedVersions[h.Pool], e.Version)
			}
		}
	}
}

// PoolOf returns the pool of a held request or part; empty if it is not held.
func (q *Quarantine) PoolOf(digest model.Digest) string {
	if h := q.held[digest]; h != nil {
		return h.Pool
	}
	return ""
}

// Len returns the number of held requests.
func (q *Quarantine) Len() int {
	return len(q.held)
}

// Suspects returns the number of requests with recorded crashes.
func (q *Quarantine) Suspects() int {
	return len(q.suspects)
}

// RecordCrash records that an endpoint process crashed while it worked on a request. Reports are ignored if the
// crash is recorded already, if it is attributed to another request, or if the request is trusted.
func (q *Quarantine) RecordCrash(now time.Time, digest model.Digest, pool string, crash Crash) {
	if now.Before(q.trustedUntil[digest]) {
		return
	}
	if cause, known := q.attributed[crash.Incarnation]; known && cause.digest != digest && now.Before(cause.until) {
		return
	}
	if q.endTrial(digest) {
		// The trial has its result. No other may start before the next evaluation.
		q.held[digest].trials = maxTrials
	}
	s := q.suspects[digest]
	if s == nil {
		q.evictSuspect()
		s = &suspect{}
		q.suspects[digest] = s
	}
	s.pool = pool
	if s.hasCrash(crash) {
		return
	}
	if len(s.crashes) == maxCrashes {
		s.crashes = s.crashes[1:]
	}
	s.crashes = append(s.crashes, crash)
	s.updatedAt = now
	if len(s.crashes) >= CrashThreshold && s.evaluateBy.IsZero() {
		s.evaluateBy = now.Add(maxEvaluationDelay)
	}
}

// evictSuspect drops the suspect that has been unchanged for longest if maxSuspects is reached.
func (q *Quarantine) evictSuspect() {
	if len(q.suspects) < maxSuspects {
		return
	}
	var oldest model.Digest
	for digest, s := range q.suspects {
		if oldest == "" || s.updatedAt.Before(q.suspects[oldest].updatedAt) {
			oldest = digest
		}
	}
	delete(q.suspects, oldest)
}

// RecordAnswer records that an endpoint answered a request completely, which shows that the request does not crash
// every endpoint that runs it. It returns true if crashes are recorded against the request or it is held back; the
// coordinators of the returned pool must then be informed.
func (q *Quarantine) RecordAnswer(now time.Time, digest model.Digest) (suspected bool, pool string) {
	q.answered.add(now, digest)
	if s := q.suspects[digest]; s != nil {
		return true, s.pool
	}
	if h := q.held[digest]; h != nil {
		return true, h.Pool
	}
	return false, ""
}

// RecordPartAnswer records that a request whose prompt has the given parts was answered completely by the endpoint that it
// was sent to at sentAt. It returns the parts that are held back, and their pools, whose coordinators must be informed.
func (q *Quarantine) RecordPartAnswer(sentAt time.Time, parts []model.Digest) (suspected map[model.Digest]string) {
	q.answeredParts.add(sentAt, parts)
	for _, part := range parts {
		h := q.held[part]
		if h == nil || !sentAt.After(h.learnedAt.Add(-h.Since)) {
			continue
		}
		if suspected == nil {
			suspected = map[model.Digest]string{}
		}
		suspected[part] = h.Pool
	}
	return suspected
}

// PartAnswers returns what this node knows of the answers to requests with the given part.
func (q *Quarantine) PartAnswers(part model.Digest) PartAnswers {
	return q.answeredParts.of(part)
}

// Clear removes the crashes, the hold and the trial of a request, or of a part of prompts.
func (q *Quarantine) Clear(now time.Time, digest model.Digest) {
	q.endTrial(digest)
	if s := q.parts.suspects[digest]; s != nil {
		s.clear(now)
	}
	delete(q.suspects, digest)
	delete(q.held, digest)
}

// Trust clears a request that was answered completely, and ignores crash reports on it for trustDuration.
func (q *Quarantine) Trust(now time.Time, digest model.Digest) {
	q.Clear(now, digest)
	if digest.IsPart() {
		// A part that was answered may crash endpoints later.
		return
	}
	if len(q.trustedUntil) >= maxSuspects {
		clear(q.trustedUntil)
	}
	q.trustedUntil[digest] = now.Add(trustDuration)
}

// hasCrash reports whether a crash is recorded already: several nodes report the same one.
func (s *suspect) hasCrash(crash Crash) bool {
	return slices.ContainsFunc(s.crashes, func(known Crash) bool {
		return known.same(crash)
	})
}
