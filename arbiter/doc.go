// Package arbiter decides which coordinator may start a job.
//
// A caller whose connection broke submits its job again, to any daemon. Tasks of the first submission
// may still be running: the first daemon may not have noticed the broken connection yet, may be about
// to stop the tasks, or may be unreachable. So a coordinator requests a job from its arbiters before it
// starts the job. The arbiters of a job are a few daemons, selected by a hash of the job's identifier.
// An Arbiter grants the job to the first coordinator that requests it, and names that holder to all
// others. The others query the holder (Client). While the holder runs the job, they wait for its
// answer. When the holder reports that nothing of the job runs any more, they may start the job.
//
// A holder that has become unreachable cannot be queried. Its job is granted to another coordinator
// only when executors have certainly noticed the loss too and have stopped the holder's runs.
//
// The package does no I/O and reads no clock. The caller carries out the actions that Drain returns.
package arbiter
