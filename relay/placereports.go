package relay

import (
	"context"

	"basilstall.example/basilstall/peer"
)

// reportsOf returns the reports of a group. The caller holds s.mu.
func (s *placing) reportsOf(group placeGroup) *groupReports {
	g := s.groups[group]
	if g == nil {
		g = &groupReports{}
		s.groups[group] = g
	}
	g.usedAt = s.relay.now()
	return g
}

// take returns the reports that wait for the placer of a group. A new placer also gets the last prompts, as it does not
// know what the engines have cached.
func (s *placing) take(group placeGroup, placer string) []peer.PlaceReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.reportsOf(group)
	reports := g.waiting
	g.waiting = nil
	if g.placer != placer {
		g.placer = placer
		reports = append(reports, g.held...)
	}
	return reports
}

// giveBack keeps reports that were not received for the next message.
func (s *placing) giveBack(group placeGroup, reports []peer.PlaceReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.reportsOf(group)
	g.waiting = append(reports, g.waiting...)
	g.waiting = g.waiting[max(0, len(g.waiting)-maxPlaceReports):]
}

// add adds a report, which the next message to the placer of the group carries.
func (s *placing) add(group placeGroup, report peer.PlaceReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.reportsOf(group)
	g.waiting = append(g.waiting, report)
	g.waiting = g.waiting[max(0, len(g.waiting)-maxPlaceReports):]
}

// hold records that a prompt was sent to an engine.
func (s *placing) hold(group placeGroup, report peer.PlaceReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.reportsOf(group)
	g.held = append(g.held, report)
	g.held = g.held[max(0, len(g.held)-heldPrompts):]
}

// flush sends the reports that wait, and forgets groups that were not used lately.
func (s *placing) flush() {
	now := s.relay.now()
	s.mu.Lock()
	var due []placeGroup
	for group, g := range s.groups {
		switch {
		case len(g.waiting) > 0:
			due = append(due, group)
		case now.Sub(g.usedAt) > placerRetention:
			delete(s.groups, group)
		}
	}
	s.mu.Unlock()
	for _, group := range due {
		s.send(group)
	}
}

// send sends the reports that wait for the placer of a group.
func (s *placing) send(group placeGroup) {
	r := s.relay
	node := s.knownPlacer(group)
	if node == "" || s.paused(node) {
		return
	}
	m := peer.PlaceReports{Pool: group.pool, Group: group.group, Groups: group.groups, Node: r.options.Name, Reports: s.take(group, node)}
	if node == r.options.Name {
		r.placers.report(m)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(r.ctx, notifyTimeout)
		defer cancel()
		var empty peer.Empty
		if r.callNode(ctx, node, peer.KindPlaceReports, m, &empty) != nil {
			r.metrics.CountEvent("PlaceReportsLost")
		}
	}()
}
