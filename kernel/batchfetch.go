package kernel

import "time"

const (
	// maxFetchDelay is the time after the start of a call within which its endpoint begins to fetch inputs: some
	// round trips.
	maxFetchDelay = 60 * time.Millisecond
	// fetchMargin is the factor by which fetching the inputs may exceed the time that the endpoint's link needs
	// for them: the links of the workers that hold the inputs carry the inputs of other calls too.
	fetchMargin = 2
	// scarceRoomShare is the taken share of a pool's room above which room counts as scarce. Below it there is
	// room for twice as many results as are usually held.
	scarceRoomShare = 0.5
)

// Scarce reports whether so much of the pool's room is taken that results should be freed as soon as they are
// unlikely to be needed again.
func (e PoolEstimate) Scarce() bool {
	return e.RoomTaken > scarceRoomShare
}

// fetchTime returns the time after the start of a call by which the inputs of its pieces are fetched. Each piece
// fetches all inputs of its group.
func (q *BatchQueue) fetchTime(batch PieceBatch) time.Duration {
	if q.traits.LinkBandwidth <= 0 {
		return batch.statedTime
	}
	var bytes int64
	for _, id := range batch.groups {
		for _, input := range q.groups[id].Inputs {
			bytes += input.Bytes
		}
	}
	return maxFetchDelay + time.Duration(fetchMargin*float64(bytes)/float64(q.traits.LinkBandwidth)*float64(time.Second))
}

// FetchTime returns the time after the start of the call by which the inputs of its pieces are fetched.
func (b PieceBatch) FetchTime() time.Duration {
	return b.fetchTime
}

// TakeFetchedInputs returns the inputs that running calls have fetched and that nothing else needs, each only
// once. If they were kept until the calls end, they would occupy room for twice as long. In return, a piece whose
// call fails after this cannot be made again.
func (q *BatchQueue) TakeFetchedInputs(now time.Time) []ResultRef {
	if now.Before(q.sharedUntil) {
		// A call of another batcher may run first on a worker, which delays the fetch.
		return nil
	}
	var out []ResultRef
	for _, g := range q.groups {
		if !g.FreeInputs || g.inputsFreed || len(g.waiting) > 0 || now.Before(g.fetchedAt) {
			continue
		}
		g.inputsFreed = true
		out = append(out, g.Inputs...)
	}
	return out
}
