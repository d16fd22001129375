package kernel

import (
	"math/bits"
	"slices"
	"time"
)

// Outgoing returns the news for one heartbeat: the node's own state first, then what it
// learned last.
func (m *Membership) Outgoing() []News {
	out := []News{m.selfNews()}
	for i := len(m.news) - 1; i >= 0 && len(out) < newsMost; i-- {
		out = append(out, m.news[i].news)
	}
	return out
}

func (m *Membership) selfNews() News {
	return m.self.news()
}

func (i MemberInfo) news() News {
	return News{Member: i.Member, Beat: i.Beat, State: i.State, FailureDomain: i.FailureDomain}
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
	m.order = nil
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
