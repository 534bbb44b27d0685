package machine

// PoolStatus counts the jobs of a pool whose lease is held.
type PoolStatus struct {
	Pool        string
	Running     int
	Waiting     int
	Parked      int // no worker of the pool can hold them, one of another pool can
	Quarantined int // workers
}

// Status returns the counts of each pool whose lease is held, by name.
func (m *Machine) Status() []PoolStatus {
	var out []PoolStatus
	for _, name := range sortedKeys(m.pools) {
		p := m.pools[name]
		out = append(out, PoolStatus{
			Pool: name, Running: p.sched.Running(), Waiting: p.sched.Waiting(),
			Parked: len(p.parked), Quarantined: p.sched.Quarantined(),
		})
	}
	return out
}
