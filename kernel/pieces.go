package kernel

import (
	"slices"
	"time"

	"basilstall.example/basilstall/model"
)

type (
	// PieceGroup holds the pieces of one stage of one request, which are needed together.
	PieceGroup struct {
		// ID is unique among the groups of one batch queue.
		ID     uint64
		Pieces []model.Piece
		// ResultBytes is the approximate size of each result.
		ResultBytes int64
		// Inputs are the results that each piece is made from. With FreeInputs nothing else needs them, and they
		// may be freed once the calls have fetched them.
		Inputs     []ResultRef
		FreeInputs bool
		// Domain is the failure domain that holds the inputs or needs the results; empty if any domain will do. A
		// group that has waited for LocalityWait may be made in any domain.
		Domain       string
		LocalityWait time.Duration
		// Rank is the request's priority; 0 is the highest.
		Rank int
		// Shared is true if the group is ordered by customers' shares while the queue is overloaded. Customer is then the
		// name of the request's customer, empty if it has none, and Weight the customer's weight; below 1 it counts as 1.
		Shared   bool
		Customer string
		Weight   float64
		// Waited is how long the caller had waited since its first attempt when it sent this one; zero for a first attempt.
		Waited time.Duration
		// FirstSentAt is when the sender first sent the group to any batcher; if zero, Add sets it to the present
		// time.
		FirstSentAt time.Time
		// Due is when the results are needed for the request to be on time; Until is when they become useless.
		Due   time.Time
		Until time.Time
	}

	// PieceBatch is a call to an endpoint that makes pieces of one or more groups.
	PieceBatch struct {
		ID       uint64
		Endpoint model.Endpoint
		Pieces   []model.Piece
		// groups holds the group of each piece, bytes the size of its result.
		groups []uint64
		bytes  []int64
		// startedAt is when the call was started, statedTime its duration by the pool's traits, fetchTime the
		// time after its start by which its endpoint has fetched the inputs.
		startedAt  time.Time
		statedTime time.Duration
		fetchTime  time.Duration
		// probe is true for a call that tests whether a slow endpoint has recovered.
		probe bool
	}

	// ResultRef refers to a result that an endpoint holds.
	ResultRef struct {
		Number int
		Handle string
		// Worker is the incarnation of the endpoint that holds the result, Pool and Domain are the endpoint's
		// pool and failure domain.
		Worker string
		Pool   string
		Domain string
		// Bytes is the approximate size of the result.
		Bytes int64
	}

	// GroupOutcome is how a group ended: complete, with one result for each piece, or with a fault and the
	// results made until then.
	GroupOutcome struct {
		Group uint64
		Made  []ResultRef
		Fault model.PieceFault
		// Waited is how long the last of its pieces waited for a call.
		Waited time.Duration
		// InputsFreed is true if TakeFetchedInputs returned its inputs.
		InputsFreed bool
		// Wait is the estimate of how much longer its pieces would have waited; set only for a group that
		// starved.
		Wait time.Duration
	}
)

// StartedAt returns when the call was started.
func (b PieceBatch) StartedAt() time.Time {
	return b.startedAt
}

// RequestDigests returns the digests of the requests that the pieces belong to. Workers do not get their prompts.
func (b PieceBatch) RequestDigests() []model.RequestDigests {
	var out []model.RequestDigests
	for _, digest := range b.Digests() {
		out = append(out, model.RequestDigests{Request: digest})
	}
	return out
}

// Digests returns the distinct digests of the requests that the pieces belong to.
func (b PieceBatch) Digests() []model.Digest {
	var out []model.Digest
	for _, p := range b.Pieces {
		if p.Digest != "" && !slices.Contains(out, p.Digest) {
			out = append(out, p.Digest)
		}
	}
	return out
}
