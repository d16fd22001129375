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
	now    time.Time
	queue  *kernel.BatchQueue
	lastID uint64
	// openGroups holds the number of pieces of the groups that have not ended. heldBytes and runningBytes hold, by
	// worker, the bytes of its results and of those that its running calls will make.
	openGroups   map[uint64]int
	running      []kernel.PieceBatch
	heldBytes    map[string]int64
	runningBytes map[string]int64
}

// However calls end, each group ends once, with all of its pieces or with a fault, and room is never allocated
// twice.
func TestBatchQueueAccounting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &batchMachine{
			now:          time.Unix(1000, 0),
			queue:        newBatchQueue(rapid.IntRange(1, 4).Draw(t, "workers")),
			openGroups:   map[uint64]int{},
			heldBytes:    map[string]int64{},
			runningBytes: map[string]int64{},
		}
		t.Repeat(map[string]func(*rapid.T){"add": m.add, "start": m.start, "end": m.end, "expire": m.expire, "wait": m.wait})
	})
}

func (m *batchMachine) wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
}

func (m *batchMachine) add(t *rapid.T) {
	m.lastID++
	pieces := rapid.IntRange(1, 12).Draw(t, "pieces")
	if ok, _ := m.queue.Add(m.now, newPieceGroup(m.lastID, pieces, batchPieceBytes, m.now.Add(2*time.Second))); ok {
		m.openGroups[m.lastID] = pieces
	}
}

func (m *batchMachine) start(t *rapid.T) {
	batch, ok := m.queue.Next(m.now)
	if !ok {
		return
	}
	name := batch.Endpoint.Name
	m.runningBytes[name] += batchPieceBytes * int64(len(batch.Pieces))
	if m.runningBytes[name]+m.heldBytes[name] > batchTraits.Room {
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
	m.runningBytes[batch.Endpoint.Name] -= batchPieceBytes * int64(len(batch.Pieces))
	switch rapid.IntRange(0, 3).Draw(t, "how") {
	case 0, 1:
		results := resultsFor(batch)
		m.heldBytes[batch.Endpoint.Name] += batchPieceBytes * int64(len(results))
		ended, _ := m.queue.Done(m.now, batch, results)
		m.recordEnded(t, ended)
	case 2:
		m.recordEnded(t, m.queue.Failed(m.now, batch))
	default:
		m.recordEnded(t, m.queue.Refused(m.now, batch))
	}
}

// expire advances the time until all workers have dropped their results.
func (m *batchMachine) expire(t *rapid.T) {
	m.recordEnded(t, m.queue.Expire(m.now))
	m.now = m.now.Add(2 * batchTraits.ResultTTL)
	m.recordEnded(t, m.queue.Expire(m.now))
	m.heldBytes = map[string]int64{}
}

func (m *batchMachine) recordEnded(t *rapid.T, outcomes []kernel.GroupOutcome) {
	for _, o := range outcomes {
		pieces, known := m.openGroups[o.Group]
		if !known {
			t.Fatalf("group %d ended twice", o.Group)
		}
		if o.Fault == model.PieceFault("") && len(o.Made) != pieces {
			t.Fatalf("group %d ended with %d of %d pieces", o.Group, len(o.Made), pieces)
		}
		delete(m.openGroups, o.Group)
	}
}
