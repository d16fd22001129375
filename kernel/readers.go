package kernel

import "time"

// Patience returns how long the next answer of a reader is waited for while it comes, after one that did or did not
// come whole in time. The usual time is the greatest age of a useful proof: then another node is asked, since this one
// may be cut off from all else. It doubles up to a most, so that an answer that outgrows its link comes whole
// in the end.
func Patience(before, usual, most time.Duration, inTime bool) time.Duration {
	if inTime || before <= 0 {
		return usual
	}
	return min(2*before, most)
}
