package kernel_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

func TestStageOrder(t *testing.T) {
	for _, tc := range []struct {
		name  string
		after [][]int
		want  []int
	}{
		{"none", nil, []int{}},
		{"in order", [][]int{{}, {0}, {1}}, []int{0, 1, 2}},
		{"against it", [][]int{{1}, {2}, {}}, []int{2, 1, 0}},
		{"the case of the review", [][]int{{2}, {0, 2}, {}}, []int{2, 0, 1}},
		{"itself", [][]int{{0}}, nil},
		{"a circle behind a stage", [][]int{{}, {0, 2}, {1}}, nil},
		{"a stage that does not exist", [][]int{{3}}, nil},
		{"a negative number", [][]int{{-1}}, nil},
	} {
		var stages []model.StageNode
		for _, after := range tc.after {
			stages = append(stages, model.StageNode{After: after})
		}
		got, ok := kernel.StageOrder(stages)
		must.EqOp(t, tc.want != nil, ok, must.Sprint(tc.name))
		must.Eq(t, tc.want, got, must.Sprint(tc.name))
	}
}
