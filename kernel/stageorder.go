package kernel

import "basilstall.example/basilstall/model"

// StageOrder returns the indexes of stages so that each stage comes after those whose results it needs. It returns false if there is no
// such order, or a stage needs one that does not exist.
func StageOrder(stages []model.StageNode) ([]int, bool) {
	order := make([]int, 0, len(stages))
	placed := make([]bool, len(stages))
	for len(order) < len(stages) {
		before := len(order)
		for i, stage := range stages {
			if !placed[i] && allPlaced(placed, stage.After) {
				placed[i] = true
				order = append(order, i)
			}
		}
		if len(order) == before {
			return nil, false
		}
	}
	return order, true
}

func allPlaced(placed []bool, stages []int) bool {
	for _, i := range stages {
		if i < 0 || i >= len(placed) || !placed[i] {
			return false
		}
	}
	return true
}
