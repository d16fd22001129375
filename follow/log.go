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
func (f *Follower) recordAnswer(s answerStats) {
	f.metrics.FeedTaken(sourceKind(s.source), s.size, s.elapsed)
	if s.size < largeAnswerBytes {
		return
	}
	f.log.Info().Str("Table", s.table).Str("From", s.source).Uint64("Version", s.version).Int64("Bytes", s.size).
		Dur("Elapsed", s.elapsed).Dur("Transfer", s.transfer).Dur("Applied", s.applied).Msg("large answer taken")
}

// recordFailure counts what had come of an answer that was given up. At most one a second is logged: one that
// keeps on coming in vain tells how much of it came each time.
func (f *Follower) recordFailure(source, table string, err error) {
	received, transfer := partialTransfer(err)
	f.metrics.FeedGivenUp(sourceKind(source), received)
	now := clock.Now().UnixNano()
	lastLogged := f.failureLoggedAt.Load()
	if received == 0 || now-lastLogged < int64(failureLogInterval) || !f.failureLoggedAt.CompareAndSwap(lastLogged, now) {
		return
	}
	f.log.Warn().Str("Table", table).Str("From", source).Int64("Received", received).Dur("Transfer", transfer).
		Err(err).Msg("answer given up")
}

// partialTransfer returns how many bytes of an answer had come, and in which time where it is known.
func partialTransfer(err error) (int64, time.Duration) {
	var truncated *TruncatedError
	if errors.As(err, &truncated) {
		return truncated.Received, truncated.Transfer
	}
	var callErr *peer.CallError
	if errors.As(err, &callErr) {
		return callErr.Received, 0
	}
	return 0, 0
}

func sourceKind(source string) string {
	if source == fromStore {
		return fromStore
	}
	return fromNode
}
