package held

import (
	"slices"
	"time"
)

const (
	// totalShare is the share of the memory limit of the process that all held bytes may take. A held byte can cost two:
	// on the heap until garbage is collected, in the kernel with the overhead of socket buffers. Connections, routing and
	// the runtime take the rest.
	totalShare = 0.2
	// defaultTotal is the bound on all held bytes of a process without a memory limit.
	defaultTotal = 128 << 20
	// connShare is the share of the total that one connection may take. At the smallest nodes, of 144 MB, it is still
	// above the largest body and the largest answer together.
	connShare = 0.5
	// admissionShare is the share of the total from which new requests are refused. The rest is for the answers of
	// requests that were admitted, which may have run.
	admissionShare = 0.75
	// answerShare is the share of the total up to which answers are buffered. The rest is for what cannot be refused: events
	// under way, heads and refusals.
	answerShare = 0.9
	// stallTimeout is how long a caller may take no byte of an answer before it is disconnected.
	stallTimeout = 5 * time.Second
	// minStall is how long a connection must have made no progress before it may be closed to make room: more than the
	// minimum TCP retransmission timeout of 200 ms, so that the loss of one segment does not make a connection slow.
	minStall = 250 * time.Millisecond
	// expectedShare bounds the answers that are still expected, as a multiple of the total. If no caller read its answer, room for
	// the total would be made about every 350 ms, so that all of these answers would get room well within 2 s.
	expectedShare = 2
	// meanWeight is the weight of the newest answer in the mean size of answers.
	meanWeight = 1.0 / 16
	// maxQueued is the size of the send queue that the kernel may fill while an answer is written.
	maxQueued = 2 * SendBufferBytes
)

// SendBufferBytes is the size of the kernel's send buffer of a connection, which it doubles for its overhead. It is enough for
// 64 MB/s at a round trip of 1 ms. Without it, the kernel holds some MB for each caller that does not read.
const SendBufferBytes = 64 << 10

// The results of Ledger.Reserve.
const (
	// Reserved: the bytes are counted.
	Reserved Result = iota
	// Full: the bound on all connections is reached.
	Full
	// Freeing: there is room once the connections are gone that are being closed.
	Freeing
	// ConnFull: the bound on the connection is reached, or the connection is closed.
	ConnFull
)

type (
	// ID identifies an entry of a ledger.
	ID uint64

	// Result is the result of a reservation.
	Result int

	// Use is what bytes are reserved for.
	Use int

	// Limits are the bounds of a ledger. Sizes are in bytes.
	Limits struct {
		// Total bounds the bytes of all connections, PerConn those of one. Answers is the total from which no more of an answer
		// is buffered, and Admission that from which new requests are refused.
		Total     int64
		PerConn   int64
		Answers   int64
		Admission int64
		// Expected bounds the sum of the answers that are still expected, by their mean size.
		Expected int64
		// MaxQueued is how much the kernel may queue for a connection while an answer is written. It is counted in advance.
		MaxQueued int64
		// StallTimeout is how long a caller may take no byte of an answer.
		StallTimeout time.Duration
		// MinStall is how long a connection must have made no progress before it may be closed to make room.
		MinStall time.Duration
	}

	// Sending is the state of the sending side of a connection.
	Sending struct {
		// Written is the number of bytes that the kernel has taken since the connection was opened, and Queued how many of
		// them the peer has not acknowledged yet.
		Written int64
		Queued  int64
		// Writing is true while a write is blocked.
		Writing bool
	}

	// Ledger counts the bytes that a node holds, by connection. It is not safe for concurrent use.
	//
	// The total is the sum of the costs of all entries. Closing is the part of it that belongs to entries which were chosen to
	// be closed: no further connection is closed for it, since it is about to be freed.
	Ledger struct {
		limits  Limits
		lastID  ID
		entries map[ID]*entry
		total   int64
		closing int64
		peak    int64
		// expected is the number of answers that are expected, and meanAnswer the mean size of answers in bytes; answerSeen is
		// false until there was one.
		expected   int64
		meanAnswer float64
		answerSeen bool
	}

	// entry is a connection, or a request that came from another node.
	entry struct {
		// body and answer are what the process holds of the request and of its answer, and queued what the kernel holds of
		// what was written.
		body   int64
		answer int64
		queued int64
		acked  int64
		// sending is true while the peer has bytes to take, and receiving while the node waits for bytes of a request.
		sending   bool
		receiving bool
		// progressAt is when the peer last took or sent bytes, or when it was first expected to.
		progressAt time.Time
		closing    bool
	}
)

// What bytes are reserved for.
const (
	// ForRequest: the request has not been sent anywhere and can be refused.
	ForRequest Use = iota
	// ForAnswer: the request may have run.
	ForAnswer
)

// NewLimits returns the limits of a process with a memory limit in bytes; 0 for none.
func NewLimits(memoryLimit int64) Limits {
	total := int64(defaultTotal)
	if memoryLimit > 0 {
		total = int64(totalShare * float64(memoryLimit))
	}
	return Limits{
		Total:        total,
		PerConn:      int64(connShare * float64(total)),
		Answers:      int64(answerShare * float64(total)),
		Admission:    int64(admissionShare * float64(total)),
		Expected:     expectedShare * total,
		MaxQueued:    maxQueued,
		StallTimeout: stallTimeout,
		MinStall:     minStall,
	}
}

// NewLedger returns a ledger without entries.
func NewLedger(limits Limits) *Ledger {
	return &Ledger{limits: limits, entries: map[ID]*entry{}}
}

// Open adds an entry that holds nothing.
func (l *Ledger) Open() ID {
	l.lastID++
	l.entries[l.lastID] = &entry{}
	return l.lastID
}

