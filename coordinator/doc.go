// Package coordinator runs jobs: it splits each job into tasks, places the tasks on executors,
// and answers the caller exactly once.
//
// The daemon that receives a job coordinates it. The coordinator admits or refuses the job by the
// free capacity and by the share of it that the job's queue may have. It offers the tasks to
// executors, its own and those of peers, and moves queued tasks to executors with free capacity.
// It starts a task again only when the earlier run is proved over. It is a state machine without
// I/O: Drain returns the messages to executors and the answers that the embedder has to deliver.
package coordinator
