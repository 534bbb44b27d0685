package members

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/carobwharf/carobwharf/membership"
	"github.com/carobwharf/carobwharf/ring"
	"github.com/carobwharf/carobwharf/rows"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/structs"
)

// State is the duty's entry in the state dump.
type State struct {
	Self    structs.Member
	Health  int
	Members []membership.Update
	Ring    ring.Stats
}

var errSimulatedLoss = errors.New("heartbeat dropped by the loss setting")

// Heartbeat processes a peer's heartbeat and returns the answer. It is called by
// the goroutines of the drpc server.
func (d *Duty) Heartbeat(ctx context.Context, m membership.Message) (membership.Message, error) {
	reply := make(chan membership.Message, 1)
	if err := d.events.Put(ctx, heartbeatReceived{message: m, reply: reply}); err != nil {
		return membership.Message{}, fmt.Errorf("heartbeat not taken: %w", err)
	}
	select {
	case out := <-reply:
		return out, nil
	case <-ctx.Done():
		return membership.Message{}, ctx.Err()
	}
}

// SetConfig tells the duty which configuration is in force. Heartbeats announce
// it to the peers.
func (d *Duty) SetConfig(ctx context.Context, generation uint64, hash string) error {
	return d.events.Put(ctx, configApplied{generation: generation, hash: hash})
}

// Dump returns the duty's State, or nil if ctx is done first.
func (d *Duty) Dump(ctx context.Context) any {
	reply := make(chan State, 1)
	if d.events.Put(ctx, dumpRequest{reply: reply}) != nil {
		return nil
	}
	select {
	case s := <-reply:
		return s
	case <-ctx.Done():
		return nil
	}
}

func (d *Duty) sendHeartbeat(ctx context.Context, addr, to string) {
	if d.rng.Float64() < d.opts.LossRate {
		heartbeatResult{to: to, err: errSimulatedLoss}.apply(d, time.Now())
		return
	}
	m := d.view.Message(to)
	err := d.pool.Go(func() {
		out, err := d.opts.Sender.Heartbeat(ctx, addr, m)
		_ = d.events.Put(ctx, heartbeatResult{to: to, message: out, err: err})
	})
	if err != nil {
		d.opts.Metrics.Counter("members.skipped").Inc(1)
	}
}

// exchangeRows starts a task that writes the member row of this process and
// reads those of the other processes, unless one is running.
func (d *Duty) exchangeRows(ctx context.Context) {
	if d.exchangingRows {
		return
	}
	self := d.view.Self()
	err := d.pool.Go(func() {
		members, err := writeAndReadRows(ctx, d.opts.Table, self)
		_ = d.events.Put(ctx, rowExchangeResult{members: members, err: err})
	})
	d.exchangingRows = err == nil
}

// writeAndReadRows writes self's member row and returns the members of all other
// rows. If the result of the write is unknown, the read shows whether the row
// exists.
func writeAndReadRows(ctx context.Context, t store.Table, self structs.Member) ([]structs.Member, error) {
	value, err := rows.EncodeMember(self)
	if err != nil {
		return nil, err
	}
	put := store.Op{Kind: store.OpPut, Key: store.KeyMember(self.ID), Value: value}
	if _, err := t.Commit(ctx, []store.Op{put}); err != nil && !errors.Is(err, store.ErrUnknown) {
		return nil, fmt.Errorf("write member row: %w", err)
	}
	found, err := store.ScanAll(ctx, t, store.PrefixMember)
	if err != nil {
		return nil, fmt.Errorf("read member rows: %w", err)
	}
	var out []structs.Member
	own := false
	for _, r := range found {
		m, err := rows.DecodeMember(r.Value)
		switch {
		case err != nil:
		case m.ID == self.ID:
			own = true
		default:
			out = append(out, m)
		}
	}
	if !own {
		return nil, errors.New("the own member row was not written")
	}
	return out, nil
}

// leave tells some peers that this process stops, and deletes its row. Without
// it other processes would detect the stop later.
func (d *Duty) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), d.opts.Membership.Interval)
	defer cancel()
	leaveMessage := d.view.LeaveMessage()
	var tasks []func()
	for i, m := range d.view.Live() {
		if m.ID != d.view.Self().ID && i <= 2*d.opts.Membership.Fanout {
			tasks = append(tasks, func() { _, _ = d.opts.Sender.Heartbeat(ctx, m.Addr, leaveMessage) })
		}
	}
	key := store.KeyMember(d.view.Self().ID)
	tasks = append(tasks, func() {
		if r, err := d.opts.Table.Get(ctx, key); err == nil {
			_, _ = d.opts.Table.Commit(ctx, []store.Op{{Kind: store.OpDelete, Key: key, Expect: r.Version}})
		}
	})
	group := d.pool.NewGroup()
	for _, task := range tasks {
		group.Submit(task)
	}
	_ = group.Wait()
}
