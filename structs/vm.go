package structs

import "time"

// VMState is a VM's state in the platform's list.
type VMState string

// States in the platform's VM list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is an entry of the platform's VM list.
type VM struct {
	ID           string
	Addr         string // IP:port of the endpoint on this VM
	DataCentre   string
	Rack         string
	State        VMState
	Cores        int
	MemoryMB     int
	Accelerators int
	Slots        int // concurrent requests over all gateways
	Connections  int // open connections over all gateways
}

// OwnerState is the state of a VM in its pool.
type OwnerState string

// Ownership states.
const (
	OwnerActive    OwnerState = "active"
	OwnerDraining  OwnerState = "draining"
	OwnerRebooting OwnerState = "rebooting"
)

// Owner records which pool a VM belongs to. There is one row for each VM, so
// a VM cannot belong to two pools.
type Owner struct {
	VM      string
	Pool    string
	State   OwnerState
	Epoch   uint64 // grows with each change; fences confirmations of a drain
	Next    string // pool that receives the VM after the drain; empty means none
	Reason  string
	Version uint64 `json:"-"` // version of the table row it was read from
}

// Role is the role of one of the project's own processes.
type Role string

// Process roles.
const (
	RoleGateway    Role = "gateway"
	RoleController Role = "controller"
)

// Member describes one of the project's own processes.
type Member struct {
	ID          string
	Role        Role
	Addr        string // IP:port of the drpc listener
	AdminAddr   string
	DataCentre  string
	Incarnation uint64
	Generation  uint64 // configuration generation in force
}

// Absence records one VM of a pool that is not available, or that holds a
// permit to become so.
type Absence struct {
	VM      string
	Domain  string // failure domain: data centre "/" rack
	Planned bool
	Plan    string // stop plan or move that holds the permit
	Since   time.Time
}
