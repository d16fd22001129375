package kernel

import (
	"math"
	"slices"
	"time"

	"basilstall.example/basilstall/model"
)

const (
	// maxColdSenders is how many nodes may send to one cold endpoint. Few nodes with several sends each keep a bound
	// on the sum closer than many with less than one.
	maxColdSenders = 3
	// maxColdViews is how many different choices of senders may be in force at one time: of nodes that have heard who
	// joined or left and of those that have not.
	maxColdViews = 2
	// coldWindow is the time in whose sends may arrive within one second: opening a connection may take 0.7 s.
	coldWindow = 1800 * time.Millisecond
	// coldRoleTTL is how long it counts whether a node may send to a cold endpoint: about as long as nodes take to learn
	// of each other.
	coldRoleTTL = 500 * time.Millisecond
	// coldReportDelay is how long after the end of an evacuation an endpoint's own entry may not yet say that it is cold:
	// an interval of entries, and the ways through the store, a reader and its followers.
	coldReportDelay = 3 * time.Second
)

type (
	// ColdLimits bound what all nodes together send to a cold endpoint: in any second at most Excess times the rate that
	// its pool states, and Slack.
	ColdLimits struct {
		Excess float64
		Slack  float64
	}

	// ColdShare is what a cold endpoint may get of each of the nodes that may send to it.
	ColdShare struct {
		// Senders is how many nodes may send, the first ones by the endpoint's hash; 0 means that there is no bound.
		Senders int
		// Pause is the least time between two sends of one node.
		MinInterval time.Duration
	}

	// ColdRole is whether a node is one of those that may send to a cold endpoint, as it decided last. It is immutable.
	ColdRole struct {
		sender bool
		// since is from when on it is, or may have forgotten that it was.
		senderSince time.Time
		decidedAt   time.Time
	}
)

// Share returns what each sender may send to a cold endpoint of a pool with a stated rate a second. The bound holds
// where two choices of senders are in force at once.
func (t ColdLimits) Share(rate float64) ColdShare {
	if rate <= 0 {
		return ColdShare{}
	}
	each := max(1, max(rate, rate*t.Excess+t.Slack)/maxColdViews)
	senders := min(maxColdSenders, int(each))
	sends := math.Floor(each / float64(senders))
	return ColdShare{Senders: senders, MinInterval: time.Duration(float64(coldWindow)/sends) + time.Millisecond}
}

// FractionalShare returns what each sender may send where all of them may use only a part of what a cold endpoint bears, from
// 0 to 1.
func (t ColdLimits) FractionalShare(part, rate float64) ColdShare {
	t.Slack *= part
	return t.Share(rate * part)
}

// Single returns the share of a node that alone sends to the endpoints of a pool.
func (s ColdShare) ForSingleSender() ColdShare {
	if s.Senders > 1 {
		s.MinInterval /= time.Duration(s.Senders)
		s.Senders = 1
	}
	return s
}

// Sends tells whether a node is one of those that may send to an endpoint while it is cold, by all nodes that have
// announced themselves, reachable or not: nodes that are cut off from each other would else all take themselves for
// the first. A node that knows of none yet does not send.
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

// IsSenderAtRank tells whether a node before which so many come by the endpoint's hash is one of those that may send to it.
func (s ColdShare) IsSenderAtRank(place int) bool {
	return place < s.Senders
}

// IsCold tells whether an endpoint may still be cold.
func IsCold(now time.Time, e model.Endpoint) bool {
	return now.Before(e.ColdUntil)
}

// AnyCold tells whether one of several endpoints that take work may still be cold.
func AnyCold(now time.Time, endpoints []model.Endpoint) bool {
	return slices.ContainsFunc(endpoints, func(e model.Endpoint) bool { return e.TakesWork() && IsCold(now, e) })
}

// Due tells whether a sender may send to a cold endpoint again.
func (s ColdShare) Due(now, sentAt time.Time) bool {
	return sentAt.IsZero() || now.Sub(sentAt) >= s.MinInterval
}

// DueForRole tells whether a node with a duty that last sent to a cold endpoint at a time may send there now. A sender that is new
// waits for a pause first: the one whose place it takes, or itself before it started again, may just have sent.
func (s ColdShare) DueForRole(now time.Time, duty ColdRole, sentAt time.Time) bool {
	return duty.sender && now.Sub(duty.senderSince) >= s.MinInterval && s.Due(now, sentAt)
}

// Outdated tells whether the duty is to be decided anew.
func (d ColdRole) Expired(now time.Time) bool {
	return d.decidedAt.IsZero() || now.Sub(d.decidedAt) >= coldRoleTTL
}

// With returns the duty after it was decided anew, by a node that started at a time.
func (d ColdRole) With(now, startedAt time.Time, sends bool) ColdRole {
	next := ColdRole{sender: sends, senderSince: d.senderSince, decidedAt: now}
	switch {
	case d.decidedAt.IsZero():
		next.senderSince = startedAt
	case sends && !d.sender:
		next.senderSince = now
	}
	return next
}
