package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the instance was started, suspended time included; where the system has no such clock, the time since the process was.
func Boot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Since(started)
	}
	return time.Duration(now.Nano())
}

var started = time.Now()
