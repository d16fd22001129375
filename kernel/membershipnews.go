package kernel

import (
	"math/bits"
	"slices"
	"time"
)

// PendingUpdates returns the updates for one heartbeat: the node's own state first, then the most recently queued
// ones.
func (m *Membership) PendingUpdates() []GossipUpdate {
	out := []GossipUpdate{m.selfUpdate()}
	for i := len(m.queue) - 1; i >= 0 && len(out) < maxHeartbeatUpdates; i-- {
		out = append(out, m.queue[i].update)
	}
	return out
}

func (m *Membership) selfUpdate() GossipUpdate {
	return m.self.update()
}

func (i MemberInfo) update() GossipUpdate {
	return GossipUpdate{Member: i.Member, Beat: i.Beat, State: i.State, FailureDomain: i.FailureDomain}
}

// refute responds to an update that reports the node itself as dead, in a wrong state, or suspected: it raises the
// node's beat above the update's.
func (m *Membership) refute(update GossipUpdate) {
	if update.Member.ID() != m.self.Member.ID() || update.Beat < m.self.Beat {
		return
	}
	if update.State == m.self.State && update.Accuser == "" {
		return
	}
	m.self.Beat = update.Beat + 1
	m.enqueue(m.selfUpdate())
}

// recordSuspicion records that a node suspects a member, and declares the member dead once enough nodes do. It reports
// whether the suspicion was new.
func (m *Membership) recordSuspicion(now time.Time, update GossipUpdate) bool {
	info := m.members[update.Member.Node]
	if info == nil || info.State == MemberDead || info.Member.ID() != update.Member.ID() || update.Beat < info.Beat {
		return false
	}
	if at, known := info.suspectedBy[update.Accuser]; known && now.Sub(at) < suspicionTTL {
		return false
	}
	if info.suspectedBy == nil {
		info.suspectedBy = map[string]time.Time{}
	}
	info.suspectedBy[update.Accuser] = now
	m.enqueue(update)
	if m.countSuspicions(now, info) >= m.requiredSuspicions() {
		m.Apply(now, GossipUpdate{Member: info.Member, Beat: info.Beat, State: MemberDead, FailureDomain: info.FailureDomain})
	}
	return true
}

func (m *Membership) countSuspicions(now time.Time, info *MemberInfo) int {
	n := 0
	for accuser, at := range info.suspectedBy {
		if now.Sub(at) > suspicionTTL {
			delete(info.suspectedBy, accuser)
			continue
		}
		n++
	}
	return n
}

// requiredSuspicions returns suspicionQuorum, or less in a fleet too small to have that many suspecting nodes.
func (m *Membership) requiredSuspicions() int {
	others := 0
	for _, info := range m.members {
		if info.State != MemberDead {
			others++
		}
	}
	return max(1, min(suspicionQuorum, others))
}

func (m *Membership) setMember(now time.Time, update GossipUpdate) {
	info := m.members[update.Member.Node]
	m.sortedNames = nil
	if info == nil || info.Member.ID() != update.Member.ID() {
		info = &MemberInfo{LastHeard: now, StateChangedAt: now}
		m.members[update.Member.Node] = info
		m.stableSince = now
	}
	if info.State != update.State {
		info.StateChangedAt = now
		m.stableSince = now
	}
	if update.State == MemberAlive && info.State == MemberDead {
		info.LastHeard = now
	}
	info.Member = update.Member
	info.State = update.State
	info.Beat = update.Beat
	if update.FailureDomain != "" {
		info.FailureDomain = update.FailureDomain
	}
	clear(info.suspectedBy)
}

// enqueue queues an update for sending in place of an earlier one on the same subject.
func (m *Membership) enqueue(update GossipUpdate) {
	m.queue = slices.DeleteFunc(m.queue, func(queued queuedUpdate) bool { return sameSubject(queued.update, update) })
	rounds := retransmitMultiplier * bits.Len(uint(len(m.members)+1))
	m.queue = append(m.queue, queuedUpdate{update: update, roundsLeft: rounds})
}

// sameSubject reports whether two updates are on the same member state, suspicion or endpoint, so that the newer one
// replaces the other in the queue.
func sameSubject(a, b GossipUpdate) bool {
	return a.Member.Node == b.Member.Node && a.Accuser == b.Accuser && a.Pool == b.Pool && a.Endpoint == b.Endpoint
}

// supersedes reports whether an update is newer than what is known. Incarnations are UUIDv7, so a later start sorts
// higher.
func supersedes(update GossipUpdate, info *MemberInfo) bool {
	if update.Member.Incarnation != info.Member.Incarnation {
		return update.Member.Incarnation > info.Member.Incarnation
	}
	if update.Beat != info.Beat {
		return update.Beat > info.Beat
	}
	return update.State > info.State
}
