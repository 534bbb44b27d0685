// Package poolkeeper is the duty that manages the pools. It acquires pool
// leases and reconciles each pool whose lease it holds: it adopts VMs that no
// pool owns, moves VMs between pools, carries out stop plans and records
// unplanned absences.
//
// Machine is a state machine that makes the decisions: Step takes an event and
// returns actions; it does no I/O and reads no clock. Duty executes the actions
// in a bounded goroutine pool and feeds the results back as events. Every change
// is one conditional transaction (Change), so it is safe if two processes act
// as holder of the same lease for a while:
//
//   - a VM has one ownership row, and each change of it expects the version
//     that was read;
//   - a change that lowers the number of available VMs of a pool also changes
//     the pool's absence row, and absence rows are read before ownership rows.
//     If the absence row still has the version that was read, the ownership
//     rows read after it include every VM that has left the pool.
package poolkeeper
