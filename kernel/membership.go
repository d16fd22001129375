package kernel

import (
	"slices"
	"strings"
	"time"
)

const (
	// HeartbeatTimeout is how long a neighbour may say nothing before it is accused.
	HeartbeatTimeout = 2500 * time.Millisecond
	// accusersNeeded is how many nodes must accuse a member before it counts as dead: one
	// cut connection accuses both its ends, wrongly.
	accusersNeeded = 2
	// accusationLasts is how long an accusation counts.
	accusationLasts = 10 * time.Second
	// newsMost bounds the news on one heartbeat.
	newsMost = 16
	// newsRounds times the logarithm of the fleet's size is for how many rounds a piece of
	// news is sent.
	newsRounds = 2
	// forgetAfter is how long a dead member is remembered, so that the lagging list does not
	// bring it back.
	forgetAfter = 2 * time.Minute
)

// MemberState is what the fleet holds of a member.
type MemberState int

// The states of a member, in order of precedence at one beat.
const (
	MemberAlive MemberState = iota
	MemberLeaving
	MemberDead
)

type (
	// News is something that nodes pass on to each other. Exactly one of the three kinds:
	// a member's state, an accusation, or an endpoint that is leaving.
	News struct {
		Member Member
		// Beat orders the news of one incarnation; only the member itself raises it.
		Beat          uint64
		State         MemberState
		FailureDomain string
		// Accuser is set on an accusation: the node that hears nothing of the member.
		Accuser string
		// Pool and Endpoint are set on the news that an endpoint is leaving.
		Pool     string
		Endpoint string
	}

	// MemberInfo is what is known of a member.
	MemberInfo struct {
		Member        Member
		FailureDomain string
		State         MemberState
		Beat          uint64
		// Heard is when the member itself last spoke to this node.
		Heard time.Time
		// Changed is when State last changed.
		Changed time.Time

		accusers map[string]time.Time
	}

	// Membership is a node's view of the fleet, from the platform's list, from heartbeats to
	// a few neighbours, and from news. It changes in place.
	Membership struct {
		self    MemberInfo
		members map[string]*MemberInfo
		news    []outgoing
		// stoodSince is when the set of live members last changed.
		stoodSince time.Time
		// turn picks the dead member that is tried next.
		turn int
		// watchedSince holds the members that the node should hear of.
		watchedSince map[string]time.Time
		// order is the ring, nil after a change.
		order []string
		// longTurn picks the far member that is heartbeaten next.
		longTurn int
	}

	outgoing struct {
		news News
		// left counts the rounds in which it is still sent.
		left int
	}
)

// NewMembership returns the view of a node that knows only itself.
func NewMembership(now time.Time, self Member, domain string) *Membership {
	info := MemberInfo{Member: self, FailureDomain: domain, State: MemberAlive, Beat: 1, Heard: now, Changed: now}
	m := &Membership{self: info, members: map[string]*MemberInfo{}, stoodSince: now}
	m.tell(m.selfNews())
	return m
}

// Self returns the node's own entry.
func (m *Membership) Self() MemberInfo {
	return m.self
}

// Leave marks the node itself as leaving.
func (m *Membership) Leave(now time.Time) {
	m.self.State = MemberLeaving
	m.self.Beat++
	m.stoodSince = now
	m.tell(m.selfNews())
}

// Alive returns the live members, the node itself among them unless it leaves, in order.
func (m *Membership) Alive() []Member {
	var out []Member
	if m.self.State == MemberAlive {
		out = append(out, m.self.Member)
	}
	for _, info := range m.members {
		if info.State == MemberAlive {
			out = append(out, info.Member)
		}
	}
	return sortedMembers(out)
}

// StoodSince returns since when the set of live members has not changed.
func (m *Membership) StoodSince() time.Time {
	return m.stoodSince
}

// Members returns what is known of all members, the node itself first.
func (m *Membership) Members() []MemberInfo {
	out := []MemberInfo{m.self}
	for _, info := range m.members {
		out = append(out, *info)
	}
	slices.SortFunc(out[1:], func(a, b MemberInfo) int { return strings.Compare(a.Member.Node, b.Member.Node) })
	return out
}

// Heard notes that a member itself spoke.
func (m *Membership) Heard(now time.Time, news News) {
	m.Take(now, news)
	info := m.members[news.Member.Node]
	if info == nil || info.Member.ID() != news.Member.ID() {
		return
	}
	info.Heard = now
	clear(info.accusers)
	if info.State == MemberDead {
		// It does not know that it is held dead: the news makes it raise its beat.
		m.tell(info.news())
	}
}

// Listed notes that the platform's list names a member. The list lags: it introduces members
// that are not known, and says nothing of those that are.
func (m *Membership) Listed(now time.Time, member Member, domain string) {
	if _, known := m.members[member.Node]; known || member.Node == m.self.Member.Node {
		return
	}
	m.Take(now, News{Member: member, FailureDomain: domain, State: MemberAlive})
}

// Take takes a piece of news in and passes it on if it is new. It reports whether it was.
func (m *Membership) Take(now time.Time, news News) bool {
	if news.Member.Node == m.self.Member.Node {
		m.refute(news)
		return false
	}
	if news.Accuser != "" {
		return m.accuse(now, news)
	}
	info := m.members[news.Member.Node]
	if info != nil && !supersedes(news, info) {
		return false
	}
	m.put(now, news)
	m.tell(news)
	return true
}

// PassOn queues the news that an endpoint is leaving.
func (m *Membership) PassOn(pool, endpoint string) {
	m.tell(News{Pool: pool, Endpoint: endpoint})
}

// Tick begins a round of heartbeats: it accuses members that went silent, forgets those long
// dead, and drops news that was sent for enough rounds.
func (m *Membership) Tick(now time.Time) {
	for i := range m.news {
		m.news[i].left--
	}
	m.news = slices.DeleteFunc(m.news, func(o outgoing) bool { return o.left <= 0 })
	for _, name := range m.watch(now) {
		info := m.members[name]
		if info == nil || now.Sub(info.Heard) < HeartbeatTimeout || now.Sub(m.watchedSince[name]) < HeartbeatTimeout {
			continue
		}
		m.Take(now, News{Member: info.Member, Beat: info.Beat, Accuser: m.self.Member.Node})
	}
	for name, info := range m.members {
		if info.State == MemberDead && now.Sub(info.Changed) > forgetAfter {
			delete(m.members, name)
		}
		if info.State == MemberLeaving && now.Sub(info.Heard) > HeartbeatTimeout && now.Sub(info.Changed) > HeartbeatTimeout {
			m.put(now, News{Member: info.Member, Beat: info.Beat, State: MemberDead, FailureDomain: info.FailureDomain})
		}
	}
}
