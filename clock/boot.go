package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the present time on the clock that counts the time in which the host was suspended
// and never jumps. Its zero is the host's start: values mean something only to this process.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every Linux since 2.6.39 has the clock.
		panic("clock: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
