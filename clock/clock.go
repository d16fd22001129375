// Package clock waits, for the packages that do I/O; those that decide are handed the time.
package clock

import (
	"context"
	"time"
)

// Sleep waits for a duration and reports whether ctx still stands.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// sleepPollInterval is how often SleepUntil looks at the time: by so much it may be late after a suspension.
const sleepPollInterval = 100 * time.Millisecond

// SleepUntil waits until a time on a clock that counts the time in which the host was suspended, and reports
// whether ctx still stands. Timers do not count it.
func SleepUntil(ctx context.Context, now func() time.Time, until time.Time) bool {
	for {
		left := until.Sub(now())
		if left <= 0 {
			return ctx.Err() == nil
		}
		if !Sleep(ctx, min(left, sleepPollInterval)) {
			return false
		}
	}
}
