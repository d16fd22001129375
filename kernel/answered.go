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

type (
	// answeredParts remembers the parts of the prompts of requests that were answered completely, in two generations like
	// answeredRequests.
	answeredParts struct {
		young, old map[model.Digest]PartAnswers
	}
)

// add records the answer to a request with the given parts that was sent at sentAt.
func (a *answeredParts) add(sentAt time.Time, parts []model.Digest) {
	for _, part := range parts {
		if a.young == nil || len(a.young) >= maxAnswered {
			a.young, a.old = make(map[model.Digest]PartAnswers), a.young
		}
		answers := a.young[part]
		answers.Part = part
		answers.Count++
		if sentAt.After(answers.LastSentAt) {
			answers.LastSentAt = sentAt
		}
		a.young[part] = answers
	}
}

// of returns what is known of the answers to requests with a part.
func (a *answeredParts) of(part model.Digest) PartAnswers {
	young, old := a.young[part], a.old[part]
	out := PartAnswers{Part: part, Count: young.Count + old.Count, LastSentAt: young.LastSentAt}
	if old.LastSentAt.After(out.LastSentAt) {
		out.LastSentAt = old.LastSentAt
	}
	return out
}
