package kernel

import (
	"math/bits"
	"slices"
	"strings"
	"time"
)

const (
	// SilentAfter is how long a neighbour may say nothing before it is accused.
	SilentAfter = 2500 * time.Millisecond
	// accusersNeeded is how many nodes must accuse a member before it counts as dead: one
	// cut connection accuses both its ends, wrongly.
	accusersNeeded = 2
	// accusationLasts is how long an accusation counts.
	accusationLasts = 10 * time.Second
	// newsMost bounds the news on one heartbeat.
	newsMost = 16
	// newsRounds times the logarithm of the fleet's size is how often a piece of news is sent.
	newsRounds = 3
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
	}

	outgoing struct {
		news News
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
		m.tell(News{Member: info.Member, Beat: info.Beat, State: MemberDead, FailureDomain: info.FailureDomain})
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

// Neighbours returns the live members that the node heartbeats: those one, two and four
// places further on the ring of names. Their answers and the heartbeats of those before it
// make six members watched.
func (m *Membership) Neighbours() []MemberInfo {
	ring := m.ring()
	at := slices.IndexFunc(ring, func(i MemberInfo) bool { return i.Member.Node == m.self.Member.Node })
	var out []MemberInfo
	for _, step := range []int{1, 2, 4} {
		next := ring[(at+step)%len(ring)]
		if next.Member.Node == m.self.Member.Node || step >= len(ring) {
			continue
		}
		out = append(out, next)
	}
	return out
}

// watched returns whom the node should hear of: its neighbours and those it is one to.
func (m *Membership) watched() []string {
	ring := m.ring()
	at := slices.IndexFunc(ring, func(i MemberInfo) bool { return i.Member.Node == m.self.Member.Node })
	var out []string
	for _, step := range []int{1, 2, 4, -1, -2, -4} {
		if step >= len(ring) || -step >= len(ring) {
			continue
		}
		out = append(out, ring[(at+step+len(ring))%len(ring)].Member.Node)
	}
	return out
}

func (m *Membership) ring() []MemberInfo {
	ring := []MemberInfo{m.self}
	for _, info := range m.members {
		if info.State != MemberDead {
			ring = append(ring, *info)
		}
	}
	slices.SortFunc(ring, func(a, b MemberInfo) int { return strings.Compare(a.Member.Node, b.Member.Node) })
	return ring
}

// Tick accuses members that went silent and forgets those long dead.
func (m *Membership) Tick(now time.Time) {
	for _, name := range m.watched() {
		info := m.members[name]
		if info == nil || info.State == MemberDead || now.Sub(info.Heard) < SilentAfter {
			continue
		}
		m.Take(now, News{Member: info.Member, Beat: info.Beat, Accuser: m.self.Member.Node})
	}
	for name, info := range m.members {
		if info.State == MemberDead && now.Sub(info.Changed) > forgetAfter {
			delete(m.members, name)
		}
		if info.State == MemberLeaving && now.Sub(info.Heard) > SilentAfter && now.Sub(info.Changed) > SilentAfter {
			m.put(now, News{Member: info.Member, Beat: info.Beat, State: MemberDead, FailureDomain: info.FailureDomain})
		}
	}
}

// Outgoing returns the news for one heartbeat: always the node's own state first.
func (m *Membership) Outgoing() []News {
	out := []News{m.selfNews()}
	kept := m.news[:0]
	for _, o := range m.news {
		if len(out) < newsMost {
			out = append(out, o.news)
			o.left--
		}
		if o.left > 0 {
			kept = append(kept, o)
		}
	}
	m.news = kept
	return out
}

func (m *Membership) selfNews() News {
	return News{Member: m.self.Member, Beat: m.self.Beat, State: m.self.State, FailureDomain: m.self.FailureDomain}
}

// refute answers news that the node itself is dead or accused: it raises its beat.
func (m *Membership) refute(news News) {
	if news.Member.ID() != m.self.Member.ID() || news.Beat < m.self.Beat {
		return
	}
	if news.State == m.self.State && news.Accuser == "" {
		return
	}
	m.self.Beat = news.Beat + 1
	m.tell(m.selfNews())
}

func (m *Membership) accuse(now time.Time, news News) bool {
	info := m.members[news.Member.Node]
	if info == nil || info.State == MemberDead || info.Member.ID() != news.Member.ID() || news.Beat < info.Beat {
		return false
	}
	if at, known := info.accusers[news.Accuser]; known && now.Sub(at) < accusationLasts {
		return false
	}
	if info.accusers == nil {
		info.accusers = map[string]time.Time{}
	}
	info.accusers[news.Accuser] = now
	m.tell(news)
	if m.accusersOf(now, info) >= m.needed() {
		m.Take(now, News{Member: info.Member, Beat: info.Beat, State: MemberDead, FailureDomain: info.FailureDomain})
	}
	return true
}

func (m *Membership) accusersOf(now time.Time, info *MemberInfo) int {
	n := 0
	for accuser, at := range info.accusers {
		if now.Sub(at) > accusationLasts {
			delete(info.accusers, accuser)
			continue
		}
		n++
	}
	return n
}

// needed is lower in a fleet so small that there are no two accusers.
func (m *Membership) needed() int {
	others := 0
	for _, info := range m.members {
		if info.State != MemberDead {
			others++
		}
	}
	return max(1, min(accusersNeeded, others))
}

func (m *Membership) put(now time.Time, news News) {
	info := m.members[news.Member.Node]
	if info == nil || info.Member.ID() != news.Member.ID() {
		info = &MemberInfo{Heard: now, Changed: now}
		m.members[news.Member.Node] = info
		m.stoodSince = now
	}
	if info.State != news.State {
		info.Changed = now
		m.stoodSince = now
	}
	if news.State == MemberAlive && info.State == MemberDead {
		info.Heard = now
	}
	info.Member = news.Member
	info.State = news.State
	info.Beat = news.Beat
	if news.FailureDomain != "" {
		info.FailureDomain = news.FailureDomain
	}
	clear(info.accusers)
}

func (m *Membership) tell(news News) {
	m.news = slices.DeleteFunc(m.news, func(o outgoing) bool { return sameSubject(o.news, news) })
	rounds := newsRounds * bits.Len(uint(len(m.members)+1))
	m.news = append(m.news, outgoing{news: news, left: rounds})
}

func sameSubject(a, b News) bool {
	return a.Member.Node == b.Member.Node && a.Accuser == b.Accuser && a.Pool == b.Pool && a.Endpoint == b.Endpoint
}

// supersedes tells whether news is newer than what is known. Incarnations are UUIDv7, so a
// later start sorts higher.
func supersedes(news News, info *MemberInfo) bool {
	if news.Member.Incarnation != info.Member.Incarnation {
		return news.Member.Incarnation > info.Member.Incarnation
	}
	if news.Beat != info.Beat {
		return news.Beat > info.Beat
	}
	return news.State > info.State
}
