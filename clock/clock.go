// Package clock provides a suspension-aware clock, sleeps and idle timeouts for the packages that do I/O. Packages
// without I/O, such as kernel, get the time as an argument.
package clock

import (
	"context"
	"time"
)

// Sleep waits for a duration. It returns false if ctx ended first.
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

// sleepPollInterval is how often SleepUntil reads the clock, and so the maximum delay after a suspension.
const sleepPollInterval = 100 * time.Millisecond

// SleepUntil waits until a deadline on a clock that includes the time in which the host was suspended, which timers do
// not. It returns false if ctx ended first.
func SleepUntil(ctx context.Context, now func() time.Time, deadline time.Time) bool {
	for {
		remaining := deadline.Sub(now())
		if remaining <= 0 {
			return ctx.Err() == nil
		}
		if !Sleep(ctx, min(remaining, sleepPollInterval)) {
			return false
		}
	}
}
