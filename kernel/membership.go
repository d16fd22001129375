package kernel

import (
	"slices"
	"strings"
	"time"
)

const (
	// HeartbeatTimeout is how long a monitored member may be silent before it is suspected.
	HeartbeatTimeout = 2500 * time.Millisecond
	// suspicionQuorum is the number of nodes that must suspect a member before it is declared dead. One is not
	// enough: both ends of a broken connection suspect each other, wrongly.
	suspicionQuorum = 2
	// suspicionTTL is how long a suspicion counts.
	suspicionTTL = 10 * time.Second
	// maxHeartbeatUpdates bounds the updates in one heartbeat.
	maxHeartbeatUpdates = 16
	// retransmitMultiplier times the logarithm of the fleet's size is the number of rounds in which an update is
	// sent.
	retransmitMultiplier = 2
	// deadRetention is how long a dead member is remembered, so that the platform's list, which lags, does not add
	// it again.
	deadRetention = 2 * time.Minute
)

// MemberState is the state of a member as known to a node.
type MemberState int

// The states of a member, in order of precedence among updates with the same Beat.
const (
	MemberAlive MemberState = iota
	MemberLeaving
	MemberDead
)

type (
	// GossipUpdate is information that nodes pass on to each other. It is exactly one of three kinds: the state of a
	// member, a suspicion of a member, or the notice that an endpoint is leaving.
	GossipUpdate struct {
		Member Member
		// Beat is a counter that orders the updates on one incarnation. Only the member itself raises it.
		Beat          uint64
		State         MemberState
		FailureDomain string
		// Accuser is set on a suspicion: the node that no longer hears from the member.
		Accuser string
		// Pool and Endpoint, an incarnation, are set on the notice that an endpoint is leaving.
		Pool     string
		Endpoint string
	}

	// MemberInfo is what a node knows of a member.
	MemberInfo struct {
		Member        Member
		FailureDomain string
		State         MemberState
		Beat          uint64
		// LastHeard is when this node last received a heartbeat, or the reply to one, from the member itself.
		LastHeard time.Time
		// StateChangedAt is when State last changed.
		StateChangedAt time.Time

		// suspectedBy holds when each node reported that it suspects the member.
		suspectedBy map[string]time.Time
	}

	// Membership is a node's view of the fleet. Its sources are the platform's list, heartbeats exchanged with a few
	// neighbours, and the updates that these carry. It changes in place.
	Membership struct {
		self    MemberInfo
		members map[string]*MemberInfo
		queue   []queuedUpdate
		// stableSince is when the set of live members last changed.
		stableSince time.Time
		// deadIndex selects the dead member that gets the next heartbeat.
		deadIndex int
		// monitoredSince holds since when each monitored member has been monitored.
		monitoredSince map[string]time.Time
		// sortedNames is the ring; nil after a change of the members.
		sortedNames []string
		// farIndex selects the distant member that gets the next heartbeat.
		farIndex int
	}

	queuedUpdate struct {
		update GossipUpdate
		// roundsLeft counts the rounds in which the update is still sent.
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

// Alive returns the live members in order. The node itself is among them unless it is leaving.
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

// Members returns all known members, the node itself first.
func (m *Membership) Members() []MemberInfo {
	out := []MemberInfo{m.self}
	for _, info := range m.members {
		out = append(out, *info)
	}
	slices.SortFunc(out[1:], func(a, b MemberInfo) int { return strings.Compare(a.Member.Node, b.Member.Node) })
	return out
}

// RecordHeartbeat applies an update that a member sent about itself, and records that the member is reachable.
func (m *Membership) RecordHeartbeat(now time.Time, update GossipUpdate) {
	m.Apply(now, update)
	info := m.members[update.Member.Node]
	if info == nil || info.Member.ID() != update.Member.ID() {
		return
	}
	info.LastHeard = now
	clear(info.suspectedBy)
	if info.State == MemberDead {
		// The member does not know that it was declared dead: this update makes it raise its beat.
		m.enqueue(info.update())
	}
}

// AddListed adds a member that is on the platform's list. Members that are known already are left as they are,
// because the list lags.
func (m *Membership) AddListed(now time.Time, member Member, domain string) {
	if _, known := m.members[member.Node]; known || member.Node == m.self.Member.Node {
		return
	}
	m.Apply(now, GossipUpdate{Member: member, FailureDomain: domain, State: MemberAlive})
}

// Apply applies an update and, if it is new, queues it for sending. It reports whether it was new.
func (m *Membership) Apply(now time.Time, update GossipUpdate) bool {
	if update.Member.Node == m.self.Member.Node {
		m.refute(update)
		return false
	}
	if update.Accuser != "" {
		return m.recordSuspicion(now, update)
	}
	info := m.members[update.Member.Node]
	if info != nil && !supersedes(update, info) {
		return false
	}
	m.setMember(now, update)
	m.enqueue(update)
	return true
}

// AnnounceLeaving queues the notice that an incarnation of an endpoint is leaving.
func (m *Membership) AnnounceLeaving(pool, incarnation string) {
	m.enqueue(GossipUpdate{Pool: pool, Endpoint: incarnation})
}

// Tick begins a round of heartbeats. It drops updates that were sent in enough rounds, suspects monitored members
// that have been silent for HeartbeatTimeout, declares leaving members dead once they are silent for as long, and
// removes members that have been dead for deadRetention.
func (m *Membership) Tick(now time.Time) {
	for i := range m.queue {
		m.queue[i].roundsLeft--
	}
	m.queue = slices.DeleteFunc(m.queue, func(queued queuedUpdate) bool { return queued.roundsLeft <= 0 })
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
