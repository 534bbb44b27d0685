// Package steady reads a clock that never steps and that also counts the time
// in which the VM was suspended. Leases are measured with it: the monotonic
// clock of package time stands still during a suspension.
package steady

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM started, as a time after the Unix epoch.
// It is comparable only with other readings on the same VM.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("steady: CLOCK_BOOTTIME can't be read: " + err.Error())
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
