package kernel

import (
	"slices"
	"time"

	"basilstall.example/basilstall/model"
)

type (
	// PieceGroup is the pieces of one stage of one request. They are wanted together.
	PieceGroup struct {
		// ID is unique among the groups of one batch queue.
		ID     uint64
		Pieces []model.Piece
		// ResultBytes is the approximate size of one result.
		ResultBytes int64
		// Inputs are the results that each of the pieces is made from. With FreeInputs nothing else
		// needs them, and they may be freed once the calls have fetched them.
		Inputs     []ResultRef
		FreeInputs bool
		// Domain is the failure domain where the inputs lie or the results are wanted; empty
		// where it does not matter. After LocalityWait other domains are as good.
		Domain       string
		LocalityWait time.Duration
		// Rank is the request's priority; 0 comes first.
		Rank int
		// AskedAt is when its sender first asked for it, of whatever batcher; zero means when it was added.
		AskedAt time.Time
		// Due is when the results must be there for the request to be on time; Until is when
		// they become useless.
		Due   time.Time
		Until time.Time
	}

	// PieceBatch is a call to be made.
	PieceBatch struct {
		ID       uint64
		Endpoint model.Endpoint
		Pieces   []model.Piece
		// groups holds the group of each piece.
		groups []uint64
		bytes  []int64
		// startedAt is when the call was handed out, stated what it should take, fetching until
		// when its endpoint needs the inputs at most.
		startedAt  time.Time
		statedTime time.Duration
		fetchTime  time.Duration
		// probe is true for a call that finds out whether a slow endpoint still is.
		probe bool
	}

	// ResultRef is a result with its place.
	ResultRef struct {
		Number int
		Handle string
		// Worker is the incarnation of the endpoint that holds the result, of a pool and in a failure domain.
		Worker string
		Pool   string
		Domain string
		// Bytes is its approximate size.
		Bytes int64
	}

	// GroupOutcome says how a group ended: whole, with one result for each piece, or with a
	// fault.
	GroupOutcome struct {
		Group uint64
		Made  []ResultRef
		Fault model.PieceFault
		// Waited is how long the last of its pieces waited for a call.
		Waited time.Duration
		// InputsFreed is true where its inputs were handed out to be freed.
		InputsFreed bool
		// Wait is how long its pieces would have waited on, where it was given up for others.
		Wait time.Duration
	}
)

// StartedAt is when the call was handed out.
func (b PieceBatch) StartedAt() time.Time {
	return b.startedAt
}

// Digests returns the digests of the requests whose pieces a call is for, each once.
func (b PieceBatch) Digests() []model.Digest {
	var out []model.Digest
	for _, p := range b.Pieces {
		if p.Digest != "" && !slices.Contains(out, p.Digest) {
			out = append(out, p.Digest)
		}
	}
	return out
}
