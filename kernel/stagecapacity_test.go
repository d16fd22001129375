package kernel_test

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// Callers state numbers of pieces. Guards against sums and products of them that overflow, and against refusals of what can be made.
func TestRefuseUnmakable(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	traits := model.PieceTraits{Slots: 2, MaxBatch: 10, CallTime: 100 * time.Millisecond, PieceTime: 10 * time.Millisecond, Room: 1e6}
	admission := kernel.Admission{Deadline: now.Add(2 * time.Second), Route: model.Route{Stages: []model.StageNode{
		{Pool: "w", ResultBytes: 100}, {Pool: "w", ResultBytes: 100, After: []int{0}}, {Pool: "v", ResultBytes: 100},
	}}}
	for _, tc := range []struct {
		name    string
		pieces  []int
		workers int
		refused bool
	}{
		{"none", nil, 3, false},
		{"hundreds", []int{300, 200, 500}, 3, false},
		{"as many as can be made", []int{300, 299, 600}, 3, false},
		{"too many of one pool", []int{301, 301, 1}, 3, true},
		{"too many in the last stage", []int{1, 1, 601}, 3, true},
		{"the largest number", []int{math.MaxInt, math.MaxInt, math.MaxInt}, 3, true},
		{"no worker is known", []int{1000, 1000, 1000}, 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			workers := []kernel.StageWorkers{{Traits: traits, Count: tc.workers}, {Traits: traits, Count: tc.workers}, {Traits: traits, Count: tc.workers}}
			f := model.Forward{Pieces: tc.pieces}
			refusal := kernel.RefuseUnmakable(now, f, admission, workers)
			must.EqOp(t, tc.refused, refusal != nil)
			if refusal != nil {
				must.EqOp(t, model.PiecesUnmakable, refusal.Reason)
				must.EqOp(t, model.NotRun, refusal.Verdict)
			}
			making, made := kernel.PieceBytes(f, admission.Route.Stages)
			must.GreaterEq(t, 0, making-made)
			must.GreaterEq(t, 0, made)
		})
	}
	admission.Deadline = now.Add(time.Hour)
	workers := []kernel.StageWorkers{{Traits: traits, Count: 1}, {Traits: traits, Count: 1}, {Traits: traits, Count: 1}}
	must.Nil(t, kernel.RefuseUnmakable(now, model.Forward{Pieces: []int{10_000}}, admission, workers))
	must.NotNil(t, kernel.RefuseUnmakable(now, model.Forward{Pieces: []int{10_001}}, admission, workers), must.Sprint("results that the workers have no room for"))
}
