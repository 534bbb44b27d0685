package poolkeeper

import (
	"fmt"
	"time"

	"github.com/carobwharf/carobwharf/structs"
)

// maxOrders bounds the orders that wait for a pool's slot.
const maxOrders = 64

// orderPlan is the reason and the plan name of an operator's drain.
func orderPlan(o Order) string { return "operator:" + o.ID + ":" + o.Reason }

func (m *Machine) ordered(e Ordered) {
	if len(m.orders) >= maxOrders {
		m.do(Reply{ID: e.ID, Result: Result{Refusal: "too many orders are waiting"}})
		return
	}
	m.orders = append(m.orders, pendingOrder{id: e.ID, order: e.Order})
}

func (m *Machine) refuseOrders(why string) {
	for _, p := range m.orders {
		m.do(Reply{ID: p.id, Result: Result{Refusal: why}})
	}
	m.orders = nil
}

// beginOrders carries out the orders whose pool has a free slot.
func (m *Machine) beginOrders(now time.Time) {
	waiting := m.orders[:0]
	for _, p := range m.orders {
		r, answered := m.beginOrder(now, p)
		switch {
		case answered:
			m.do(Reply{ID: p.id, Result: r})
		case !m.orderBegun(p):
			waiting = append(waiting, p)
		}
	}
	m.orders = waiting
}

// orderBegun reports whether one of this step's changes carries out the order.
func (m *Machine) orderBegun(p pendingOrder) bool {
	for _, a := range m.out {
		if c, ok := a.(Change); ok && c.Order == p.id {
			return true
		}
	}
	return false
}

// beginOrder returns the answer if the order can be answered at once.
func (m *Machine) beginOrder(now time.Time, p pendingOrder) (Result, bool) {
	o, ok := m.owners[p.order.VM]
	if !ok {
		return Result{Refusal: "no pool owns VM " + p.order.VM}, true
	}
	if !m.holds(now, o.Pool) {
		return m.referral(o.Pool), true
	}
	if o.State != structs.OwnerActive {
		if o.Reason == orderPlan(p.order) {
			return Result{Accepted: true, Epoch: o.Epoch, Pool: o.Pool}, true
		}
		return Result{Refusal: fmt.Sprintf("VM %s is %s: %s", o.VM, o.State, o.Reason)}, true
	}
	if why := m.orderInvalid(p.order, o.Owner); why != "" {
		return Result{Refusal: why}, true
	}
	if !m.up(now) {
		return Result{Refusal: "the platform is not available"}, true
	}
	_, live := m.listed[o.VM]
	absent := m.absenceOf(o.Pool, o.VM) >= 0
	if !m.free(poolSlot(o.Pool)) || live == absent {
		return Result{}, false // the absence row is brought up to date first
	}
	if err := m.drainVM(now, o.Owner, p.order.ToPool, orderPlan(p.order), p.id); err != nil {
		return Result{Refusal: err.Error()}, true
	}
	return Result{}, false
}

func (m *Machine) referral(pool string) Result {
	if l := m.leases[pool]; l != nil && l.row.Record.Holder != "" && l.row.Record.Holder != m.cfg.ID {
		return Result{Holder: l.row.Record.Holder}
	}
	return Result{Refusal: "no controller holds the lease of pool " + pool}
}

func (m *Machine) orderInvalid(order Order, o structs.Owner) string {
	if order.ToPool == o.Pool {
		return fmt.Sprintf("VM %s is in pool %s already", o.VM, o.Pool)
	}
	if order.ToPool != "" && m.set.Pool(order.ToPool) == nil {
		return "no pool " + order.ToPool
	}
	return ""
}

// answerOrder answers the order that a change carried out.
func (m *Machine) answerOrder(e Committed) {
	if e.Change.Order == 0 {
		return
	}
	r := Result{Refusal: "the change was not made; send the order again"}
	if e.Done {
		r = Result{Accepted: true, Epoch: e.Change.Owners[0].Epoch, Pool: e.Change.Owners[0].Pool}
	}
	m.do(Reply{ID: e.Change.Order, Result: r})
}
