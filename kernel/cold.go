package kernel

import (
	"math"
	"slices"
	"time"

	"basilstall.example/basilstall/model"
)

const (
	// maxColdSenders is how many nodes may send to one cold endpoint. A few nodes with several sends each keep the
	// total closer to the bound than many nodes with less than one each.
	maxColdSenders = 3
	// maxColdSenderSets is how many different sets of senders may be in use at the same time: that of the nodes that have
	// learned of a membership change, and that of the nodes that have not.
	maxColdSenderSets = 2
	// coldWindow is the span of time in which sends may be spread and still arrive within one second: opening a
	// connection may delay a send by 0.7 s.
	coldWindow = 1800 * time.Millisecond
	// coldRoleTTL is how long a node relies on its last decision whether it may send to a cold endpoint: about as long
	// as membership changes take to spread.
	coldRoleTTL = 500 * time.Millisecond
	// coldReportDelay is how long after the end of an evacuation the entry of an endpoint may not yet say that it is
	// cold: one interval between entries, and the delays of the store, the node that reads it and the nodes that follow
	// that node.
	coldReportDelay = 3 * time.Second
)

type (
	// ColdLimits bounds the requests that all nodes together send to a cold endpoint: in any second at most Excess
	// times the rate that its pool states, plus Slack.
	ColdLimits struct {
		Excess float64
		Slack  float64
	}

	// ColdShare is what each sender of a cold endpoint may send to it.
	ColdShare struct {
		// Senders is the number of nodes that may send, the highest ranked by rendezvous hash of the endpoint. 0 means
		// that there is no bound.
		Senders int
		// MinInterval is the minimum time between two sends of one node.
		MinInterval time.Duration
	}

	// ColdRole is whether a node is a sender of a cold endpoint, as it last decided. It is immutable.
	ColdRole struct {
		sender bool
		// senderSince is when the node became a sender. After a restart it is the start of the node, which has lost the
		// record of its earlier sends.
		senderSince time.Time
		decidedAt   time.Time
	}
)

// Share returns what each sender may send to a cold endpoint of a pool that states a rate, in requests a second. The
// bound also holds while two sets of senders are in use.
func (l ColdLimits) Share(rate float64) ColdShare {
	if rate <= 0 {
		return ColdShare{}
	}
	perView := max(1, max(rate, rate*l.Excess+l.Slack)/maxColdSenderSets)
	senders := min(maxColdSenders, int(perView))
	sendsPerSender := math.Floor(perView / float64(senders))
	return ColdShare{Senders: senders, MinInterval: time.Duration(float64(coldWindow)/sendsPerSender) + time.Millisecond}
}

// FractionalShare returns what each sender may send where the senders together may use only a part, from 0 to 1, of the
// bound of a cold endpoint.
func (l ColdLimits) FractionalShare(part, rate float64) ColdShare {
	l.Slack *= part
	return l.Share(rate * part)
}

// ForSingleSender returns the share of a node that is the only sender to the endpoints of a pool.
func (s ColdShare) ForSingleSender() ColdShare {
	if s.Senders > 1 {
		s.MinInterval /= time.Duration(s.Senders)
		s.Senders = 1
	}
	return s
}

// IsSender reports whether a node may send to an endpoint while it is cold. It ranks all announced nodes, reachable or
// not: nodes that are partitioned from each other would otherwise each rank themselves first. A node that knows of no
// nodes yet does not send.
func (s ColdShare) IsSender(self string, endpoint model.Endpoint, nodes []Peer) bool {
	own := rendezvousScore(endpoint.Incarnation(), self)
	before := 0
	for _, n := range nodes {
		if n.Name != self && rendezvousScore(endpoint.Incarnation(), n.Name) > own {
			before++
		}
	}
	return len(nodes) > 0 && s.IsSenderAtRank(before)
}

// IsSenderAtRank reports whether the node at a rank, counted from 0, may send to the endpoint.
func (s ColdShare) IsSenderAtRank(rank int) bool {
	return rank < s.Senders
}

// IsCold reports whether an endpoint may still be cold.
func IsCold(now time.Time, e model.Endpoint) bool {
	return now.Before(e.ColdUntil)
}

// AnyCold reports whether any of several endpoints that take work may still be cold.
func AnyCold(now time.Time, endpoints []model.Endpoint) bool {
	return slices.ContainsFunc(endpoints, func(e model.Endpoint) bool { return e.TakesWork() && IsCold(now, e) })
}

// Due reports whether a sender that last sent to a cold endpoint at sentAt may send to it again.
func (s ColdShare) Due(now, sentAt time.Time) bool {
	return sentAt.IsZero() || now.Sub(sentAt) >= s.MinInterval
}

// DueForRole reports whether a node with a role that last sent to a cold endpoint at sentAt may send to it now. A new
// sender waits for one interval first: the node that it replaces, or the node itself before a restart, may just have
// sent.
func (s ColdShare) DueForRole(now time.Time, role ColdRole, sentAt time.Time) bool {
	return role.sender && now.Sub(role.senderSince) >= s.MinInterval && s.Due(now, sentAt)
}

// Expired reports whether the role has to be decided again.
func (r ColdRole) Expired(now time.Time) bool {
	return r.decidedAt.IsZero() || now.Sub(r.decidedAt) >= coldRoleTTL
}

// With returns the role after a new decision of a node that started at startedAt.
func (r ColdRole) With(now, startedAt time.Time, sends bool) ColdRole {
	next := ColdRole{sender: sends, senderSince: r.senderSince, decidedAt: now}
	switch {
	case r.decidedAt.IsZero():
		next.senderSince = startedAt
	case sends && !r.sender:
		next.senderSince = now
	}
	return next
}
