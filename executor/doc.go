// Package executor places tasks on the workers that one daemon holds, and runs them there.
//
// A worker obeys the holder with the highest fencing token. Only the holder starts and stops runs
// on the worker, extends their lease and reads their completions. The executor is a state machine
// without I/O: its caller feeds it offered tasks, answers of workers and the time, carries out the
// Calls that Drain returns, and delivers the Reports. The executor also measures the slowdown of
// its workers, avoids a slow worker where a task would be late, and briefly holds capacity for
// tasks that wait at other executors.
//
// The invariant: the executor reports a run as ended only on proof. Each of these is proof:
//   - the run's completion record in the worker's list;
//   - a list that shows the run neither running nor completed, and that the worker made after it
//     answered the start, or after it answered a stop;
//   - an answer by another incarnation of the worker;
//   - the expiry of every lease that an order may have granted.
//
// A refused connection proves nothing: a partition may refuse it while the worker runs on.
package executor
