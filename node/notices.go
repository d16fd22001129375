package node

import (
	"sync"
	"time"

	"basilstall.example/basilstall/clock"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/table"
)

// noticesRetryInterval is the pause after a failed read of the notices.
const noticesRetryInterval = time.Second

// notices holds the notices row of the table as last read: the requests that are held back and the rate caps of
// endpoints, which all nodes must know. It is safe for concurrent use.
type notices struct {
	mu  sync.Mutex
	row table.Notices
	// version is the version of row; 0 before the first read.
	version uint64
	// newestVersion is the newest version that is known to be in the table.
	newestVersion uint64
	// wakeup has room for one request to read the row.
	wakeup chan struct{}
}

func newNotices() *notices {
	return &notices{wakeup: make(chan struct{}, 1)}
}

// requireVersion records that the table has at least this version of the row, and requests a read if the one last read
// is older.
func (s *notices) requireVersion(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newestVersion = max(s.newestVersion, version)
	if s.newestVersion <= s.version {
		return
	}
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// currentVersion returns the version of the row as last read.
func (s *notices) currentVersion() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// set stores the row as read, unless the same or a newer version is known, and returns the changes of held requests and
// of rate caps; the latter are by incarnation of the endpoint.
func (s *notices) set(row table.Notices, version uint64) (kernel.QuarantineChange, map[string]model.RateCap) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version <= s.version {
		return kernel.QuarantineChange{}, nil
	}
	held := table.DiffHeld(s.row.Held, row.Held)
	caps := table.DiffRateCaps(s.row.RateCaps, row.RateCaps)
	s.row, s.version = row, version
	return held, caps
}

// recordNoticeWrite records the outcome of a write of a notice and returns err. After a success this node reads the row
// again, and its heartbeats then carry the new version to the other nodes.
func (n *Node) recordNoticeWrite(err error) error {
	n.recordTableResult(err)
	if err == nil {
		n.notices.requireVersion(n.notices.currentVersion() + 1)
	}
	return err
}

// followNotices reads the notices at the start and whenever a newer version of the row is known to exist, and applies
// the changes, until the node stops.
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
