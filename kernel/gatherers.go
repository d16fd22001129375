package kernel

import "slices"

// Gatherers returns the nodes in the order in which they are to gather the pieces of a pool, the
// same for all who know the same nodes.
func Gatherers(pool string, nodes []string) []string {
	out := slices.Clone(nodes)
	slices.SortFunc(out, func(a, b string) int {
		sa, sb := rendezvousScore(pool, a), rendezvousScore(pool, b)
		switch {
		case sa > sb:
			return -1
		case sa < sb:
			return 1
		default:
			return 0
		}
	})
	return out
}
