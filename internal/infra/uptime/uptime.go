// Package uptime reads a clock that goes on while the machine is suspended, unlike that of package time.
package uptime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was started.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every kernel that Go supports has this clock.
		panic("uptime: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
