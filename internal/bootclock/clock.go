// Package bootclock reads the clock that includes the time during which the instance
// was suspended. The monotonic clock of the Go runtime stops during a suspension, and
// the wall clock may jump, so neither is suitable for deadlines in real time.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the instance booted, including suspensions, added to the
// Unix epoch. On a system without that clock, it uses the time since the start of the
// process by the runtime's monotonic clock instead.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Unix(0, 0).Add(time.Since(processStart))
	}
	return time.Unix(ts.Sec, ts.Nsec)
}

// processStart is the origin of the fallback clock.
var processStart = time.Now()
