package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/carobwharf/carobwharf/daemon/gateway/dispatcher"
	"github.com/carobwharf/carobwharf/ring"
)

// ask puts a question to the dispatcher and waits for the reply.
func (d *dispatcherDuty) ask(ctx context.Context, q question) (reply, error) {
	q.reply = make(chan reply, 1)
	if err := d.questions.Put(ctx, q); err != nil {
		if errors.Is(err, ring.ErrClosed) {
			return reply{}, ErrStopped
		}
		return reply{}, err
	}
	select {
	case r := <-q.reply:
		return r, nil
	case <-ctx.Done():
		return reply{}, ctx.Err()
	}
}

func (d *dispatcherDuty) answerQuestion(q question) {
	ref := d.nextRef()
	switch q.kind {
	case askDrain:
		d.askers[ref] = q.reply
		d.step(dispatcher.Event{Kind: dispatcher.DrainVM, Ref: ref, VM: q.vm, Epoch: q.epoch})
	case askDemand:
		d.askers[ref] = q.reply
		d.step(dispatcher.Event{Kind: dispatcher.ReadDemand, Ref: ref})
	case askStop:
		d.stoppers = append(d.stoppers, q.reply)
		if d.abortAt.IsZero() {
			d.abortAt = time.Now().Add(d.cfg.DrainTimeout)
		}
		d.step(dispatcher.Event{Kind: dispatcher.Stop})
	case askDump:
		q.reply <- reply{dump: d.machine.Dump(time.Now())}
	}
}

// finishStop ends a graceful stop when every caller has its answer, or when
// its time is over.
func (d *dispatcherDuty) finishStop() {
	if len(d.stoppers) == 0 {
		return
	}
	aborted := 0
	if n := len(d.callers); n > 0 {
		if time.Now().Before(d.abortAt) {
			return
		}
		aborted = n
		for _, a := range d.machine.Step(time.Now(), dispatcher.Event{Kind: dispatcher.Abort}) {
			d.act(a)
		}
	}
	for _, ch := range d.stoppers {
		ch <- reply{aborted: aborted}
	}
	d.stoppers, d.abortAt = nil, time.Time{}
}

// dump returns the machine's state for the state dump.
func (d *dispatcherDuty) dump(ctx context.Context) any {
	r, err := d.ask(ctx, question{kind: askDump})
	if err != nil {
		return err.Error()
	}
	return r.dump
}
