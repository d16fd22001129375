package kernel

import "time"

const (
	// maxFetchDelay is how long after the start of a call its endpoint begins to fetch inputs at the
	// latest: some round trips.
	maxFetchDelay = 60 * time.Millisecond
	// fetchMargin is how many times the time that the endpoint's link needs for the inputs they may
	// take: their workers' links carry other calls' inputs too.
	fetchMargin = 2
	// scarceRoomShare is the share of a pool's room from which on it counts as scarce: with more left,
	// twice the results that are usually held find room.
	scarceRoomShare = 0.5
)

// Scarce tells whether so much of a pool's room is taken that results are to be given up as soon as
// nothing is likely to need them again.
func (e PoolEstimate) Scarce() bool {
	return e.RoomTaken > scarceRoomShare
}

// fetchTime returns how long after its start a call needs the inputs of its pieces at most. Each
// piece fetches all inputs of its group.
func (g *BatchQueue) fetchTime(batch PieceBatch) time.Duration {
	if g.traits.Link <= 0 {
		return batch.statedTime
	}
	var bytes int64
	for _, id := range batch.groups {
		for _, input := range g.groups[id].Inputs {
			bytes += input.Bytes
		}
	}
	return maxFetchDelay + time.Duration(fetchMargin*float64(bytes)/float64(g.traits.Link)*float64(time.Second))
}

// FetchTime returns how long after its start a call needs the inputs of its pieces at most.
func (b PieceBatch) FetchTime() time.Duration {
	return b.fetchTime
}

// Fetched returns the inputs that the calls under way have fetched and that nothing else needs;
// each is returned once. Held until the calls end, they would take room from other results for
// twice as long. The price: a piece whose call fails after that can't be made again.
func (g *BatchQueue) TakeFetchedInputs(now time.Time) []ResultRef {
	if now.Before(g.sharedUntil) {
		// Another batcher's call may come first at a worker; then the inputs are fetched later.
		return nil
	}
	var out []ResultRef
	for _, w := range g.groups {
		if !w.FreeInputs || w.inputsFreed || len(w.waiting) > 0 || now.Before(w.fetchedAt) {
			continue
		}
		w.inputsFreed = true
		out = append(out, w.Inputs...)
	}
	return out
}
