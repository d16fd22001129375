package node

import (
	"sync"
	"time"

	"basilstall.example/basilstall/clock"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/table"
)

// noticesRetryInterval is how long after a failure the notices are read again.
const noticesRetryInterval = time.Second

// notices is the table's row of what is to be known to all nodes, as last read.
type notices struct {
	mu      sync.Mutex
	row     table.Notices
	version uint64
	// wanted is the newest version that another node is known to have read.
	newestVersion uint64
	wakeup        chan struct{}
}

func newNotices() *notices {
	return &notices{wakeup: make(chan struct{}, 1)}
}

// want has the row read if it is older than a version.
func (h *notices) requireVersion(version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.newestVersion = max(h.newestVersion, version)
	if h.newestVersion <= h.version {
		return
	}
	select {
	case h.wakeup <- struct{}{}:
	default:
	}
}

// number returns the version that was read.
func (h *notices) currentVersion() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.version
}

// set takes a reading in and returns what has changed. The row only moves forward.
func (h *notices) set(row table.Notices, version uint64) (kernel.QuarantineChange, map[string]model.RateCap) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if version <= h.version {
		return kernel.QuarantineChange{}, nil
	}
	held := table.DiffHeld(h.row.Held, row.Held)
	caps := table.DiffRateCaps(h.row.RateCaps, row.RateCaps)
	h.row, h.version = row, version
	return held, caps
}

// recordNoticeWrite notes how the writing of a notice ended; heartbeats tell the others that there is something to read.
func (n *Node) recordNoticeWrite(err error) error {
	n.recordTableResult(err)
	if err == nil {
		n.notices.requireVersion(n.notices.currentVersion() + 1)
	}
	return err
}

// followNotices reads the notices at the start, and whenever another node has read a newer row.
func (n *Node) followNotices() {
	for {
		row, version, err := n.store.Notices(n.ctx)
		n.recordTableResult(err)
		if err != nil {
			if !clock.Sleep(n.ctx, jitter(noticesRetryInterval)) {
				return
			}
			continue
		}
		held, caps := n.notices.set(row, version)
		if len(held.Hold)+len(held.Lift) > 0 {
			n.quarantine.ApplyChange(held)
		}
		for incarnation, stated := range caps {
			n.rateCaps.ApplyNotice(incarnation, stated)
		}
		select {
		case <-n.ctx.Done():
			return
		case <-n.notices.wakeup:
		}
	}
}
