package kernel

import "slices"

// committerCount is how many members insert durable keys. It keeps the group commits of a large fleet within the
// writes per second that the table takes.
const committerCount = 4

// CommitterOf returns the member that inserts a durable key (see Key.Mode) into the table. It returns false if no
// member is alive. It only spreads the load: any member may insert any key, since the table decides between concurrent
// inserts.
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
