package platform

import (
	"context"
	"time"

	"github.com/carobwharf/carobwharf/ring"
)

// Power turns a VM off when its reboot starts and on when it ends. It runs on
// the reboot duty and may block.
type Power func(vm string, on bool) error

type reboot struct {
	vm string
	up time.Time
}

// Reboots waiting for the duty; the write rate keeps far below it.
const rebootRing = 1024

// runReboots turns VMs off and on. All reboots take equally long, so that the
// one that started first ends first.
func runReboots(ctx context.Context, started *ring.Ring[reboot], power Power) error {
	var off []reboot
	timer := time.NewTimer(0)
	timer.Stop()
	defer timer.Stop()
	for {
		select {
		case r := <-started.C():
			_ = power(r.vm, false) // a VM that cannot be reached is as good as off
			off = append(off, r)
		case <-timer.C:
			_ = power(off[0].vm, true)
			off = off[1:]
		case <-ctx.Done():
			return nil
		}
		if len(off) > 0 {
			timer.Reset(time.Until(off[0].up))
		}
	}
}
