package kernel

import (
	"strconv"
	"strings"
	"time"

	"basilstall.example/basilstall/model"
)

const (
	// refusalRetention is how long a refused request is remembered: longer than callers are told to
	// stay away and wait for an answer in all.
	refusalRetention = 15 * time.Second
	// maxRefusedRequests bounds the requests that are remembered, some 100 bytes each; when it is
	// reached, all are forgotten, and callers that come back count as new ones.
	maxRefusedRequests = 20000
)

// Returning remembers the requests that were refused, so that a caller who comes back is told from
// a new one: its objective counts from its first attempt. Under load it would else take the calls
// of requests that can still be on time, and be late all the same. It changes in place.
type RefusedRequests struct {
	// firstAttemptAt is when the first attempt of a request was received, by identity.
	firstAttemptAt map[string]time.Time
}

// NewRefusedRequests returns a memory that holds nothing.
func NewRefusedRequests() *RefusedRequests {
	return &RefusedRequests{firstAttemptAt: map[string]time.Time{}}
}

// Identity returns what attempts of the same request share although each has an ID of its own: the
// customer, the last part of the prompt, which belongs to the request or its session, and its size.
// Empty where the request has no prompt.
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

// Refused notes that a request was refused after its caller had waited for a time.
func (r *RefusedRequests) Add(now time.Time, identity string, waited time.Duration) {
	if len(r.firstAttemptAt) >= maxRefusedRequests {
		r.evict(now)
	}
	r.firstAttemptAt[identity] = now.Add(-waited)
}

// Waited returns how long the caller of a request has waited since its first attempt; zero for a
// new request. The request is forgotten: another one with the same identity is a new one.
func (r *RefusedRequests) TakeWaited(now time.Time, identity string) time.Duration {
	asked, known := r.firstAttemptAt[identity]
	delete(r.firstAttemptAt, identity)
	if !known || now.Sub(asked) > refusalRetention {
		return 0
	}
	return now.Sub(asked)
}

// forget drops what is too old, or all if that is not enough.
func (r *RefusedRequests) evict(now time.Time) {
	for identity, asked := range r.firstAttemptAt {
		if now.Sub(asked) > refusalRetention {
			delete(r.firstAttemptAt, identity)
		}
	}
	if len(r.firstAttemptAt) >= maxRefusedRequests {
		r.firstAttemptAt = map[string]time.Time{}
	}
}
