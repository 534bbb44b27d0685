package platform

import (
	"context"
	"time"

	"github.com/carobwharf/carobwharf/ring"
)

// PowerFunc switches a VM off when its reboot starts and on when it ends. It is
// called by the reboot duty and may block.
type PowerFunc func(vm string, on bool) error

type reboot struct {
	vm  string
	end time.Time // when the VM is switched on again
}

// rebootRingSize is the capacity of the ring of reboots that wait for the reboot
// duty. It is far above the number that the write rate allows.
const rebootRingSize = 1024

// runReboots switches VMs off and on. All reboots take the same time, so they end
// in the order in which they started.
func runReboots(ctx context.Context, started *ring.Ring[reboot], power PowerFunc) error {
	var rebooting []reboot
	timer := time.NewTimer(0)
	timer.Stop()
	defer timer.Stop()
	for {
		select {
		case r := <-started.C():
			_ = power(r.vm, false) // a VM that cannot be reached counts as off
			rebooting = append(rebooting, r)
		case <-timer.C:
			_ = power(rebooting[0].vm, true)
			rebooting = rebooting[1:]
		case <-ctx.Done():
			return nil
		}
		if len(rebooting) > 0 {
			timer.Reset(time.Until(rebooting[0].end))
		}
	}
}
