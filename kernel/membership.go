package kernel

import (
	"slices"
	"strings"
	"time"
)

const (
	// HeartbeatTimeout is how long a neighbour may say nothing before it is accused.
	HeartbeatTimeout = 2500 * time.Millisecond
	// suspicionQuorum is how many nodes must accuse a member before it counts as dead: one
	// cut connection accuses both its ends, wrongly.
	suspicionQuorum = 2
	// suspicionTTL is how long an accusation counts.
	suspicionTTL = 10 * time.Second
	// maxHeartbeatUpdates bounds the news on one heartbeat.
	maxHeartbeatUpdates = 16
	// retransmitMultiplier times the logarithm of the fleet's size is for how many rounds a piece of
	// news is sent.
	retransmitMultiplier = 2
	// deadRetention is how long a dead member is remembered, so that the lagging list does not
	// bring it back.
	deadRetention = 2 * time.Minute
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
	GossipUpdate struct {
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
		LastHeard time.Time
		// Changed is when State last changed.
		StateChangedAt time.Time

		suspectedBy map[string]time.Time
	}

	// Membership is a node's view of the fleet, from the platform's list, from heartbeats to
	// a few neighbours, and from news. It changes in place.
	Membership struct {
		self    MemberInfo
		members map[string]*MemberInfo
		queue   []queuedUpdate
		// stableSince is when the set of live members last changed.
		stableSince time.Time
		// turn picks the dead member that is tried next.
		deadIndex int
		// monitoredSince holds the members that the node should hear of.
		monitoredSince map[string]time.Time
		// order is the ring, nil after a change.
		sortedNames []string
		// farIndex picks the far member that is heartbeaten next.
		farIndex int
	}

	queuedUpdate struct {
		update GossipUpdate
		// left counts the rounds in which it is still sent.
		roundsLeft int
	}
)

// NewMembership returns the view of a node that knows only itself.
func NewMembership(now time.Time, self Member, domain string) *Membership {
	info := MemberInfo{Member: self, FailureDomain: domain, State: MemberAlive, Beat: 1, LastHeard: now, StateChangedAt: now}
	m := &Membership{self: info, members: map[string]*MemberInfo{}, stableSince: now}
	m.enqueue(m.selfUpdate())
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
	m.stableSince = now
	m.enqueue(m.selfUpdate())
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

// StableSince returns since when the set of live members has not changed.
func (m *Membership) StableSince() time.Time {
	return m.stableSince
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
func (m *Membership) RecordHeartbeat(now time.Time, news GossipUpdate) {
	m.Apply(now, news)
	info := m.members[news.Member.Node]
	if info == nil || info.Member.ID() != news.Member.ID() {
		return
	}
	info.LastHeard = now
	clear(info.suspectedBy)
	if info.State == MemberDead {
		// It does not know that it is held dead: the news makes it raise its beat.
		m.enqueue(info.update())
	}
}

// Listed notes that the platform's list names a member. The list lags: it introduces members
// that are not known, and says nothing of those that are.
func (m *Membership) AddListed(now time.Time, member Member, domain string) {
	if _, known := m.members[member.Node]; known || member.Node == m.self.Member.Node {
		return
	}
	m.Apply(now, GossipUpdate{Member: member, FailureDomain: domain, State: MemberAlive})
}

// Take takes a piece of news in and passes it on if it is new. It reports whether it was.
func (m *Membership) Apply(now time.Time, news GossipUpdate) bool {
	if news.Member.Node == m.self.Member.Node {
		m.refute(news)
		return false
	}
	if news.Accuser != "" {
		return m.recordSuspicion(now, news)
	}
	info := m.members[news.Member.Node]
	if info != nil && !supersedes(news, info) {
		return false
	}
	m.setMember(now, news)
	m.enqueue(news)
	return true
}

// AnnounceLeaving queues the news that an endpoint is leaving.
func (m *Membership) AnnounceLeaving(pool, endpoint string) {
	m.enqueue(GossipUpdate{Pool: pool, Endpoint: endpoint})
}

// Tick begins a round of heartbeats: it accuses members that went silent, forgets those long
// dead, and drops news that was sent for enough rounds.
func (m *Membership) Tick(now time.Time) {
	for i := range m.queue {
		m.queue[i].roundsLeft--
	}
	m.queue = slices.DeleteFunc(m.queue, func(o queuedUpdate) bool { return o.roundsLeft <= 0 })
	for _, name := range m.updateMonitored(now) {
		info := m.members[name]
		if info == nil || now.Sub(info.LastHeard) < HeartbeatTimeout || now.Sub(m.monitoredSince[name]) < HeartbeatTimeout {
			continue
		}
		m.Apply(now, GossipUpdate{Member: info.Member, Beat: info.Beat, Accuser: m.self.Member.Node})
	}
	for name, info := range m.members {
		if info.State == MemberDead && now.Sub(info.StateChangedAt) > deadRetention {
			delete(m.members, name)
		}
		if info.State == MemberLeaving && now.Sub(info.LastHeard) > HeartbeatTimeout && now.Sub(info.StateChangedAt) > HeartbeatTimeout {
			m.setMember(now, GossipUpdate{Member: info.Member, Beat: info.Beat, State: MemberDead, FailureDomain: info.FailureDomain})
		}
	}
}
