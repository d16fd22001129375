package kernel_test

import (
	"slices"
	"time"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// read lets a process read any row version newer than the one it knows.
func (e *explorer) readRow(s exploreState, p int) {
	for v := max(0, s.procs[p].readVersion+1); v < len(s.rows); v++ {
		next := s.clone()
		next.procs[p].readVersion = v
		e.addState(next)
	}
}

// swap lets a process that knows the newest row write the next one; the reply may be lost.
func (e *explorer) writeRow(s exploreState, p int) {
	if e.withGrants || s.procs[p].readVersion != len(s.rows)-1 {
		return
	}
	row := s.rows[s.procs[p].readVersion]
	for _, written := range e.nextRows(s, p, row) {
		next := s.clone()
		next.rows = append(next.rows, written)
		next.rowsKey += rowKey(written)
		e.addState(next)
		answered := next.clone()
		answered.procs[p].readVersion = len(next.rows) - 1
		e.addState(answered)
	}
}

func (e *explorer) nextRows(s exploreState, p int, row kernel.Claims) []kernel.Claims {
	var out []kernel.Claims
	if firm := row.Firm.Add(time.Millisecond); !firm.After(time.UnixMilli(exploreMaxTime)) {
		out = append(out, row.WithHorizon(firm, firm, "w"))
	}
	if p == leavingProc && s.procs[p].stopped && s.handedOver && !row.HasLeft(exploreMember(p).ID()) {
		out = append(out, row.WithTransfer(exploreMember(p).ID(), exploreMember(e.successorProc(s)), "w"))
	}
	return out
}

// beginEra lets a process send an era to the table. The era starts above what the process has granted, or what
// another member of the newest era returns when it is sealed, or above the whole horizon.
func (e *explorer) beginEra(s exploreState, p int) {
	known := s.procs[p].readVersion
	if known != len(s.rows)-1 || len(s.rows[known].Eras) >= exploreMaxEras || len(s.pending) > 0 || s.procs[p].stopped {
		return
	}
	row := s.rows[known]
	next := s.clone()
	if containsMember(row.NewestEra().Members, exploreMember(p)) {
		e.sendEras(next, known, next.grants[p].BeginEra(row))
		return
	}
	e.sendEras(next, known, row.Horizon)
	for q := range exploreProcs {
		if q != p && s.procs[q].alive && s.procs[q].readVersion >= known && containsMember(row.NewestEra().Members, exploreMember(q)) {
			asked := s.clone()
			e.sendEras(asked, known, asked.grants[q].Seal(s.rows[s.procs[q].readVersion], row.Number))
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
	if e.withGrants {
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
		if e.withGrants {
			next.pending = append(next.pending, explorePending{version: version, row: era})
			e.addState(next)
			continue
		}
		// Without grants, any change between the two steps shows in the row, so that one step is enough.
		next.rows = append(next.rows, era)
		next.rowsKey += rowKey(era)
		e.addState(next)
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
	e.addState(next)
}

// grant lets a process ask a process, which may be itself, for a grant; the reply may be lost.
func (e *explorer) requestGrant(s exploreState, p int) {
	if !e.withGrants || s.procs[p].readVersion < 0 {
		return
	}
	row := s.rows[s.procs[p].readVersion]
	era := row.NewestEra().Number
	for q := range exploreProcs {
		if !s.procs[q].alive || s.procs[q].readVersion < 0 {
			continue
		}
		next := s.clone()
		grantor := next.grants[q]
		if e.fault == sealIgnored {
			grantor.CancelEra()
		}
		until, ok := grantor.Grant(s.rows[s.procs[q].readVersion], era, time.UnixMilli(exploreKeyTime+1))
		if !ok {
			continue
		}
		if q != p {
			e.addState(next)
			next = next.clone()
			next.grants[p].Record(exploreMember(q).ID(), era, until)
		}
		if e.fault == oneGrantForAll {
			for _, m := range row.NewestEra().Members {
				next.grants[p].Record(m.ID(), era, until)
			}
		}
		e.addState(next)
	}
}

func containsMember(members []kernel.Member, m kernel.Member) bool {
	return slices.Contains(members, m)
}

// heir returns the process to which the leaving one hands over its keys.
func (e *explorer) successorProc(s exploreState) int {
	if s.procs[restartedProc].alive || s.procs[restartedProc].readVersion >= 0 {
		return restartedProc
	}
	return crashingProc
}

// arrive lets an attempt reach a process as its entry node.
func (e *explorer) submitAttempt(s exploreState, p int) {
	if s.attempts >= exploreAttempts || s.procs[p].readVersion < 0 {
		return
	}
	next := s.clone()
	next.attempts++
	number := 0
	if e.numberedAttempts {
		number = next.attempts
	}
	owner, ok := s.rows[s.procs[p].readVersion].OwnerOf(exploreKey)
	if ok {
		next.messages = append(next.messages, exploreMessage{to: e.procOf(owner), attempt: number})
	} else if e.fault == entryAnswersNotRun {
		next.highestNotRun = max(next.highestNotRun, number)
	}
	e.addState(next)
}

// deliver passes a message to its owner, after any delay.
func (e *explorer) deliver(s exploreState, i int) {
	message := s.messages[i]
	p := message.to
	if e.fault == sameIncarnation && p == crashingProc && !s.procs[crashingProc].alive {
		p = restartedProc
	}
	if !s.procs[p].alive || s.procs[p].readVersion < 0 {
		return
	}
	next := s.clone()
	next.messages = slices.Delete(next.messages, i, i+1)
	owner, ok := s.rows[s.procs[p].readVersion].OwnerOf(exploreKey)
	bound := s.grants[p].Bound(s.rows[s.procs[p].readVersion])
	if e.fault == runsWithoutGrants {
		bound = s.rows[s.procs[p].readVersion].Horizon
	}
	ok = ok && exploreKey.Issued.Before(bound)
	owns := ok && (e.procOf(owner) == p || (e.fault == sameIncarnation && e.procOf(owner) == crashingProc && p == restartedProc))
	if !owns || (s.procs[p].stopped && e.fault != runsAfterHandover) {
		e.addState(next)
		return
	}
	ledger := kernel.NewLedger(time.Time{})
	ledger.Import("", next.ledgers[p], time.Time{})
	decision := ledger.Admit(exploreKey, 1, message.attempt)
	if decision.Action == kernel.LedgerRefuse && decision.Refusal.Verdict == model.NotRun {
		next.highestNotRun = max(next.highestNotRun, message.attempt)
	}
	next.storeEntry(p, ledger)
	e.addState(next)
}

func (s *exploreState) storeEntry(p int, ledger *kernel.Ledger) {
	if entry, ok := ledger.Entry(exploreKey.ID); ok {
		s.ledgers[p][exploreKey.ID] = entry
	}
}

// end ends a running key in each possible way: answered, sent without an answer, failed before the call was sent,
// refused before anything ran.
func (e *explorer) endRun(s exploreState, p int) {
	entry, ok := s.ledgers[p][exploreKey.ID]
	if !ok || entry.State != kernel.KeyRunning {
		return
	}
	outcomes := []string{"answered", "lost", "unsent", "refused"}
	if e.withGrants {
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
				next.highestNotRun = max(next.highestNotRun, entry.Attempt)
			}
		}
		next.storeEntry(p, ledger)
		if e.fault == refusalNotStored && outcome == "refused" {
			delete(next.ledgers[p], exploreKey.ID)
		}
		e.sendOutcomeToSuccessor(&next, p)
		e.addState(next)
	}
}

// sendOutcomeToSuccessor sends the successor the outcome of a key that was still running at the handover.
func (e *explorer) sendOutcomeToSuccessor(s *exploreState, p int) {
	if p != leavingProc || !s.handedOver {
		return
	}
	successor := e.successorProc(*s)
	ledger := kernel.NewLedger(time.Time{})
	ledger.Import("", s.ledgers[successor], time.Time{})
	ledger.Import(exploreMember(leavingProc).ID(), s.ledgers[p], time.Time{})
	s.storeEntry(successor, ledger)
}

// crash ends the first process, whose ledger is lost; the third process is its restart.
func (e *explorer) crash(s exploreState) {
	if e.withGrants || e.withHandover || !s.procs[crashingProc].alive {
		return
	}
	next := s.clone()
	next.procs[crashingProc].alive = false
	next.procs[restartedProc].alive = true
	next.ledgers[crashingProc] = map[string]kernel.LedgerEntry{}
	e.addState(next)
}

// handOver stops the leaving process and sends its entries to the successor.
func (e *explorer) handOver(s exploreState) {
	successor := e.successorProc(s)
	if !e.withHandover || s.handedOver || !s.procs[successor].alive {
		return
	}
	next := s.clone()
	next.handedOver = true
	next.procs[leavingProc].stopped = true
	from := kernel.NewLedger(time.Time{})
	from.Import("", next.ledgers[leavingProc], time.Time{})
	to := kernel.NewLedger(time.Time{})
	to.Import("", next.ledgers[successor], time.Time{})
	if e.fault != handoverWithoutEntries {
		to.Import(exploreMember(leavingProc).ID(), from.Export(exploreMember(leavingProc).ID()), time.Time{})
	}
	next.storeEntry(successor, to)
	e.addState(next)
}
