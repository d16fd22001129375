package endpoint

import (
	"sync/atomic"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"basilstall.example/basilstall/held"
	"basilstall.example/basilstall/model"
)

var errUnread = errors.New("endpoint: too many bytes of earlier requests are not read yet")

// exchangeSend is an exchange whose request may not have been read yet. conn is nil until the request is being written.
type exchangeSend struct {
	id      held.ID
	address string
	conn    atomic.Pointer[exchangeConn]
}

// LimitUnread sets the bounds on the bytes that are under way to an endpoint. It must be called before the first exchange.
func (x *Exchanger) LimitUnread(limits held.UnreadLimits) {
	x.unread = held.NewUnread(limits)
}

// UnreadBytes returns an upper bound for the bytes of requests that endpoints have not taken yet.
func (x *Exchanger) UnreadBytes() int64 {
	x.unreadMu.Lock()
	defer x.unreadMu.Unlock()
	return x.unread.Bytes()
}

// beginSend counts the body of an exchange, unless the endpoint has too much to read.
func (x *Exchanger) beginSend(e Exchange) (*exchangeSend, *Fault) {
	now, bytes := x.Now(), int64(len(e.Body))
	x.unreadMu.Lock()
	defer x.unreadMu.Unlock()
	if e.BoundUnread && !x.unread.Admits(now, e.Address, bytes) {
		x.observeSends(e.Address)
		if !x.unread.Admits(now, e.Address, bytes) {
			x.OnUnread(e.Address)
			return nil, &Fault{Kind: Withdrawn, Verdict: model.NotRun, Err: errUnread}
		}
	}
	s := &exchangeSend{id: x.unread.Begin(now, e.Address, bytes), address: e.Address}
	x.sends[s.id] = s
	return s, nil
}

// endSend ends the count of a request that was answered or given up.
func (x *Exchanger) endSend(s *exchangeSend) {
	x.unreadMu.Lock()
	defer x.unreadMu.Unlock()
	x.unread.End(s.address, s.id)
	delete(x.sends, s.id)
}

// observeSends reads how much of the requests to an address the endpoint has not taken. The caller holds unreadMu.
func (x *Exchanger) observeSends(address string) {
	for _, s := range x.sends {
		if c := s.conn.Load(); s.address == address && c != nil && c.written.Load() {
			x.unread.Observe(address, s.id, c.unacknowledged())
		}
	}
}

// unacknowledged returns the number of bytes that the kernel holds because the endpoint has not acknowledged them.
func (c *exchangeConn) unacknowledged() int64 {
	if c.raw == nil {
		return 0
	}
	queued := 0
	err := c.raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			queued = n
		}
	})
	if err != nil {
		return 0
	}
	return int64(queued)
}
