package kernel

import (
	"math/bits"
	"slices"
	"strings"
	"time"
)

// Neighbours returns the members that the node heartbeats: those one, two and four places
// further on the ring of names. Their answers and the heartbeats of those before it make six
// members watched. In a large fleet one member further off, in turn, makes news spread in a
// number of rounds that grows with the logarithm of the fleet. One dead member in turn is tried too: two sides of a cut that hold each
// other dead would else never speak again.
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

func (m *Membership) farStep(ringSize int) []int {
	const shortest = 8
	if ringSize <= shortest {
		return nil
	}
	m.farIndex++
	steps := bits.Len(uint(ringSize-1)) - bits.Len(shortest) + 1
	return []int{shortest << (m.farIndex % steps)}
}

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

// watch returns whom the node should hear of, and notes since when: a member that was not a
// neighbour before had no reason to speak.
func (m *Membership) updateMonitored(now time.Time) []string {
	names := m.monitored()
	since := make(map[string]time.Time, len(names))
	for _, name := range names {
		since[name] = now
		if before, was := m.monitoredSince[name]; was {
			since[name] = before
		}
	}
	m.monitoredSince = since
	return names
}

// watched returns whom the node should hear of: its neighbours and those it is one to.
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
