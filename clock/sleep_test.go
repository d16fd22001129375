package clock_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/clock"
)

// The host is suspended while its node sleeps through the grace period of a shutdown. Timers do not include the
// suspension, so that a plain sleep would end later than the grace period by as long as the host was suspended.
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
