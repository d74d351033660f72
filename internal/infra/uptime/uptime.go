// Package uptime reads a monotonic clock that, unlike the one of package time, includes the time that the machine was
// suspended.
package uptime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was booted.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// All Linux kernels that Go supports have this clock.
		panic("uptime: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
