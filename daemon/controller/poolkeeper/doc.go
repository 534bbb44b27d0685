// Package poolkeeper is the duty that controls the pools. It holds the leases
// of some pools and reconciles each of them: it adopts VMs that no pool owns,
// moves VMs between pools, carries out stop plans and records unplanned
// absences.
//
// A Machine decides: Step takes an event and returns actions, without I/O and
// without a clock. Duty carries out the actions in a bounded pool and feeds
// the results back as events. Every change is one conditional transaction
// (Change), so two holders of a lease that overlap do no harm:
//
//   - a VM has one row, and each change of it expects the version that was
//     read;
//   - a change that lowers the number of available VMs of a pool also changes
//     the pool's absence row, and absence rows are read before ownership rows.
//     So if the absence row still has its version, the ownership rows were
//     read late enough to show every VM that has left the pool.
package poolkeeper
