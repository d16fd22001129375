package kernel_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
)

func TestPatienceGrowsUntilAnAnswerComesWhole(t *testing.T) {
	const usual, most = 2 * time.Second, 7 * time.Second
	patience := kernel.Patience(0, usual, most, false)
	must.EqOp(t, usual, patience)
	for _, step := range []struct {
		inTime bool
		want   time.Duration
	}{{false, 4 * time.Second}, {false, most}, {false, most}, {true, usual}, {true, usual}, {false, 4 * time.Second}} {
		patience = kernel.Patience(patience, usual, most, step.inTime)
		must.EqOp(t, step.want, patience)
	}
}
