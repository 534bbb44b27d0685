// Package machine is the state machine of the jobs duty. It decides when jobs
// start, when task leases are renewed and what is written to each job's row.
// Package placement chooses the workers. The package does no I/O.
//
// The row of a job is authoritative. For each job of a pool whose lease this
// process holds, the machine keeps the row as last read or written and the
// desired row. If they differ, it writes the desired row on the condition that
// the stored version has not changed. A worker is called only for the run that
// the row names, with the row's fencing token. A lease holder that was paused
// or that overlaps with another one therefore has its writes rejected by the
// version check and its calls rejected by the worker.
//
// Every holder may start the run that the row names, so a holder that gives the
// run up first stops it at its worker. The row leaves the run only when the worker
// has said how it ended or refuses to start it.
//
// A fencing token has the token of the pool's lease in its upper 32 bits and a
// counter in the lower 32 bits, so a later holder's tokens are always greater.
package machine
