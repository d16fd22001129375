package kernel

import (
	"fmt"
	"math"
	"time"

	"basilstall.example/basilstall/model"
)

const (
	// maxCapSharers is how many nodes share the rate cap of an endpoint; the others send to it only with a permit or
	// as a probe. The first sends of the sharers fall within the burst that the platform allows beyond the rate, with
	// one request to spare for a node that does not know of them yet.
	maxCapSharers = 4
	// maxCapInterval is the maximum time between two sends of one node: an endpoint that takes almost nothing is still
	// probed in case its cap has changed.
	maxCapInterval = 20 * time.Second
	// capBatcherShare is the fraction of a cap that one batcher of pieces uses: two may be active at the same time.
	capBatcherShare = 0.6
	// capProbeDelay is how long after the last message about a cap the first of the nodes that do not share it probes
	// whether it still holds. Each further node waits one more step, so that they probe one after the other.
	capProbeDelay   = time.Minute
	capProbeStagger = 20 * time.Second
	// maxCapNoticeDelay is the maximum delay of a notice that a cap has ended. An endpoint that has stated a cap within
	// this time keeps it.
	maxCapNoticeDelay = 3 * time.Second
	// The Retry-After time of a request that only endpoints at their caps could serve lies between these two: another
	// node may be able to send at once, and callers should not wait long once one more request is taken.
	minCapRetry = 150 * time.Millisecond
	maxCapRetry = time.Second
)

type (
	// CapView is a node's view of the rate cap of an endpoint: the rate that the endpoint accepts from all nodes
	// together, which it states in its answers. It is immutable.
	CapView struct {
		// Cap is the cap that the endpoint is assumed to state.
		Cap model.RateCap
		// ChangedAt is when Cap took its present value.
		ChangedAt time.Time
		// statedAt is when the newest message that states a cap arrived, from the endpoint or from another node.
		// answeredAt is when the newest answer of the endpoint arrived, if it states a cap; zero otherwise.
		statedAt   time.Time
		answeredAt time.Time
	}

	// CappedEndpoint is an endpoint that states a rate cap, as one node sees it.
	CappedEndpoint struct {
		View CapView
		// SentAt is when the node last sent to it.
		SentAt time.Time
		// Rank is how many nodes rank before this one by rendezvous hash of the endpoint.
		Rank int
		// MayRequestPermit is true where the node may ask other nodes for permits (see PermitRequester).
		MayRequestPermit bool
		// NextPermitRequestAt is when the node may next ask one of them.
		NextPermitRequestAt time.Time
	}
)

// WithAnswer returns the view after the endpoint answered a request that was sent at sentAt. Answers may arrive out of
// order: one that states no cap ends a cap only if its request was sent after the last message that states one arrived,
// and of two caps whose order is unknown the stricter one holds.
func (v CapView) WithAnswer(sentAt, now time.Time, stated model.RateCap) CapView {
	overlaps := sentAt.Before(v.statedAt)
	switch {
	case stated.Stated && overlaps:
		stated = stated.Stricter(v.Cap)
	case !stated.Stated && overlaps:
		return v
	}
	v.answeredAt = time.Time{}
	if stated.Stated {
		v.answeredAt = now
	}
	return v.with(now, stated)
}

// WithNotice returns the view after a notice in the table that all nodes follow. A notice may be older than an answer
// of the endpoint: it does not end a cap that an answer stated less than the maximum delay of notices ago, and never
// raises a rate that an answer stated.
func (v CapView) WithNotice(now time.Time, stated model.RateCap) CapView {
	answered := !v.answeredAt.IsZero()
	switch {
	case !stated.Stated && answered && now.Sub(v.answeredAt) < maxCapNoticeDelay:
		return v
	case stated.Stated && answered:
		stated = stated.Stricter(v.Cap)
	}
	return v.with(now, stated)
}

// WithFraction returns the view of a sender that may use only a fraction of the cap, from 0 to 1.
func (v CapView) WithFraction(fraction float64) CapView {
	v.Cap = v.Cap.WithFraction(fraction)
	return v
}

