package kernel_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"basilstall.example/basilstall/kernel"
)

// This file checks the claims protocol exhaustively in a small configuration, using the functions of package kernel:
// one key, three processes (the third is the restart of the first), stale reads, lost replies to conditional writes,
// messages delayed without bound, pauses (an action that is never taken), one crash, and one departure with a
// handover. The time of the key is beyond Firm of the first row, so the key runs under grants, or once the row has
// been extended. With grants an era is written in two steps, so that anything can happen between the seal and the
// write. Two invariants hold in every state: the service is called at most once for the key, and an attempt that was
// answered with NotRun does not run. The actions are in explorer_actions_test.go.

const (
	exploreKeyTime  = 1
	exploreMaxTime  = 3
	exploreMaxEras  = 3
	exploreProcs    = 3
	exploreAttempts = 2
	crashingProc    = 0
	restartedProc   = 2
	leavingProc     = 1
)

// fault is a defect injected into the protocol, which the explorer must find.
type fault int

const (
	noFault fault = iota
	entryAnswersNotRun
	refusalNotStored
	eraBelowHorizon
	sameIncarnation
	runsAfterHandover
	handoverWithoutEntries
	runsWithoutGrants
	oneGrantForAll
	eraBelowGrants
	sealIgnored
)

type (
	exploreProc struct {
		// known is the index of the row version that was read; -1 before the first read.
		readVersion int
		alive       bool
		// stopped is set from the first message of the handover on.
		stopped bool
	}

	// explorePending is an era that was sent to the table and may still take effect.
	explorePending struct {
		// version is the index of the row against which the era was written.
		version int
		row     kernel.Claims
	}

	// exploreMessage is an attempt on its way from the entry node to an owner.
	exploreMessage struct {
		to, attempt int
	}

	// exploreState is one state of the protocol. Its key method returns a comparable form.
	exploreState struct {
		rows []kernel.Claims
		// rowsKey is the part of the key for rows.
		rowsKey  string
		procs    [exploreProcs]exploreProc
		ledgers  [exploreProcs]map[string]kernel.LedgerEntry
		messages []exploreMessage
		attempts int
		// runs counts calls of the service; runAttempt is the attempt that made the first.
		runs       int
		runAttempt int
		// told is the highest attempt that was answered with NotRun, -1 for none.
		highestNotRun int
		grants        [exploreProcs]*kernel.Grants
		pending       []explorePending
		// handed is set once the entries of the leaving process were sent to its successor.
		handedOver bool
	}

	explorer struct {
		t     *testing.T
		fault fault
		// numbered gives each attempt its own number; otherwise all attempts have number 0.
		numberedAttempts bool
		// grants lets members grant keys beyond Firm. To limit the number of states, no process then crashes or
		// leaves, the third process is a live one outside the first era, and Firm moves only with an era.
		withGrants bool
		// leaves lets a member hand over its keys and leave; otherwise one member crashes and is restarted.
		withHandover bool
		visited      map[string]bool
		// todo holds the states to expand at the next depth.
		frontier  []exploreState
		depth     int
		violation string
	}
)

var exploreKey = kernel.Key{ID: "customer/key", Issued: time.UnixMilli(exploreKeyTime)}

func exploreMember(p int) kernel.Member {
	return kernel.Member{Node: fmt.Sprintf("n%d", p%2), Incarnation: fmt.Sprintf("i%d", p)}
}

func (e *explorer) procOf(m kernel.Member) int {
	for p := range exploreProcs {
		if exploreMember(p).ID() == m.ID() {
			return p
		}
	}
	e.t.Fatalf("unknown member %v", m)
	return -1
}

func (e *explorer) initialState() exploreState {
	horizon := time.UnixMilli(exploreKeyTime)
	if e.withGrants {
		horizon = horizon.Add(time.Millisecond)
	}
	row := kernel.NewClaims(time.UnixMilli(0), time.UnixMilli(exploreKeyTime), horizon, []kernel.Member{exploreMember(0), exploreMember(1)}, "w")
	s := exploreState{rows: []kernel.Claims{row}, rowsKey: rowKey(row), highestNotRun: -1}
	s.procs[0] = exploreProc{readVersion: 0, alive: true}
	s.procs[1] = exploreProc{readVersion: 0, alive: true}
	s.procs[2] = exploreProc{readVersion: -1}
	if e.withGrants {
		s.procs[2] = exploreProc{readVersion: 0, alive: true}
	}
	for p := range s.grants {
		s.grants[p] = kernel.NewGrants(exploreMember(p))
	}
	return s
}

func (s exploreState) clone() exploreState {
	s.rows = slices.Clone(s.rows)
	s.messages = slices.Clone(s.messages)
	s.pending = slices.Clone(s.pending)
	for p := range s.grants {
		s.grants[p] = s.grants[p].Clone()
	}
	for p := range s.ledgers {
		entries := map[string]kernel.LedgerEntry{}
		for id, entry := range s.ledgers[p] {
			entries[id] = entry
		}
		s.ledgers[p] = entries
	}
	return s
}

