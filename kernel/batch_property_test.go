package kernel_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// batchPieceBytes is the size of each result in the property test.
const batchPieceBytes = 1_500_000

// batchMachine drives a batch queue with calls that end in any way and in any order, and keeps its own account of
// groups and room.
type batchMachine struct {
	now     time.Time
	queue   *kernel.BatchQueue
	next    uint64
	open    map[uint64]int
	running []kernel.PieceBatch
	held    map[string]int64
	inCalls map[string]int64
}

// However calls end, each group ends once, with all of its pieces or with a fault, and room is never allocated
// twice.
func TestBatchQueueAccounting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &batchMachine{
			now:     time.Unix(1000, 0),
			queue:   newBatchQueue(rapid.IntRange(1, 4).Draw(t, "workers")),
			open:    map[uint64]int{},
			held:    map[string]int64{},
			inCalls: map[string]int64{},
		}
		t.Repeat(map[string]func(*rapid.T){"add": m.add, "start": m.start, "end": m.end, "expire": m.expire, "wait": m.wait})
	})
}

func (m *batchMachine) wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
}

func (m *batchMachine) add(t *rapid.T) {
	m.next++
	pieces := rapid.IntRange(1, 12).Draw(t, "pieces")
	if ok, _ := m.queue.Add(m.now, pieceGroup(m.next, pieces, batchPieceBytes, m.now.Add(2*time.Second))); ok {
		m.open[m.next] = pieces
	}
}

func (m *batchMachine) start(t *rapid.T) {
	batch, ok := m.queue.Next(m.now)
	if !ok {
		return
	}
	name := batch.Endpoint.Name
	m.inCalls[name] += batchPieceBytes * int64(len(batch.Pieces))
	if m.inCalls[name]+m.held[name] > batchTraits.Room {
		t.Fatalf("room of %s was allocated twice", name)
	}
	m.running = append(m.running, batch)
}

func (m *batchMachine) end(t *rapid.T) {
	if len(m.running) == 0 {
		return
	}
	batch := m.running[0]
	m.running = m.running[1:]
	m.inCalls[batch.Endpoint.Name] -= batchPieceBytes * int64(len(batch.Pieces))
	switch rapid.IntRange(0, 3).Draw(t, "how") {
	case 0, 1:
		results := madeAll(batch)
		m.held[batch.Endpoint.Name] += batchPieceBytes * int64(len(results))
		ended, _ := m.queue.Done(m.now, batch, results)
		m.ended(t, ended)
	case 2:
		m.ended(t, m.queue.Failed(m.now, batch))
	default:
		m.ended(t, m.queue.Refused(m.now, batch))
	}
}

// expire advances the time until all workers have dropped their results.
func (m *batchMachine) expire(t *rapid.T) {
	m.ended(t, m.queue.Expire(m.now))
	m.now = m.now.Add(2 * batchTraits.Keep)
	m.ended(t, m.queue.Expire(m.now))
	m.held = map[string]int64{}
}

func (m *batchMachine) ended(t *rapid.T, outcomes []kernel.GroupOutcome) {
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
