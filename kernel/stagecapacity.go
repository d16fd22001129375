package kernel

import (
	"fmt"
	"math"
	"time"

	"basilstall.example/basilstall/model"
)

const (
	// pieceBytes is what a node holds for a piece while it is made, at the sender of its group and at the batcher: the piece, its attempts,
	// and its result. An input that a group names counts as much. resultBytes is what the sender keeps of it after that.
	pieceBytes  = 512
	resultBytes = 128
)

// StageWorkers is what a node knows of those that make the pieces of a stage.
type StageWorkers struct {
	Traits model.PieceTraits
	// Count is the number of endpoints that may make them; 0 if none is known.
	Count int
}

// PieceBytes returns how many bytes a node holds at most for the pieces of a request while they are made, and how many of these until the
// request has ended.
func PieceBytes(f model.Forward, stages []model.StageNode) (making, made int64) {
	pieces, inputs := 0.0, 0.0
	for i, stage := range stages {
		if PieceCount(f, i) == 0 {
			continue
		}
		pieces += float64(PieceCount(f, i))
		for _, before := range stage.After {
			inputs += float64(PieceCount(f, before))
		}
	}
	return saturate((pieces + inputs) * pieceBytes), saturate(pieces * resultBytes)
}

// GroupBytes returns how many bytes a batcher holds at most for a group that another node has sent.
func GroupBytes(pieces, inputs int) int64 {
	return saturate((float64(pieces) + float64(inputs)) * pieceBytes)
}

func saturate(n float64) int64 {
	if n >= math.MaxInt64 {
		return math.MaxInt64
	}
	return int64(n)
}

// RefuseUnmakable refuses a request whose pieces the workers cannot make by its deadline even if they make nothing else, or whose results
// they have no room for at once. Workers has an entry for each stage.
func RefuseUnmakable(now time.Time, f model.Forward, a Admission, workers []StageWorkers) *model.Refusal {
	busy := map[string]float64{}
	for i, stage := range a.Route.Stages {
		pieces, w := float64(PieceCount(f, i)), workers[i]
		if pieces == 0 || w.Count == 0 || w.Traits.MaxBatch == 0 || w.Traits.Slots == 0 {
			continue
		}
		// Calls in progress at the same time each take their full time.
		each := float64(w.Traits.CallTime)/float64(w.Traits.MaxBatch) + float64(w.Traits.PieceTime)
		busy[stage.Pool] += pieces * each / float64(w.Count*w.Traits.Slots)
		if busy[stage.Pool] > float64(a.Deadline.Sub(now)) {
			return refuseUnmakable(stage.Pool, "has no time for the stated pieces within the deadline")
		}
		if w.Traits.Room > 0 && pieces*float64(stage.ResultBytes) > float64(w.Count)*float64(w.Traits.Room) {
			return refuseUnmakable(stage.Pool, "has no room for the results of the stated pieces")
		}
	}
	return nil
}

func refuseUnmakable(pool, why string) *model.Refusal {
	return model.NewRefusal(model.NotRun, model.PiecesUnmakable, 0, fmt.Sprintf("pool %s %s", pool, why))
}
