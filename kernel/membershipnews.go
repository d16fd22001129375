package kernel

import (
	"math/bits"
	"slices"
	"time"
)

// Outgoing returns the news for one heartbeat: the node's own state first, then what it
// learned last.
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

// refute answers news that the node itself is dead or accused: it raises its beat.
func (m *Membership) refute(news GossipUpdate) {
	if news.Member.ID() != m.self.Member.ID() || news.Beat < m.self.Beat {
		return
	}
	if news.State == m.self.State && news.Accuser == "" {
		return
	}
	m.self.Beat = news.Beat + 1
	m.enqueue(m.selfUpdate())
}

func (m *Membership) recordSuspicion(now time.Time, news GossipUpdate) bool {
	info := m.members[news.Member.Node]
	if info == nil || info.State == MemberDead || info.Member.ID() != news.Member.ID() || news.Beat < info.Beat {
		return false
	}
	if at, known := info.suspectedBy[news.Accuser]; known && now.Sub(at) < suspicionTTL {
		return false
	}
	if info.suspectedBy == nil {
		info.suspectedBy = map[string]time.Time{}
	}
	info.suspectedBy[news.Accuser] = now
	m.enqueue(news)
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

// needed is lower in a fleet so small that there are no two accusers.
func (m *Membership) requiredSuspicions() int {
	others := 0
	for _, info := range m.members {
		if info.State != MemberDead {
			others++
		}
	}
	return max(1, min(suspicionQuorum, others))
}

func (m *Membership) setMember(now time.Time, news GossipUpdate) {
	info := m.members[news.Member.Node]
	m.sortedNames = nil
	if info == nil || info.Member.ID() != news.Member.ID() {
		info = &MemberInfo{LastHeard: now, StateChangedAt: now}
		m.members[news.Member.Node] = info
		m.stableSince = now
	}
	if info.State != news.State {
		info.StateChangedAt = now
		m.stableSince = now
	}
	if news.State == MemberAlive && info.State == MemberDead {
		info.LastHeard = now
	}
	info.Member = news.Member
	info.State = news.State
	info.Beat = news.Beat
	if news.FailureDomain != "" {
		info.FailureDomain = news.FailureDomain
	}
	clear(info.suspectedBy)
}

func (m *Membership) enqueue(news GossipUpdate) {
	m.queue = slices.DeleteFunc(m.queue, func(o queuedUpdate) bool { return sameSubject(o.update, news) })
	rounds := retransmitMultiplier * bits.Len(uint(len(m.members)+1))
	m.queue = append(m.queue, queuedUpdate{update: news, roundsLeft: rounds})
}

func sameSubject(a, b GossipUpdate) bool {
	return a.Member.Node == b.Member.Node && a.Accuser == b.Accuser && a.Pool == b.Pool && a.Endpoint == b.Endpoint
}

// supersedes tells whether news is newer than what is known. Incarnations are UUIDv7, so a
// later start sorts higher.
func supersedes(news GossipUpdate, info *MemberInfo) bool {
	if news.Member.Incarnation != info.Member.Incarnation {
		return news.Member.Incarnation > info.Member.Incarnation
	}
	if news.Beat != info.Beat {
		return news.Beat > info.Beat
	}
	return news.State > info.State
}
