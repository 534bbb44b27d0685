package machine

// PoolStatus holds the counts of jobs and workers of a pool whose lease is
// held.
type PoolStatus struct {
	Pool        string
	Running     int
	Waiting     int
	Parked      int // jobs that fit a VM of the fleet but no worker of the pool
	Quarantined int // quarantined workers
}

// Status returns the counts of each pool whose lease is held, in order of name.
func (m *Machine) Status() []PoolStatus {
	var out []PoolStatus
	for _, name := range sortedKeys(m.pools) {
		p := m.pools[name]
		out = append(out, PoolStatus{
			Pool: name, Running: p.scheduler.Running(), Waiting: p.scheduler.Waiting(),
			Parked: len(p.parked), Quarantined: p.scheduler.Quarantined(),
		})
	}
	return out
}
