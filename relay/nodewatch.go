package relay

import (
	"sync/atomic"

	"basilstall.example/basilstall/peer"
)

// nodeWatch is what is known of another node that is to send a request, while it does. It is safe for concurrent use. The methods of
// a nil one do nothing.
type nodeWatch struct {
	// node is the name of the node that has taken the request; nil if none has.
	node atomic.Pointer[string]
	// attempts is the number of endpoints that the request was sent to, as far as it is known. before is what it was when the
	// watch began.
	attempts atomic.Int64
	before   int
	// asked is the number of nodes that got the request.
	asked atomic.Int64
	// silent is true while the node sends nothing at all. silences gets a value when that begins.
	silent   atomic.Bool
	silences chan<- struct{}
}

// newNodeWatch returns the watch over a request that was sent to a number of endpoints before. silences has a buffer.
func newNodeWatch(attempts int, silences chan<- struct{}) *nodeWatch {
	w := &nodeWatch{silences: silences, before: attempts}
	w.attempts.Store(int64(attempts))
	return w
}

// watch begins the watch over a node that has taken the request, which ends by nothing but its connection's end from now on.
func (w *nodeWatch) watch(node string, stream *peer.Stream) {
	if w == nil {
		return
	}
	w.node.Store(&node)
	stream.OnSilence(func(silent bool) {
		w.silent.Store(silent)
		if !silent {
			return
		}
		select {
		case w.silences <- struct{}{}:
		default:
		}
	})
}

// recordAsked records that a node gets the request.
func (w *nodeWatch) recordAsked() {
	if w != nil {
		w.asked.Add(1)
	}
}

// taker returns the name of the node that has taken the request; empty if none has.
func (w *nodeWatch) taker() string {
	if node := w.node.Load(); node != nil {
		return *node
	}
	return ""
}

func (w *nodeWatch) recordAttempts(attempts int) {
	if w == nil {
		return
	}
	for {
		known := w.attempts.Load()
		if int64(attempts) <= known || w.attempts.CompareAndSwap(known, int64(attempts)) {
			return
		}
	}
}

func (w *nodeWatch) attemptsMade() int {
	return int(w.attempts.Load())
}

// attemptsAssumed returns how many endpoints may have got the request. A node that has taken it counts for one at least, since the
// message about its first attempt may be on its way.
func (w *nodeWatch) attemptsAssumed() int {
	if w.taker() == "" {
		return w.attemptsMade()
	}
	return max(w.attemptsMade(), w.before+1)
}
