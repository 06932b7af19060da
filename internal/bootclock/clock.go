// Package bootclock reads the clock that also counts the time during which the
// instance was suspended. The monotonic clock of the runtime stops meanwhile,
// and the time of day may jump, so neither can bound what must end in real time.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the instance started, suspensions included. On a
// system without that clock it falls back to the runtime's monotonic clock.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Unix(0, 0).Add(time.Since(start))
	}
	return time.Unix(ts.Sec, ts.Nsec)
}

// start is the origin of the fallback clock.
var start = time.Now()
