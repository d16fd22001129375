package kernel

import "slices"

// committerCount is how many members insert durable keys, so that the group commits of a
// large fleet stay within the table's writes a second.
const committerCount = 4

// CommitterOf returns the member that inserts a durable key. It only spreads the work: any
// member may insert any key, since the table arbitrates.
func CommitterOf(key Key, alive []Member) (Member, bool) {
	if len(alive) == 0 {
		return Member{}, false
	}
	ranked := slices.Clone(alive)
	slices.SortFunc(ranked, func(a, b Member) int {
		if rendezvousScore("committers", a.ID()) > rendezvousScore("committers", b.ID()) {
			return -1
		}
		return 1
	})
	return rendezvous(key.ID, ranked[:min(committerCount, len(ranked))]), true
}
