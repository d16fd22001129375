package follow

import (
	"time"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/clock"
	"basilstall.example/basilstall/peer"
)

const (
	// largeAnswerBytes is the size from which answers are logged: it occupies a link of 10 Mbit/s for 50 ms.
	largeAnswerBytes = 64 << 10
	// failureLogInterval is the minimum time between two log lines about failed answers.
	failureLogInterval = time.Second

	// fromStore and fromNode are the values of the metrics label "from".
	fromStore = "store"
	fromNode  = "node"
)

// answerStats describes an answer that was applied.
type answerStats struct {
	table string
	// source is fromStore, or the name of the node that answered.
	source  string
	version uint64
	// size is in bytes.
	size int64
	// elapsed is the time from the request to the end of the answer, transfer the part of it from the first byte of the
	// answer on (zero if unknown), and applied the time to apply the answer, including decompression.
	elapsed  time.Duration
	transfer time.Duration
	applied  time.Duration
}

// recordAnswer counts an answer in the metrics. It logs a large one with its source and the time spent in each phase.
func (f *Follower) recordAnswer(s answerStats) {
	f.metrics.ObserveFeed(sourceKind(s.source), s.size, s.elapsed)
	if s.size < largeAnswerBytes {
		return
	}
	f.log.Info().Str("Table", s.table).Str("From", s.source).Uint64("Version", s.version).Int64("Bytes", s.size).
		Dur("Elapsed", s.elapsed).Dur("Transfer", s.transfer).Dur("Applied", s.applied).Msg("large answer taken")
}

// recordFailure counts the bytes that were received of an answer that failed. It logs an answer that was received in
// part, at most one per failureLogInterval. If the same one fails again and again, the lines show how much is received
// each time.
func (f *Follower) recordFailure(source, table string, err error) {
	received, transfer := partialTransfer(err)
	f.metrics.CountAbandonedFeed(sourceKind(source), received)
	now := clock.Now().UnixNano()
	lastLogged := f.failureLoggedAt.Load()
	if received == 0 || now-lastLogged < int64(failureLogInterval) || !f.failureLoggedAt.CompareAndSwap(lastLogged, now) {
		return
	}
	f.log.Warn().Str("Table", table).Str("From", source).Int64("Received", received).Dur("Transfer", transfer).
		Err(err).Msg("answer given up")
}

// partialTransfer returns how many bytes were received of an answer that failed, and in which time (zero if unknown).
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