func rowKey(row kernel.Claims) string {
	key := []byte{byte('0' + row.Firm.UnixMilli()), byte('0' + row.Horizon.UnixMilli()), ':'}
	for _, era := range row.Eras {
		key = append(key, byte('0'+era.From.UnixMilli()))
		for _, m := range era.Members {
			key = append(key, m.Incarnation[1])
		}
		key = append(key, ';')
	}
	for _, t := range row.Transfers {
		key = append(key, '>', t.To.Incarnation[1])
	}
	return string(append(key, ' '))
}

func (s exploreState) key() string {
	key := []byte(s.rowsKey)
	appendFlag := func(b bool) {
		if b {
			key = append(key, '+')
		}
	}
	appendNumber := func(n int) { key = append(key, byte('a'+n)) }
	for p, proc := range s.procs {
		key = append(key, '|')
		appendNumber(proc.readVersion)
		appendFlag(proc.alive)
		key = append(key, ',')
		appendFlag(proc.stopped)
		if entry, ok := s.ledgers[p][exploreKey.ID]; ok {
			key = append(key, 'e')
			appendNumber(int(entry.State))
			appendNumber(entry.Attempt)
			appendNumber(entry.RefusedAttempt)
			appendNumber(entry.ReachedAttempt)
			if entry.State == kernel.KeyRunning {
				appendNumber(entry.LowestRunning)
			}
			appendFlag(entry.Pending != "")
		}
	}
	for _, g := range s.grants {
		key = append(key, g.String()...)
	}
	for _, p := range s.pending {
		key = append(key, 'p')
		appendNumber(p.version)
		key = append(key, rowKey(p.row)...)
	}
	messages := slices.Clone(s.messages)
	slices.SortFunc(messages, func(a, b exploreMessage) int { return a.to*10 + a.attempt - b.to*10 - b.attempt })
	for _, m := range messages {
		key = append(key, 'm')
		appendNumber(m.to)
		appendNumber(m.attempt)
	}
	key = append(key, '|')
	for _, n := range []int{s.attempts, s.runs, s.runAttempt, s.highestNotRun} {
		appendNumber(n)
	}
	appendFlag(s.handedOver)
	return string(key)
}

func (e *explorer) addState(s exploreState) {
	if e.violation != "" {
		return
	}
	key := s.key()
	if e.visited[key] {
		return
	}
	e.visited[key] = true
	switch {
	case s.runs > 1:
		e.violation = "service called twice: " + key
	case s.runs > 0 && s.runAttempt <= s.highestNotRun:
		e.violation = "attempt ran after NotRun: " + key
	}
	e.frontier = append(e.frontier, s)
}

// explore visits all states breadth-first, so that a violation is found in the fewest steps.
func (e *explorer) explore() {
	e.visited = map[string]bool{}
	e.addState(e.initialState())
	for len(e.frontier) > 0 && e.violation == "" {
		level := e.frontier
		e.frontier = nil
		for _, s := range level {
			e.expand(s)
		}
		e.depth++
	}
}

func (e *explorer) expand(s exploreState) {
	for p := range exploreProcs {
		if s.procs[p].alive {
			e.readRow(s, p)
			e.writeRow(s, p)
			e.beginEra(s, p)
			e.requestGrant(s, p)
			e.submitAttempt(s, p)
			e.endRun(s, p)
		}
	}
	for i := range s.messages {
		e.deliver(s, i)
	}
	for i := range s.pending {
		e.writeEra(s, i)
	}
	e.crash(s)
	e.handOver(s)
}

func TestClaimsInvariantsInAllInterleavings(t *testing.T) {
	cases := map[string]explorer{
		"crash":              {},
		"crash, numbered":    {numberedAttempts: true},
		"handover":           {withHandover: true},
		"handover, numbered": {withHandover: true, numberedAttempts: true},
		"grants":             {withGrants: true},
	}
	for name, e := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e.t = t
			e.explore()
			if e.violation != "" {
				t.Fatal(e.violation)
			}
			t.Logf("invariants hold in all %d states, %d steps deep", len(e.visited), e.depth)
		})
	}
}

func TestExplorerFindsInjectedFaults(t *testing.T) {
	faults := map[string]fault{
		"entry node answers NotRun":                  entryAnswersNotRun,
		"refusals are not remembered":                refusalNotStored,
		"era starts below the horizon":               eraBelowHorizon,
		"restart counts as the same member":          sameIncarnation,
		"member runs keys after its handover":        runsAfterHandover,
		"owner runs keys beyond Firm without grants": runsWithoutGrants,
		"one grant is taken for all":                 oneGrantForAll,
		"era starts below what was granted":          eraBelowGrants,
		"grants go on while an era is written":       sealIgnored,
		"successor does not get the entries":         handoverWithoutEntries,
	}
	for name, f := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := &explorer{
				t: t, fault: f, withGrants: f >= runsWithoutGrants,
				withHandover: f == runsAfterHandover || f == handoverWithoutEntries,
			}
			e.explore()
			if e.violation == "" {
				t.Fatalf("fault not found in %d states", len(e.visited))
			}
			t.Logf("found after %d states and %d steps: %s", len(e.visited), e.depth, e.violation)
		})
	}
}
