package follow

import (
	"time"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/clock"
	"basilstall.example/basilstall/peer"
)

const (
	// largeAnswerBytes is from how many bytes on an answer is logged: it fills a link of 10 Mbit/s for 50 ms.
	largeAnswerBytes = 64 << 10
	// failureLogInterval is the least time between two lines on answers that were given up.
	failureLogInterval = time.Second

	// fromStore and fromNode say in metrics whose answer it was.
	fromStore = "store"
	fromNode  = "node"
)

// taken is an answer that was taken in.
type answerStats struct {
	table   string
	source  string
	version uint64
	// size is in bytes.
	size int64
	// elapsed is the time since the question; transfer that since the answer's first byte, where it is
	// known; applied how long it took to decode and apply it.
	elapsed  time.Duration
	transfer time.Duration
	applied  time.Duration
}

// recordAnswer counts an answer, and logs a large one: whose it was, and what its time went into.
func (f *Follower) recordAnswer(a answerStats) {
	f.metrics.ObserveFeed(sourceKind(a.source), a.size, a.elapsed)
	if a.size < largeAnswerBytes {
		return
	}
	f.log.Info().Str("Table", a.table).Str("From", a.source).Uint64("Version", a.version).Int64("Bytes", a.size).
		Dur("Elapsed", a.elapsed).Dur("Transfer", a.transfer).Dur("Applied", a.applied).Msg("large answer taken")
}

// recordFailure counts what had come of an answer that was given up. At most one a second is logged: one that
// keeps on coming in vain tells how much of it came each time.
func (f *Follower) recordFailure(from, table string, err error) {
	received, transfer := partialTransfer(err)
	f.metrics.CountAbandonedFeed(sourceKind(from), received)
	now := clock.Now().UnixNano()
	last := f.failureLoggedAt.Load()
	if received == 0 || now-last < int64(failureLogInterval) || !f.failureLoggedAt.CompareAndSwap(last, now) {
		return
	}
	f.log.Warn().Str("Table", table).Str("From", from).Int64("Received", received).Dur("Transfer", transfer).
		Err(err).Msg("answer given up")
}

// partialTransfer returns how many bytes of an answer had come, and in which time where it is known.
func partialTransfer(err error) (int64, time.Duration) {
	var cut *TruncatedError
	if errors.As(err, &cut) {
		return cut.Received, cut.Transfer
	}
	var call *peer.CallError
	if errors.As(err, &call) {
		return call.Received, 0
	}
	return 0, 0
}

func sourceKind(from string) string {
	if from == fromStore {
		return fromStore
	}
	return fromNode
}
