// Package executor runs tasks on the workers that one daemon holds.
//
// A worker obeys the holder with the highest fencing token. The holder alone starts and
// stops runs there, extends their lease and reads their ends. The executor is a state
// machine without I/O: its caller feeds it offers, answers of workers and the time, and
// carries out the Calls and passes on the Reports that Drain returns. It tells of the pace at
// which its workers run, leaves out slow ones where a task would be late there, and holds room
// for a moment for tasks that wait at other executors.
//
// The invariant: a run is reported as ended only on proof. Proof is its end in the
// worker's list; a list made after the start was answered, or after a stop was, that
// shows it neither running nor ended; an answer by another incarnation of the worker; or
// the passing of every lease that an order may have granted. A refused connection is none:
// a partition may refuse while the worker runs on.
package executor
