package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time of CLOCK_BOOTTIME, which includes the time in which the host was suspended and does not change
// when the system time is set. It counts from the start of the host, so its values have a meaning only within this
// process: they must not be compared with those of time.Now, stored or sent elsewhere.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock exists since Linux 2.6.39.
		panic("clock: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
