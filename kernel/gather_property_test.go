package kernel_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// gatherPieceBytes is the size of each result in the property test.
const gatherPieceBytes = 1_500_000

// gatherMachine drives a gathering with calls that end in any way and any order, and keeps its own
// account beside.
type gatherMachine struct {
	now     time.Time
	g       *kernel.Gathering
	next    uint64
	open    map[uint64]int
	running []kernel.PieceBatch
	held    map[string]int64
	inCalls map[string]int64
}

// Whatever calls do, each group ends once, with each of its pieces or with a fault, and room is
// never given out twice.
func TestGatheringKeepsItsAccounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &gatherMachine{
			now:     time.Unix(1000, 0),
			g:       newGathering(rapid.IntRange(1, 4).Draw(t, "makers")),
			open:    map[uint64]int{},
			held:    map[string]int64{},
			inCalls: map[string]int64{},
		}
		t.Repeat(map[string]func(*rapid.T){"add": m.add, "start": m.start, "end": m.end, "expire": m.expire, "wait": m.wait})
	})
}

func (m *gatherMachine) wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
}

func (m *gatherMachine) add(t *rapid.T) {
	m.next++
	pieces := rapid.IntRange(1, 12).Draw(t, "pieces")
	if ok, _ := m.g.Add(m.now, pieceGroup(m.next, pieces, gatherPieceBytes, m.now.Add(2*time.Second))); ok {
		m.open[m.next] = pieces
	}
}

func (m *gatherMachine) start(t *rapid.T) {
	batch, ok := m.g.Next(m.now)
	if !ok {
		return
	}
	name := batch.Endpoint.Name
	m.inCalls[name] += gatherPieceBytes * int64(len(batch.Pieces))
	if m.inCalls[name]+m.held[name] > gatherTraits.Room {
		t.Fatalf("room of %s was given out twice", name)
	}
	m.running = append(m.running, batch)
}

func (m *gatherMachine) end(t *rapid.T) {
	if len(m.running) == 0 {
		return
	}
	batch := m.running[0]
	m.running = m.running[1:]
	m.inCalls[batch.Endpoint.Name] -= gatherPieceBytes * int64(len(batch.Pieces))
	switch rapid.IntRange(0, 3).Draw(t, "how") {
	case 0, 1:
		results := madeAll(batch)
		m.held[batch.Endpoint.Name] += gatherPieceBytes * int64(len(results))
		ended, _ := m.g.Done(m.now, batch, results)
		m.ended(t, ended)
	case 2:
		m.ended(t, m.g.Failed(m.now, batch))
	default:
		m.ended(t, m.g.Refused(m.now, batch))
	}
}

// expire lets time pass until all makers have dropped what they hold.
func (m *gatherMachine) expire(t *rapid.T) {
	m.ended(t, m.g.Expire(m.now))
	m.now = m.now.Add(2 * gatherTraits.Keep)
	m.ended(t, m.g.Expire(m.now))
	m.held = map[string]int64{}
}

func (m *gatherMachine) ended(t *rapid.T, outcomes []kernel.GroupOutcome) {
	for _, o := range outcomes {
		pieces, known := m.open[o.Group]
		if !known {
			t.Fatalf("group %d ended twice", o.Group)
		}
		if o.Fault == model.PieceFault("") && len(o.Made) != pieces {
			t.Fatalf("group %d ended with %d of %d pieces", o.Group, len(o.Made), pieces)
		}
		delete(m.open, o.Group)
	}
}
