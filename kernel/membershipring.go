package kernel

import (
	"math/bits"
	"slices"
	"strings"
	"time"
)

// Neighbours returns the members to send heartbeats to: those one, two and four places further on the ring of names.
// With the members whose heartbeats it receives, a node monitors six members. A large fleet adds a more distant
// member, a different one in each round, so that updates spread in a number of rounds that grows with the logarithm
// of the fleet's size. One dead member is added too, in turn: otherwise two sides of a network partition that
// declared each other dead would never reconnect.
func (m *Membership) Neighbours() []MemberInfo {
	ring := m.ring()
	at := slices.Index(ring, m.self.Member.Node)
	var out []MemberInfo
	for _, step := range append([]int{1, 2, 4}, m.farStep(len(ring))...) {
		if step < len(ring) {
			out = append(out, *m.members[ring[(at+step)%len(ring)]])
		}
	}
	if dead, ok := m.nextDead(); ok {
		m.enqueue(dead.update())
		out = append(out, dead)
	}
	return out
}

// farStep returns the distance on the ring of this round's distant member; none in a small fleet.
func (m *Membership) farStep(ringSize int) []int {
	const shortest = 8
	if ringSize <= shortest {
		return nil
	}
	m.farIndex++
	steps := bits.Len(uint(ringSize-1)) - bits.Len(shortest) + 1
	return []int{shortest << (m.farIndex % steps)}
}

// nextDead returns the dead member whose turn it is. It returns false if there is none.
func (m *Membership) nextDead() (MemberInfo, bool) {
	var dead []MemberInfo
	for _, info := range m.members {
		if info.State == MemberDead {
			dead = append(dead, *info)
		}
	}
	if len(dead) == 0 {
		return MemberInfo{}, false
	}
	slices.SortFunc(dead, func(a, b MemberInfo) int { return strings.Compare(a.Member.Node, b.Member.Node) })
	m.deadIndex++
	return dead[m.deadIndex%len(dead)], true
}

// updateMonitored returns the members to monitor and records since when each of them has been monitored: a member
// that was not a neighbour before had no reason to send heartbeats.
func (m *Membership) updateMonitored(now time.Time) []string {
	names := m.monitored()
	since := make(map[string]time.Time, len(names))
	for _, name := range names {
		since[name] = now
		if previous, known := m.monitoredSince[name]; known {
			since[name] = previous
		}
	}
	m.monitoredSince = since
	return names
}

// monitored returns the members that the node should hear from: its neighbours, and the members whose neighbour it
// is.
func (m *Membership) monitored() []string {
	ring := m.ring()
	at := slices.Index(ring, m.self.Member.Node)
	var out []string
	for _, step := range []int{1, 2, 4, -1, -2, -4} {
		if step < len(ring) && -step < len(ring) {
			out = append(out, ring[(at+step+len(ring))%len(ring)])
		}
	}
	return out
}

// ring returns the names of all members that are not dead, in order.
func (m *Membership) ring() []string {
	if m.sortedNames != nil {
		return m.sortedNames
	}
	m.sortedNames = []string{m.self.Member.Node}
	for name, info := range m.members {
		if info.State != MemberDead {
			m.sortedNames = append(m.sortedNames, name)
		}
	}
	slices.Sort(m.sortedNames)
	return m.sortedNames
}
