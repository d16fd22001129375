package kernel

import (
	"fmt"
	"math"
	"time"

	"basilstall.example/basilstall/model"
)

const (
	// capSenders is how many nodes may send to an endpoint that states a rate cap. Their first sends fall within what
	// the platform allows beside the rate, with one to spare for a node that has not heard of them.
	capSenders = 4
	// maxCapInterval is the longest pause between two sends of one node: an endpoint that takes nearly nothing is asked all
	// the same whether that still holds.
	maxCapInterval = 20 * time.Second
	// capBatcherShare is the share of a cap that one batcher of pieces uses: two may be at work at one time.
	capBatcherShare = 0.6
	// capProbeDelay is how long after the last message on a cap the first of the other nodes asks whether it still holds, and
	// capProbeStagger how much later each further one does.
	capProbeDelay   = time.Minute
	capProbeStagger = 20 * time.Second
	// maxCapNoticeDelay is how long a notice of the end of a cap may have been under way. An endpoint that stated one
	// meanwhile is believed.
	maxCapNoticeDelay = 3 * time.Second
	// minCapRetry and maxCapRetry bound when a caller may come back whose request only endpoints at their caps
	// could serve: another node may send at once, and none has to wait for long until one more is taken.
	minCapRetry = 150 * time.Millisecond
	maxCapRetry = time.Second
)

type (
	// CapView is what a node believes of an endpoint's rate cap. It is immutable.
	CapView struct {
		// Cap is what the endpoint is taken to state.
		Cap model.RateCap
		// Since is when Cap became what it is.
		ChangedAt time.Time
		// statedAt is when the newest message came that states a cap, of the endpoint or another node; answeredAt is when the
		// endpoint's newest answer came, if that states one.
		statedAt   time.Time
		answeredAt time.Time
	}

	// CappedEndpoint is an endpoint that states a rate cap, as one node sees it.
	CappedEndpoint struct {
		View CapView
		// SentAt is when the node last sent to it, Place how many nodes come before it by the endpoint's hash.
		SentAt time.Time
		Rank   int
		// Asks is true where the node may ask others for a permit, AskAt when one of them is worth asking.
		Asks  bool
		AskAt time.Time
	}
)

// WithAnswer takes in the endpoint's own answer to a request that was sent at a time. Answers overtake each other: one
// without a cap ends it only if it was asked for after the last message that states one, and of two whose order is not known
// the stricter holds.
func (b CapView) WithAnswer(asked, now time.Time, stated model.RateCap) CapView {
	overlaps := asked.Before(b.statedAt)
	switch {
	case stated.Stated && overlaps:
		stated = stated.Stricter(b.Cap)
	case !stated.Stated && overlaps:
		return b
	}
	b.answeredAt = time.Time{}
	if stated.Stated {
		b.answeredAt = now
	}
	return b.with(now, stated)
}

// WithNotice takes in what the nodes' common table says of the endpoint from now on. A notice may be older than an answer of
// the endpoint: it does not loosen what one said a moment ago, nor ever the rate that one stated.
func (b CapView) WithNotice(now time.Time, stated model.RateCap) CapView {
	answered := !b.answeredAt.IsZero()
	switch {
	case !stated.Stated && answered && now.Sub(b.answeredAt) < maxCapNoticeDelay:
		return b
	case stated.Stated && answered:
		stated = stated.Stricter(b.Cap)
	}
	return b.with(now, stated)
}

// WithPart returns the belief of who may use only a part of the cap, from 0 to 1.
func (b CapView) WithPart(part float64) CapView {
	b.Cap = b.Cap.WithPart(part)
	return b
}

// StatedAfter tells whether the endpoint is known to state its cap only since a time.
func (b CapView) StatedAfter(t time.Time) bool {
	return b.Cap.Stated && b.ChangedAt.After(t)
}

// WithoutEndpoint returns the belief of an endpoint that is gone.
func (b CapView) WithoutEndpoint(now time.Time) CapView {
	return b.with(now, model.RateCap{})
}

func (b CapView) with(now time.Time, stated model.RateCap) CapView {
	if stated.Stated {
		b.statedAt = now
	}
	if stated != b.Cap {
		b.Cap, b.ChangedAt = stated, now
	}
	return b
}

// Due tells whether a node may send to the endpoint, given when it last did and its place by the endpoint's hash. The first
// ones share the rate evenly. The others ask now and then whether the cap still holds, long apart and one after the other:
// the first ones may all be lost.
func (b CapView) Due(now, sentAt time.Time, place int) bool {
	switch {
	case !b.Cap.Stated:
		return true
	case place == math.MaxInt:
		return false
	case place < capSenders:
		return now.Sub(sentAt) >= b.pause()
	default:
		heard := sentAt
		if b.statedAt.After(heard) {
			heard = b.statedAt
		}
		return now.Sub(heard) >= capProbeDelay+time.Duration(place)*capProbeStagger
	}
}

// pause returns the least time between two sends of one of the nodes that share the cap.
func (b CapView) pause() time.Duration {
	return capPause(b.Cap.PerSecond / capSenders)
}

// CapBatcherPause returns the least time between two calls of the batcher that alone sends to a worker with a rate cap.
func CapBatcherPause(stated model.RateCap) time.Duration {
	return capPause(stated.PerSecond * capBatcherShare)
}

func capPause(perSecond float64) time.Duration {
	if perSecond*maxCapInterval.Seconds() <= 1 {
		return maxCapInterval
	}
	return time.Duration(float64(time.Second) / perSecond)
}

// AdmitCapped refuses a request that only endpoints with rate caps could serve, where none of them takes one of this node
// now. The caller may come back when this node may send again, or is worth asking for a permit; where neither is known,
// when the endpoints together take one more, of whichever node.
func AdmitCapped(now time.Time, pool string, endpoints []CappedEndpoint) *model.Refusal {
	perSecond, retry := 0.0, time.Duration(0)
	for _, e := range endpoints {
		if e.View.Due(now, e.SentAt, e.Rank) {
			return nil
		}
		perSecond += e.View.Cap.PerSecond
		if e.Asks {
			if !now.Before(e.AskAt) {
				return nil
			}
			retry = shorterWait(retry, e.AskAt.Sub(now))
		}
		if e.Rank < capSenders {
			retry = shorterWait(retry, e.SentAt.Add(e.View.pause()).Sub(now))
		}
	}
	if len(endpoints) == 0 {
		return nil
	}
	if retry == 0 {
		retry = min(max(minCapRetry, capPause(perSecond)), maxCapRetry)
	}
	return model.NewRefusal(model.NotRun, model.EndpointsCapped, ClampRetryAfter(retry), fmt.Sprintf("all endpoints of pool %s take no more now than they get", pool))
}

// sooner returns the shorter of two waits, of which the first may not be known yet.
func shorterWait(known, wait time.Duration) time.Duration {
	if known == 0 {
		return wait
	}
	return min(known, wait)
}
