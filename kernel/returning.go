package kernel

import (
	"strconv"
	"strings"
	"time"

	"basilstall.example/basilstall/model"
)

const (
	// returnMemory is how long a refused request is remembered: longer than callers are told to
	// stay away and wait for an answer in all.
	returnMemory = 15 * time.Second
	// mostReturning bounds the requests that are remembered, some 100 bytes each; when it is
	// reached, all are forgotten, and callers that come back count as new ones.
	mostReturning = 20000
)

// Returning remembers the requests that were refused, so that a caller who comes back is told from
// a new one: its objective counts from its first attempt. Under load it would else take the calls
// of requests that can still be on time, and be late all the same. It changes in place.
type Returning struct {
	// askedAt is when the first attempt of a request was received, by identity.
	askedAt map[string]time.Time
}

// NewReturning returns a memory that holds nothing.
func NewReturning() *Returning {
	return &Returning{askedAt: map[string]time.Time{}}
}

// Identity returns what attempts of the same request share although each has an ID of its own: the
// customer, the last part of the prompt, which belongs to the request or its session, and its size.
// Empty where the request has no prompt.
func Identity(customer string, p model.Prompt) string {
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
func (r *Returning) Refused(now time.Time, identity string, waited time.Duration) {
	if len(r.askedAt) >= mostReturning {
		r.forget(now)
	}
	r.askedAt[identity] = now.Add(-waited)
}

// Waited returns how long the caller of a request has waited since its first attempt; zero for a
// new request. The request is forgotten: another one with the same identity is a new one.
func (r *Returning) Waited(now time.Time, identity string) time.Duration {
	asked, known := r.askedAt[identity]
	delete(r.askedAt, identity)
	if !known || now.Sub(asked) > returnMemory {
		return 0
	}
	return now.Sub(asked)
}

// forget drops what is too old, or all if that is not enough.
func (r *Returning) forget(now time.Time) {
	for identity, asked := range r.askedAt {
		if now.Sub(asked) > returnMemory {
			delete(r.askedAt, identity)
		}
	}
	if len(r.askedAt) >= mostReturning {
		r.askedAt = map[string]time.Time{}
	}
}
