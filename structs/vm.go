package structs

import "time"

// VMState is the state of a VM in the platform's VM list.
type VMState string

// VM states.
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
	Slots        int // maximum concurrent requests over all gateways
	Connections  int // maximum open connections over all gateways
}

// OwnerState is the state of a VM within the pool that owns it.
type OwnerState string

// Ownership states.
const (
	OwnerActive    OwnerState = "active"
	OwnerDraining  OwnerState = "draining"
	OwnerRebooting OwnerState = "rebooting"
)

// Owner records which pool owns a VM. Each VM has one ownership row, so it
// cannot belong to two pools.
type Owner struct {
	VM      string
	Pool    string
	State   OwnerState
	Epoch   uint64 // increases with each change; fences confirmations of a drain
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

// Absence records one VM of a pool that is unavailable, or that is permitted to
// become unavailable.
type Absence struct {
	VM      string
	Domain  string // failure domain: data centre "/" rack
	Planned bool
	Plan    string // stop plan or move that the permission was given to
	Since   time.Time
}
