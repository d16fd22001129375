package held

import "time"

const (
	// maxUnreadBytes is how many bytes of requests may be under way to an endpoint that is slow to read one: one long prompt. It
	// is small because an endpoint holds what all nodes send it, which is 100 MB for 400 nodes.
	maxUnreadBytes = 256 << 10
	// maxReadTime is how long an endpoint may take to read a request before it counts as slow to read: far above the transfer of
	// a large request, and below the usual objectives.
	maxReadTime = time.Second
	// unreadShare is the share of the total bound that may be under way to one endpoint, slow or not, so that one endpoint that
	// does not read leaves room for requests to others.
	unreadShare = 0.25
)

type (
	// UnreadLimits are the bounds of an Unread. Sizes are in bytes.
	UnreadLimits struct {
		// Slow bounds the bytes under way to an endpoint that has not read a request within ReadTime, and Any those to any
		// endpoint.
		Slow     int64
		Any      int64
		ReadTime time.Duration
	}

	// Unread counts the bytes of requests that endpoints have not taken yet, by address. It is not safe for concurrent use.
	Unread struct {
		limits UnreadLimits
		lastID ID
		// sends holds the sends in flight by address. Addresses without any have no entry.
		sends map[string]map[ID]*unreadSend
	}

	// unreadSend is a request that is being sent.
	unreadSend struct {
		beganAt time.Time
		unread  int64
	}
)

// NewUnreadLimits returns the limits of a process with the given limits of its ledger.
func NewUnreadLimits(l Limits) UnreadLimits {
	return UnreadLimits{Slow: maxUnreadBytes, Any: int64(unreadShare * float64(l.Total)), ReadTime: maxReadTime}
}

// NewUnread returns an Unread without sends.
func NewUnread(limits UnreadLimits) *Unread {
	return &Unread{limits: limits, sends: map[string]map[ID]*unreadSend{}}
}

// Admits reports whether a request of n bytes may be sent to an address. A single request may always be sent, whatever its
// size.
func (u *Unread) Admits(now time.Time, address string, n int64) bool {
	bytes, slow := int64(0), false
	for _, s := range u.sends[address] {
		bytes += s.unread
		slow = slow || s.unread > 0 && now.Sub(s.beganAt) >= u.limits.ReadTime
	}
	switch {
	case bytes == 0:
		return true
	case slow:
		return bytes+n <= u.limits.Slow
	default:
		return bytes+n <= u.limits.Any
	}
}

// Begin counts a request of n bytes to an address.
func (u *Unread) Begin(now time.Time, address string, n int64) ID {
	u.lastID++
	if u.sends[address] == nil {
		u.sends[address] = map[ID]*unreadSend{}
	}
	u.sends[address][u.lastID] = &unreadSend{beganAt: now, unread: n}
	return u.lastID
}

// Observe records how many bytes of a request the endpoint has not taken. The number never rises: what comes after the
// request on its connection is not counted.
func (u *Unread) Observe(address string, id ID, unread int64) {
	if s := u.sends[address][id]; s != nil {
		s.unread = min(s.unread, unread)
	}
}

// End ends a request that was answered or given up.
func (u *Unread) End(address string, id ID) {
	delete(u.sends[address], id)
	if len(u.sends[address]) == 0 {
		delete(u.sends, address)
	}
}

// Bytes returns the number of bytes that are under way to all addresses.
func (u *Unread) Bytes() int64 {
	bytes := int64(0)
	for _, sends := range u.sends {
		for _, s := range sends {
			bytes += s.unread
		}
	}
	return bytes
}
