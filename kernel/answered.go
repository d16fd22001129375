package kernel

import (
	"time"

	"basilstall.example/basilstall/model"
)

// maxAnswered bounds each generation of answered requests, some 100 bytes a request. Two generations cover minutes
// of a node's share of the fleet's requests.
const maxAnswered = 2048

// answeredRequests remembers which requests were answered completely, and when last, in two generations: when the
// young one is full it becomes the old one, and the previous old one is dropped.
type answeredRequests struct {
	young, old map[model.Digest]time.Time
}

func (a *answeredRequests) add(now time.Time, digest model.Digest) {
	if a.young == nil || len(a.young) >= maxAnswered {
		a.young, a.old = make(map[model.Digest]time.Time), a.young
	}
	a.young[digest] = now
}

// answeredAfter reports whether a request was answered after t.
func (a *answeredRequests) answeredAfter(t time.Time, digest model.Digest) bool {
	return a.young[digest].After(t) || a.old[digest].After(t)
}
