package structs

import "time"

// FleetView is a process's view of the VMs and their owners. It is an immutable
// snapshot: duties share it by pointer and never modify it.
type FleetView struct {
	VMs     []VM    // sorted by ID
	Owners  []Owner // sorted by VM
	ReadAt  time.Time
	Version uint64 // increases with each view that this process reads
}

// MemberView is an immutable snapshot of the live processes, sorted by ID.
type MemberView struct {
	Self    Member
	Live    []Member // includes Self
	Version uint64
}

// ByRole returns the live members with the given role, sorted by ID.
func (v *MemberView) ByRole(role Role) []Member {
	var out []Member
	for _, m := range v.Live {
		if m.Role == role {
			out = append(out, m)
		}
	}
	return out
}

// Rank returns the position of this process among the live members with its
// role, and the number of these members. It returns 0, 1 if the view does not
// contain this process.
func (v *MemberView) Rank() (rank, n int) {
	peers := v.ByRole(v.Self.Role)
	for i, m := range peers {
		if m.ID == v.Self.ID {
			return i, len(peers)
		}
	}
	return 0, 1
}

// ServiceDemand is the load of one service at one gateway over an interval.
type ServiceDemand struct {
	Service  string
	Arrived  int64
	Served   int64
	Refused  int64
	Queued   int
	InFlight int
	Interval time.Duration
}
