package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the instance booted, including suspended time. Where the system has no such clock, it returns the time since the process started.
func SinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Since(started)
	}
	return time.Duration(now.Nano())
}

var started = time.Now()