// Close removes an entry and all that it holds.
func (l *Ledger) Close(id ID) {
	e := l.entries[id]
	if e == nil {
		return
	}
	l.change(e, 0, 0, 0)
	delete(l.entries, id)
}

// Admits reports whether a new request may be taken on.
func (l *Ledger) Admits() bool {
	return l.total-l.closing < l.limits.Admission
}

// Expect counts an answer that will be buffered. It returns false if too many are expected already.
func (l *Ledger) Expect() bool {
	if l.expected*l.cost(&entry{answer: int64(l.meanAnswer)}) > l.limits.Expected {
		return false
	}
	l.expected++
	return true
}

// Answered records that an expected answer of n bytes has come.
func (l *Ledger) Answered(n int64) {
	l.expected--
	if !l.answerSeen {
		l.answerSeen, l.meanAnswer = true, float64(n)
	}
	l.meanAnswer += meanWeight * (float64(n) - l.meanAnswer)
}

// Unanswered records that an expected answer will not come.
func (l *Ledger) Unanswered() {
	l.expected--
}

// MeanAnswer returns the mean size of answers in bytes, with more weight on the latest ones.
func (l *Ledger) MeanAnswer() int64 { return int64(l.meanAnswer) }

// Reserve counts n more bytes for an entry if the bounds allow it.
func (l *Ledger) Reserve(id ID, n int64, use Use) Result {
	e := l.entries[id]
	if e == nil || e.closing {
		return ConnFull
	}
	grown, bound := *e, l.limits.Answers
	if use == ForRequest {
		grown.body += n
		bound = l.limits.Admission
	} else {
		grown.answer += n
	}
	if l.cost(&grown) > l.limits.PerConn {
		return ConnFull
	}
	more := l.cost(&grown) - l.cost(e)
	if l.total-l.closing+more > bound {
		return Full
	}
	if l.total+more > l.limits.Answers {
		return Freeing
	}
	l.change(e, grown.body, grown.answer, grown.queued)
	return Reserved
}

// Add counts n more bytes for an entry whatever the bounds are, or n fewer if n is negative. It reports whether the total is
// within its bound.
func (l *Ledger) Add(id ID, n int64, use Use) bool {
	e := l.entries[id]
	switch {
	case e == nil:
	case use == ForRequest:
		l.change(e, max(0, e.body+n), e.answer, e.queued)
	default:
		l.change(e, e.body, max(0, e.answer+n), e.queued)
	}
	return l.total-l.closing <= l.limits.Total
}

// ObserveSending records the state of the sending side of a connection.
func (l *Ledger) ObserveSending(now time.Time, id ID, s Sending) {
	e := l.entries[id]
	if e == nil {
		return
	}
	sending := s.Writing || s.Queued > 0
	acked := s.Written - s.Queued
	if sending && (!e.sending || acked > e.acked) {
		e.progressAt = now
	}
	e.sending = sending
	e.acked = max(e.acked, acked)
	l.change(e, e.body, e.answer, s.Queued)
}

// ObserveReceiving records that bytes of a request came, or were first waited for; waiting is false if no more are expected.
func (l *Ledger) ObserveReceiving(now time.Time, id ID, waiting bool) {
	e := l.entries[id]
	if e == nil {
		return
	}
	e.receiving = waiting
	if !e.sending {
		e.progressAt = now
	}
}

// Slowest returns the connection to close to make room: of those that hold bytes and have made no progress for MinStall,
// the one that has made none for the longest time. ok is false if there is none.
func (l *Ledger) Slowest(now time.Time) (id ID, ok bool) {
	for candidate, e := range l.entries {
		if e.closing || !e.sending && !e.receiving || l.cost(e) == 0 || now.Sub(e.progressAt) < l.limits.MinStall {
			continue
		}
		if !ok || l.slower(candidate, id) {
			id, ok = candidate, true
		}
	}
	return id, ok
}

// slower reports whether a has made no progress for longer than b. Of two that are equal it is the older one.
func (l *Ledger) slower(a, b ID) bool {
	if c := l.entries[a].progressAt.Compare(l.entries[b].progressAt); c != 0 {
		return c < 0
	}
	return a < b
}

// Stalled returns the connections whose peer has taken no byte for StallTimeout, in the order in which they were opened.
func (l *Ledger) Stalled(now time.Time) []ID {
	var out []ID
	for id, e := range l.entries {
		if e.sending && !e.closing && now.Sub(e.progressAt) >= l.limits.StallTimeout {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// MarkClosing records that a connection is being closed. It returns the bytes that it holds; ok is false if the connection is
// being closed already.
func (l *Ledger) MarkClosing(id ID) (bytes int64, ok bool) {
	e := l.entries[id]
	if e == nil || e.closing {
		return 0, false
	}
	e.closing = true
	l.closing += l.cost(e)
	return l.cost(e), true
}

// Total returns the bytes that are held.
func (l *Ledger) Total() int64 { return l.total }

// Peak returns the maximum of Total so far.
func (l *Ledger) Peak() int64 { return l.peak }

// Sending returns the number of connections whose peers have bytes to take.
func (l *Ledger) Sending() int {
	n := 0
	for _, e := range l.entries {
		if e.sending {
			n++
		}
	}
	return n
}

// cost returns the bytes that an entry counts for: what is reserved, and what the kernel holds or will hold of it.
func (l *Ledger) cost(e *entry) int64 {
	return e.body + e.answer + max(e.queued, min(e.answer, l.limits.MaxQueued))
}

func (l *Ledger) change(e *entry, body, answer, queued int64) {
	before := l.cost(e)
	e.body, e.answer, e.queued = body, answer, queued
	more := l.cost(e) - before
	l.total += more
	if e.closing {
		l.closing += more
	}
	l.peak = max(l.peak, l.total)
}
