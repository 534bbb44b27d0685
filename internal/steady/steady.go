// Package steady provides a monotonic clock that keeps running while the VM is
// suspended. Leases are measured with it, because the monotonic clock of package
// time stops during a suspension.
package steady

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM booted, as an offset from the Unix epoch. It
// can be compared only with other readings on the same VM since the same boot.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("steady: read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
