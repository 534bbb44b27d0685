// Package machine makes the decisions of the jobs duty: which job starts
// where, when leases are renewed and what each job's row says next. Package
// placement chooses the workers.
//
// The row of a job is authoritative. The machine keeps, for each job of a pool
// whose lease it holds, the row as last read or written and the row that it
// wants. It writes the difference under the condition that the row has not
// changed. A worker is called only for a run that the row names, with the
// fencing token of the row. A holder that was paused or that overlaps with
// another one therefore fails at the row, and its calls fail at the worker.
//
// Tokens are the pool's lease token in the upper 32 bits and a counter below,
// so those of a later holder are always greater.
package machine