// StatedAfter reports whether the endpoint states a cap that became known, or changed, after t.
func (v CapView) StatedAfter(t time.Time) bool {
	return v.Cap.Stated && v.ChangedAt.After(t)
}

// WithoutEndpoint returns the view after the endpoint is gone.
func (v CapView) WithoutEndpoint(now time.Time) CapView {
	return v.with(now, model.RateCap{})
}

func (v CapView) with(now time.Time, stated model.RateCap) CapView {
	if stated.Stated {
		v.statedAt = now
	}
	if stated != v.Cap {
		v.Cap, v.ChangedAt = stated, now
	}
	return v
}

// Due reports whether a node that last sent to the endpoint at sentAt may send to it now. The first nodes by rank share
// the rate evenly. The others probe at long intervals and one after the other whether the cap still holds, because all
// nodes that share it may be lost. The rank of a node that others may not know of yet is math.MaxInt; it does not send.
func (v CapView) Due(now, sentAt time.Time, rank int) bool {
	switch {
	case !v.Cap.Stated:
		return true
	case rank == math.MaxInt:
		return false
	case rank < maxCapSharers:
		return now.Sub(sentAt) >= v.sendInterval()
	default:
		lastHeard := sentAt
		if v.statedAt.After(lastHeard) {
			lastHeard = v.statedAt
		}
		return now.Sub(lastHeard) >= capProbeDelay+time.Duration(rank)*capProbeStagger
	}
}

// sendInterval returns the minimum time between two sends of one of the nodes that share the cap.
func (v CapView) sendInterval() time.Duration {
	return intervalAtRate(v.Cap.PerSecond / maxCapSharers)
}

// CapBatcherInterval returns the minimum time between two calls of one batcher to a worker with a rate cap. The cap is
// the part that batchers may use, of which each takes capBatcherShare.
func CapBatcherInterval(stated model.RateCap) time.Duration {
	return intervalAtRate(stated.PerSecond * capBatcherShare)
}

// intervalAtRate returns the time between two sends at a rate, at most maxCapInterval.
func intervalAtRate(perSecond float64) time.Duration {
	if perSecond*maxCapInterval.Seconds() <= 1 {
		return maxCapInterval
	}
	return time.Duration(float64(time.Second) / perSecond)
}

// AdmitCapped refuses a request that only endpoints with rate caps could serve if this node may not send to any of them
// now and cannot ask for a permit either.
func AdmitCapped(now time.Time, pool string, endpoints []CappedEndpoint) *model.Refusal {
	for _, e := range endpoints {
		if e.View.Due(now, e.SentAt, e.Rank) || e.MayRequestPermit && !now.Before(e.NextPermitRequestAt) {
			return nil
		}
	}
	return RefuseCapped(now, pool, endpoints)
}

// RefuseCapped refuses a request that only endpoints with rate caps could serve; nil if there are none. The Retry-After
// time is when this node may next send or ask for a permit; where neither is known, it is when the endpoints together take
// one more request, from any node.
func RefuseCapped(now time.Time, pool string, endpoints []CappedEndpoint) *model.Refusal {
	perSecond, retry := 0.0, time.Duration(0)
	for _, e := range endpoints {
		perSecond += e.View.Cap.PerSecond
		if e.MayRequestPermit {
			retry = shorterWait(retry, max(minCapRetry, e.NextPermitRequestAt.Sub(now)))
		}
		if e.Rank < maxCapSharers {
			retry = shorterWait(retry, max(minCapRetry, e.SentAt.Add(e.View.sendInterval()).Sub(now)))
		}
	}
	if len(endpoints) == 0 {
		return nil
	}
	if retry == 0 {
		retry = min(max(minCapRetry, intervalAtRate(perSecond)), maxCapRetry)
	}
	return model.NewRefusal(model.NotRun, model.EndpointsCapped, ClampRetryAfter(retry), fmt.Sprintf("all endpoints of pool %s take no more now than they get", pool))
}

// shorterWait returns the shorter of two waits; a known wait of 0 means that none is known yet.
func shorterWait(known, wait time.Duration) time.Duration {
	if known == 0 {
		return wait
	}
	return min(known, wait)
}
