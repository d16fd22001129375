package crowd

import "time"

const (
	// ReceiveBufferBytes is the size of the kernel's receive buffer of a connection, which it doubles for its overhead. It is
	// enough for 8 MB/s at a round trip of 2 ms. Without it, the kernel holds some MB that a caller has sent and nobody has read.
	ReceiveBufferBytes = 16 << 10
	// receiveShare is the share of the memory that the receive buffers of all connections may take.
	receiveShare = 0.25
	// descriptorShare is the share of the descriptors that connections of callers may take. Each of them may need two more for
	// connections to endpoints while its request is served; the rest is for idle connections, the store and other nodes.
	descriptorShare = 0.25
	// headShare is the share of the memory that heads beyond headAllowance may take.
	headShare = 1.0 / 16
	// headAllowance is the cost of a head that is not counted: the connections are bounded, and usual heads stay below it.
	headAllowance = 16 << 10
	// fieldCost is what a header field costs in bytes beside its text, in the maps of the server and of the request.
	fieldCost = 256
	// yieldAfter is how long a connection that has brought a request must have brought nothing before it is closed for another one:
	// its caller may be about to send the next.
	yieldAfter = 250 * time.Millisecond
	// defaultMemory and defaultDescriptors are the memory in bytes and the descriptors of a process without limits.
	defaultMemory      = 1 << 30
	defaultDescriptors = 4096
)

// The states of a connection.
const (
	// waiting is a connection on which no request is under way.
	waiting state = iota
	// receiving is one on which a request has begun that is not received yet.
	receiving
	// serving is one whose request was received and has no answer yet. It is never closed for others.
	serving
)

type (
	// ID identifies a connection.
	ID uint64

	state int

	// Limits are the bounds on what callers may make a node hold.
	Limits struct {
		// Conns is the number of connections, and HeadBytes the cost of all heads beyond the allowance of each.
		Conns     int
		HeadBytes int64
	}

	// Ledger holds the connections of callers. It is not safe for concurrent use.
	Ledger struct {
		limits Limits
		conns  map[ID]*conn
		// heads is the sum of the costs of all heads beyond the allowance.
		heads int64
	}

	conn struct {
		state state
		// since is when the connection came into its state, and served whether it has ever brought a whole request.
		since  time.Time
		served bool
		// head is the cost of its head beyond the allowance.
		head int64
	}
)

// NewLimits returns the limits of a process with a memory limit in bytes and a number of descriptors; 0 stands for none.
func NewLimits(memory int64, descriptors int) Limits {
	if memory <= 0 {
		memory = defaultMemory
	}
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	byMemory := int(receiveShare * float64(memory) / (2 * ReceiveBufferBytes))
	return Limits{
		Conns:     max(1, min(byMemory, int(descriptorShare*float64(descriptors)))),
		HeadBytes: int64(headShare * float64(memory)),
	}
}

// NewLedger returns a ledger without connections.
func NewLedger(limits Limits) *Ledger {
	return &Ledger{limits: limits, conns: map[ID]*conn{}}
}

// Admit adds a connection. If there are too many, evicted is the one to close for it; admitted is false if there is none, as all
// others have requests under way.
func (l *Ledger) Admit(now time.Time, id ID) (evicted ID, evicts, admitted bool) {
	if len(l.conns) >= l.limits.Conns {
		if evicted, evicts = l.leastNeeded(now); !evicts {
			return 0, false, false
		}
		l.Close(evicted)
	}
	l.conns[id] = &conn{since: now}
	return evicted, evicts, true
}

// leastNeeded returns the connection to close for another one: one that never brought a whole request, then one that is idle,
// then one whose request is not received; the one that has been so for the longest time.
func (l *Ledger) leastNeeded(now time.Time) (ID, bool) {
	var found ID
	var best *conn
	for id, c := range l.conns {
		if c.state == serving || c.served && now.Sub(c.since) < yieldAfter {
			continue
		}
		if best == nil || c.rank() < best.rank() || c.rank() == best.rank() && c.since.Before(best.since) {
			found, best = id, c
		}
	}
	return found, best != nil
}

// rank orders connections by how little they are needed, those that are needed least first.
func (c *conn) rank() int {
	switch {
	case !c.served:
		return 0
	case c.state == waiting:
		return 1
	default:
		return 2
	}
}

// Head records the head of a request as far as it was received: its length in bytes and its number of fields. It returns false if
// the connection is to be closed: all heads together take more than they may, and none that may be closed takes more than this one.
// Otherwise evicted is the connection to close.
func (l *Ledger) Head(now time.Time, id ID, bytes int64, fields int) (evicted ID, evicts, kept bool) {
	c := l.conns[id]
	if c == nil {
		return 0, false, false
	}
	if c.state == waiting {
		c.state, c.since = receiving, now
	}
	cost := max(0, bytes+fieldCost*int64(fields)-headAllowance)
	l.heads += cost - c.head
	c.head = cost
	if l.heads <= l.limits.HeadBytes {
		return 0, false, true
	}
	largest, found := l.largestHead()
	if !found || largest == id {
		return 0, false, false
	}
	l.Close(largest)
	return largest, true, true
}

// largestHead returns the connection with the largest head of those whose requests are not received.
func (l *Ledger) largestHead() (ID, bool) {
	var found ID
	var best *conn
	for id, c := range l.conns {
		if c.state == receiving && (best == nil || c.head > best.head || c.head == best.head && id > found) {
			found, best = id, c
		}
	}
	return found, best != nil
}

// Received records that the request of a connection was received whole.
func (l *Ledger) Received(now time.Time, id ID) {
	if c := l.conns[id]; c != nil && c.state != serving {
		c.state, c.since, c.served = serving, now, true
	}
}

// Answered records that the request of a connection has its answer.
func (l *Ledger) Answered(now time.Time, id ID) {
	if c := l.conns[id]; c != nil {
		l.heads -= c.head
		c.state, c.since, c.head, c.served = waiting, now, 0, true
	}
}

// Close removes a connection.
func (l *Ledger) Close(id ID) {
	if c := l.conns[id]; c != nil {
		l.heads -= c.head
		delete(l.conns, id)
	}
}

// HeadBytes returns the cost of all heads beyond the allowance of each.
func (l *Ledger) HeadBytes() int64 {
	return l.heads
}
