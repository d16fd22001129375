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
