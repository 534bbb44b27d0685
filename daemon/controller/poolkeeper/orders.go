package poolkeeper

import (
	"fmt"
	"time"

	"github.com/carobwharf/carobwharf/structs"
)

// maxOrders limits the number of pending orders.
const maxOrders = 64

// orderPlanName returns the value of Owner.Reason and Absence.Plan for an
// operator's drain.
func orderPlanName(o DrainOrder) string { return "operator:" + o.ID + ":" + o.Reason }

func (m *Machine) handleOrder(e OrderReceived) {
	if len(m.pendingOrders) >= maxOrders {
		m.emit(Reply{ID: e.ID, Result: DrainResult{Refusal: "too many orders are waiting"}})
		return
	}
	m.pendingOrders = append(m.pendingOrders, pendingOrder{id: e.ID, order: e.Order})
}

func (m *Machine) refuseOrders(reason string) {
	for _, p := range m.pendingOrders {
		m.emit(Reply{ID: p.id, Result: DrainResult{Refusal: reason}})
	}
	m.pendingOrders = nil
}

// beginOrders starts or answers the pending orders that it can; the others stay
// pending.
func (m *Machine) beginOrders(now time.Time) {
	waiting := m.pendingOrders[:0]
	for _, p := range m.pendingOrders {
		r, answered := m.beginOrder(now, p)
		switch {
		case answered:
			m.emit(Reply{ID: p.id, Result: r})
		case !m.orderBegun(p):
			waiting = append(waiting, p)
		}
	}
	m.pendingOrders = waiting
}

// orderBegun reports whether the current step has emitted a change for the order.
func (m *Machine) orderBegun(p pendingOrder) bool {
	for _, a := range m.actions {
		if c, ok := a.(Change); ok && c.Order == p.id {
			return true
		}
	}
	return false
}

// beginOrder starts the drain of an order. It returns a result and true if the
// order can be answered without a change.
func (m *Machine) beginOrder(now time.Time, p pendingOrder) (DrainResult, bool) {
	o, ok := m.owners[p.order.VM]
	if !ok {
		return DrainResult{Refusal: "no pool owns VM " + p.order.VM}, true
	}
	if !m.holdsLease(now, o.Pool) {
		return m.holderResult(o.Pool), true
	}
	if o.State != structs.OwnerActive {
		if o.Reason == orderPlanName(p.order) {
			return DrainResult{Accepted: true, Epoch: o.Epoch, Pool: o.Pool}, true
		}
		return DrainResult{Refusal: fmt.Sprintf("VM %s is %s: %s", o.VM, o.State, o.Reason)}, true
	}
	if why := m.invalidOrderReason(p.order, o.Owner); why != "" {
		return DrainResult{Refusal: why}, true
	}
	if !m.platformUp(now) {
		return DrainResult{Refusal: "the platform is not available"}, true
	}
	_, live := m.liveVMs[o.VM]
	absent := m.absenceIndex(o.Pool, o.VM) >= 0
	if !m.slotFree(poolSlot(o.Pool)) || live == absent {
		return DrainResult{}, false // the absence row must be updated first
	}
	if err := m.startDrain(now, o.Owner, p.order.ToPool, orderPlanName(p.order), p.id); err != nil {
		return DrainResult{Refusal: err.Error()}, true
	}
	return DrainResult{}, false
}

// holderResult names the lease holder to which the order must be sent instead.
func (m *Machine) holderResult(pool string) DrainResult {
	if l := m.leases[pool]; l != nil && l.row.Record.Holder != "" && l.row.Record.Holder != m.cfg.ID {
		return DrainResult{Holder: l.row.Record.Holder}
	}
	return DrainResult{Refusal: "no controller holds the lease of pool " + pool}
}

// invalidOrderReason returns why the order is invalid, or "" if it is valid.
func (m *Machine) invalidOrderReason(order DrainOrder, o structs.Owner) string {
	if order.ToPool == o.Pool {
		return fmt.Sprintf("VM %s is in pool %s already", o.VM, o.Pool)
	}
	if order.ToPool != "" && m.objects.Pool(order.ToPool) == nil {
		return "no pool " + order.ToPool
	}
	return ""
}

// answerOrder answers the order for which the change was made, if any.
func (m *Machine) answerOrder(e Committed) {
	if e.Change.Order == 0 {
		return
	}
	r := DrainResult{Refusal: "the change was not made; send the order again"}
	if e.Done {
		r = DrainResult{Accepted: true, Epoch: e.Change.Owners[0].Epoch, Pool: e.Change.Owners[0].Pool}
	}
	m.emit(Reply{ID: e.Change.Order, Result: r})
}
