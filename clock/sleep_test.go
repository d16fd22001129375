package clock_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/clock"
)

// A host that is suspended while its node leaves: timers go on where they stood, and a node that sleeps for the
// grace time outlives it by as long as it was suspended.
func TestSleepUntilCountsSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const suspended = 3 * time.Second
		start := time.Now()
		now := func() time.Time {
			awake := time.Since(start)
			if awake >= time.Second {
				awake += suspended
			}
			return start.Add(awake)
		}
		must.True(t, clock.SleepUntil(t.Context(), now, start.Add(8*time.Second)))
		must.Between(t, 5*time.Second, time.Since(start), 5*time.Second+100*time.Millisecond)
	})
}
