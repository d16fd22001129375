package kernel

import (
	"time"

	"basilstall.example/basilstall/model"
)

// maxAnswered bounds the answered requests that are remembered, twice over, some 100 bytes each: minutes of a
// node's share of a fleet's requests.
const maxAnswered = 2048

// answeredRequests remembers which requests were answered whole, and when last, in two generations: when the younger
// one is full, the older one is forgotten.
type answeredRequests struct {
	young, old map[model.Digest]time.Time
}

func (a *answeredRequests) add(now time.Time, digest model.Digest) {
	if a.young == nil || len(a.young) >= maxAnswered {
		a.young, a.old = make(map[model.Digest]time.Time), a.young
	}
	a.young[digest] = now
}

// since tells whether a request was answered after a time.
func (a *answeredRequests) answeredAfter(t time.Time, digest model.Digest) bool {
	return a.young[digest].After(t) || a.old[digest].After(t)
}
