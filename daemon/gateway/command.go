package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/carobwharf/carobwharf/daemon/gateway/dispatcher"
	"github.com/carobwharf/carobwharf/ring"
)

// execute sends a command to the dispatcher and waits for the reply.
func (d *dispatcherDuty) execute(ctx context.Context, c command) (reply, error) {
	c.reply = make(chan reply, 1)
	if err := d.commands.Put(ctx, c); err != nil {
		if errors.Is(err, ring.ErrClosed) {
			return reply{}, ErrStopped
		}
		return reply{}, err
	}
	select {
	case r := <-c.reply:
		return r, nil
	case <-ctx.Done():
		return reply{}, ctx.Err()
	}
}

func (d *dispatcherDuty) handleCommand(c command) {
	ref := d.nextRef()
	switch c.kind {
	case drainVM:
		d.pendingCommands[ref] = c.reply
		d.step(dispatcher.Event{Kind: dispatcher.DrainVM, Ref: ref, VM: c.vm, Epoch: c.epoch})
	case readDemand:
		d.pendingCommands[ref] = c.reply
		d.step(dispatcher.Event{Kind: dispatcher.ReadDemand, Ref: ref})
	case stopRequests:
		d.pendingStops = append(d.pendingStops, c.reply)
		if d.abortAt.IsZero() {
			d.abortAt = time.Now().Add(d.cfg.DrainTimeout)
		}
		d.step(dispatcher.Event{Kind: dispatcher.Stop})
	case dumpState:
		c.reply <- reply{dump: d.machine.Dump(time.Now())}
	}
}

// finishStop ends a graceful stop when every caller has its answer, or when the
// drain timeout has passed. In the second case it aborts the requests left.
func (d *dispatcherDuty) finishStop() {
	if len(d.pendingStops) == 0 {
		return
	}
	aborted := 0
	if n := len(d.pendingCallers); n > 0 {
		if time.Now().Before(d.abortAt) {
			return
		}
		aborted = n
		for _, a := range d.machine.Step(time.Now(), dispatcher.Event{Kind: dispatcher.Abort}) {
			d.perform(a)
		}
	}
	for _, ch := range d.pendingStops {
		ch <- reply{aborted: aborted}
	}
	d.pendingStops, d.abortAt = nil, time.Time{}
}

// dump returns a snapshot of the machine's state, or the text of an error.
func (d *dispatcherDuty) dump(ctx context.Context) any {
	r, err := d.execute(ctx, command{kind: dumpState})
	if err != nil {
		return err.Error()
	}
	return r.dump
}
