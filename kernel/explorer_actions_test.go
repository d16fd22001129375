package kernel_test

import (
	"slices"
	"time"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// read lets a process read any row version newer than the one it knows.
func (e *explorer) read(s exploreState, p int) {
	for v := max(0, s.procs[p].known+1); v < len(s.rows); v++ {
		next := s.clone()
		next.procs[p].known = v
		e.push(next)
	}
}

// swap lets a process that knows the newest row write the next one; the reply may be lost.
func (e *explorer) swap(s exploreState, p int) {
	if e.grants || s.procs[p].known != len(s.rows)-1 {
		return
	}
	row := s.rows[s.procs[p].known]
	for _, written := range e.writes(s, p, row) {
		next := s.clone()
		next.rows = append(next.rows, written)
		next.rowsKey += rowKey(written)
		e.push(next)
		answered := next.clone()
		answered.procs[p].known = len(next.rows) - 1
		e.push(answered)
	}
}

func (e *explorer) writes(s exploreState, p int, row kernel.Claims) []kernel.Claims {
	var out []kernel.Claims
	if firm := row.Firm.Add(time.Millisecond); !firm.After(time.UnixMilli(exploreMaxTime)) {
		out = append(out, row.WithHorizon(firm, firm, "w"))
	}
	if p == leaver && s.procs[p].stopped && s.handed && !row.HasLeft(exploreMember(p).ID()) {
		out = append(out, row.WithTransfer(exploreMember(p).ID(), exploreMember(e.heir(s)), "w"))
	}
	return out
}

// beginEra lets a process send an era to the table. The era starts above what the process has granted, or what
// another member of the newest era returns when it is sealed, or above the whole horizon.
func (e *explorer) beginEra(s exploreState, p int) {
	known := s.procs[p].known
	if known != len(s.rows)-1 || len(s.rows[known].Eras) >= exploreMaxEras || len(s.pending) > 0 || s.procs[p].stopped {
		return
	}
	row := s.rows[known]
	next := s.clone()
	if has(row.NewestEra().Members, exploreMember(p)) {
		e.sendEras(next, known, next.grants[p].BeginEra(row))
		return
	}
	e.sendEras(next, known, row.Horizon)
	for q := range exploreProcs {
		if q != p && s.procs[q].alive && s.procs[q].known >= known && has(row.NewestEra().Members, exploreMember(q)) {
			asked := s.clone()
			e.sendEras(asked, known, asked.grants[q].Seal(s.rows[s.procs[q].known], row.Number))
		}
	}
}

func (e *explorer) sendEras(s exploreState, version int, from time.Time) {
	row := s.rows[version]
	if e.fault == eraBelowGrants {
		from = row.Firm
	}
	end := time.UnixMilli(exploreMaxTime)
	memberSets := [][]int{{1}, {2}, {1, 2}, {0}}
	if e.grants {
		memberSets = [][]int{{1}, {2}}
	}
	for _, set := range memberSets {
		var eraMembers []kernel.Member
		for _, m := range set {
			eraMembers = append(eraMembers, exploreMember(m))
		}
		era := row.WithEra(eraMembers, from, end, end, "w")
		if e.fault == eraBelowHorizon {
			era.Eras[len(era.Eras)-1].From = time.UnixMilli(exploreKeyTime)
		}
		next := s.clone()
		if e.grants {
			next.pending = append(next.pending, explorePending{version: version, row: era})
			e.push(next)
			continue
		}
		// Without grants, any change between the two steps shows in the row, so that one step is enough.
		next.rows = append(next.rows, era)
		next.rowsKey += rowKey(era)
		e.push(next)
	}
}

// writeEra lets an era that was sent take effect, or fail because the row has changed.
func (e *explorer) writeEra(s exploreState, i int) {
	next := s.clone()
	p := next.pending[i]
	next.pending = slices.Delete(next.pending, i, i+1)
	if p.version == len(s.rows)-1 {
		next.rows = append(next.rows, p.row)
		next.rowsKey += rowKey(p.row)
	}
	e.push(next)
}

// grant lets a process ask a process, which may be itself, for a grant; the reply may be lost.
func (e *explorer) grant(s exploreState, p int) {
	if !e.grants || s.procs[p].known < 0 {
		return
	}
	row := s.rows[s.procs[p].known]
	era := row.NewestEra().Number
	for q := range exploreProcs {
		if !s.procs[q].alive || s.procs[q].known < 0 {
			continue
		}
		next := s.clone()
		grantor := next.grants[q]
		if e.fault == sealIgnored {
			grantor.CancelEra()
		}
		until, ok := grantor.Grant(s.rows[s.procs[q].known], era, time.UnixMilli(exploreKeyTime+1))
		if !ok {
			continue
		}
		if q != p {
			e.push(next)
			next = next.clone()
			next.grants[p].Record(exploreMember(q).ID(), era, until)
		}
		if e.fault == oneGrantIsEnough {
			for _, m := range row.NewestEra().Members {
				next.grants[p].Record(m.ID(), era, until)
			}
		}
		e.push(next)
	}
}

func has(members []kernel.Member, m kernel.Member) bool {
	return slices.Contains(members, m)
}

// heir returns the process to which the leaving one hands over its keys.
func (e *explorer) heir(s exploreState) int {
	if s.procs[restart].alive || s.procs[restart].known >= 0 {
		return restart
	}
	return crashed
}

// arrive lets an attempt reach a process as its entry node.
func (e *explorer) arrive(s exploreState, p int) {
	if s.attempts >= exploreAttempts || s.procs[p].known < 0 {
		return
	}
	next := s.clone()
	next.attempts++
	number := 0
	if e.numbered {
		number = next.attempts
	}
	owner, ok := s.rows[s.procs[p].known].OwnerOf(exploreKey)
	if ok {
		next.messages = append(next.messages, exploreMessage{to: e.memberOf(owner), attempt: number})
	} else if e.fault == entrySaysNotRun {
		next.told = max(next.told, number)
	}
	e.push(next)
}

// deliver passes a message to its owner, after any delay.
func (e *explorer) deliver(s exploreState, i int) {
	message := s.messages[i]
	p := message.to
	if e.fault == sameIncarnation && p == crashed && !s.procs[crashed].alive {
		p = restart
	}
	if !s.procs[p].alive || s.procs[p].known < 0 {
		return
	}
	next := s.clone()
	next.messages = slices.Delete(next.messages, i, i+1)
	owner, ok := s.rows[s.procs[p].known].OwnerOf(exploreKey)
	bound := s.grants[p].Bound(s.rows[s.procs[p].known])
	if e.fault == runsWithoutGrants {
		bound = s.rows[s.procs[p].known].Horizon
	}
	ok = ok && exploreKey.Issued.Before(bound)
	owns := ok && (e.memberOf(owner) == p || (e.fault == sameIncarnation && e.memberOf(owner) == crashed && p == restart))
	if !owns || (s.procs[p].stopped && e.fault != leaverRunsOn) {
		e.push(next)
		return
	}
	ledger := kernel.NewLedger(time.Time{})
	ledger.Import("", next.ledgers[p], time.Time{})
	decision := ledger.Admit(exploreKey, 1, message.attempt)
	if decision.Action == kernel.LedgerRefuse && decision.Refusal.Verdict == model.NotRun {
		next.told = max(next.told, message.attempt)
	}
	next.store(p, ledger)
	e.push(next)
}

func (s *exploreState) store(p int, ledger *kernel.Ledger) {
	if entry, ok := ledger.Entry(exploreKey.ID); ok {
		s.ledgers[p][exploreKey.ID] = entry
	}
}

// end ends a running key in each possible way: answered, sent without an answer, failed before the call was sent,
// refused before anything ran.
func (e *explorer) end(s exploreState, p int) {
	entry, ok := s.ledgers[p][exploreKey.ID]
	if !ok || entry.State != kernel.KeyRunning {
		return
	}
	outcomes := []string{"answered", "lost", "unsent", "refused"}
	if e.grants {
		outcomes = []string{"answered", "refused"}
	}
	for _, outcome := range outcomes {
		next := s.clone()
		ledger := kernel.NewLedger(time.Time{})
		ledger.Import("", next.ledgers[p], time.Time{})
		if outcome == "answered" || outcome == "lost" {
			next.runs++
			if next.runs == 1 {
				next.runAttempt = entry.Attempt
			}
		}
		switch outcome {
		case "answered":
			ledger.Finish(exploreKey, model.Answer{})
		case "lost":
			ledger.Refuse(exploreKey, &model.Refusal{Verdict: model.MayHaveRun}, true)
		case "unsent":
			ledger.Refuse(exploreKey, &model.Refusal{Verdict: model.MayHaveRun}, false)
		case "refused":
			if ledger.Refuse(exploreKey, &model.Refusal{Verdict: model.NotRun}, false).Verdict == model.NotRun {
				next.told = max(next.told, entry.Attempt)
			}
		}
		next.store(p, ledger)
		if e.fault == refusalForgotten && outcome == "refused" {
			delete(next.ledgers[p], exploreKey.ID)
		}
		e.tellHeir(&next, p)
		e.push(next)
	}
}

// tellHeir sends the successor the outcome of a key that was still running at the handover.
func (e *explorer) tellHeir(s *exploreState, p int) {
	if p != leaver || !s.handed {
		return
	}
	successor := e.heir(*s)
	ledger := kernel.NewLedger(time.Time{})
	ledger.Import("", s.ledgers[successor], time.Time{})
	ledger.Import(exploreMember(leaver).ID(), s.ledgers[p], time.Time{})
	s.store(successor, ledger)
}

// crash ends the first process, whose ledger is lost; the third process is its restart.
func (e *explorer) crash(s exploreState) {
	if e.grants || e.leaves || !s.procs[crashed].alive {
		return
	}
	next := s.clone()
	next.procs[crashed].alive = false
	next.procs[restart].alive = true
	next.ledgers[crashed] = map[string]kernel.LedgerEntry{}
	e.push(next)
}

// handOver stops the leaving process and sends its entries to the successor.
func (e *explorer) handOver(s exploreState) {
	successor := e.heir(s)
	if !e.leaves || s.handed || !s.procs[successor].alive {
		return
	}
	next := s.clone()
	next.handed = true
	next.procs[leaver].stopped = true
	from := kernel.NewLedger(time.Time{})
	from.Import("", next.ledgers[leaver], time.Time{})
	to := kernel.NewLedger(time.Time{})
	to.Import("", next.ledgers[successor], time.Time{})
	if e.fault != heirWithoutMemory {
		to.Import(exploreMember(leaver).ID(), from.Export(exploreMember(leaver).ID()), time.Time{})
	}
	next.store(successor, to)
	e.push(next)
}
