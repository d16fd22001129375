package kernel

import (
	"strconv"
	"strings"
	"time"

	"basilstall.example/basilstall/model"
)

const (
	// refusalRetention is how long a refused request is remembered: longer than the retry delay told to the caller
	// and the caller's wait for an answer together.
	refusalRetention = 15 * time.Second
	// maxRefusedRequests bounds the requests that are remembered, some 100 bytes each. When it is reached and none
	// has expired, all are dropped, and their retries count as new requests.
	maxRefusedRequests = 20000
	// earlyRetrySlack is by how much a caller may retry earlier than told: timers and clocks of callers are not exact.
	earlyRetrySlack = 20 * time.Millisecond
)

// RefusedRequests remembers requests that were refused, to tell a caller's retry from a new request: the latency
// objective of a request counts from its first attempt. Under overload, retries that count as new requests would
// take capacity from requests that can still be on time, and be late all the same. It changes in place.
type RefusedRequests struct {
	// firstAttemptAt is when the first attempt of a request was received, by identity.
	firstAttemptAt map[string]time.Time
	// retryAt is when the caller of a request was told to retry, by identity.
	retryAt map[string]time.Time
}

// NewRefusedRequests returns an empty RefusedRequests.
func NewRefusedRequests() *RefusedRequests {
	return &RefusedRequests{firstAttemptAt: map[string]time.Time{}, retryAt: map[string]time.Time{}}
}

// RequestIdentity returns what the attempts of a request have in common although each has an ID of its own: the
// customer, the ID of the last part of the prompt, which belongs to the request or its session, and the size of the
// prompt. It is empty for a request without a prompt.
func RequestIdentity(customer string, p model.Prompt) string {
	if len(p.Parts) == 0 {
		return ""
	}
	var b strings.Builder
	b.WriteString(customer)
	b.WriteByte('/')
	b.WriteString(p.Parts[len(p.Parts)-1].ID)
	for _, n := range [...]int{len(p.Parts), p.TokensIn, p.TokensOut} {
		b.WriteByte('/')
		b.WriteString(strconv.Itoa(n))
	}
	return b.String()
}

// Add records that a request was refused after its caller had waited for the given time.
func (r *RefusedRequests) Add(now time.Time, identity string, waited time.Duration) {
	if len(r.firstAttemptAt) >= maxRefusedRequests {
		r.evict(now)
	}
	r.firstAttemptAt[identity] = now.Add(-waited)
}

// ExpectRetry records when the caller of a refused request was told to retry.
func (r *RefusedRequests) ExpectRetry(now time.Time, identity string, after time.Duration) {
	if _, known := r.firstAttemptAt[identity]; known {
		r.retryAt[identity] = now.Add(after)
	}
}

// EarlyBy returns how much earlier than told the caller of a request retries now; zero if it does not. It has to be called
// before TakeWaited.
func (r *RefusedRequests) EarlyBy(now time.Time, identity string) time.Duration {
	early := r.retryAt[identity].Sub(now)
	if early <= earlyRetrySlack {
		return 0
	}
	return early
}

// TakeWaited returns how long the caller of a request has waited since its first attempt; zero for a new request. It
// removes the request: a later one with the same identity is new.
func (r *RefusedRequests) TakeWaited(now time.Time, identity string) time.Duration {
	firstAttempt, known := r.firstAttemptAt[identity]
	delete(r.firstAttemptAt, identity)
	delete(r.retryAt, identity)
	if !known || now.Sub(firstAttempt) > refusalRetention {
		return 0
	}
	return now.Sub(firstAttempt)
}

// evict removes the requests that have expired, or all if that is not enough.
func (r *RefusedRequests) evict(now time.Time) {
	for identity, firstAttempt := range r.firstAttemptAt {
		if now.Sub(firstAttempt) > refusalRetention {
			delete(r.firstAttemptAt, identity)
			delete(r.retryAt, identity)
		}
	}
	if len(r.firstAttemptAt) >= maxRefusedRequests {
		r.firstAttemptAt = map[string]time.Time{}
		r.retryAt = map[string]time.Time{}
	}
}
