package verdict_test

import (
	"fmt"
	"io"
	"time"

	"github.com/lavendercleat/lavendercleat/verdict"
)

// A failed step returns a failure. The caller retries the step elsewhere only if the step certainly did
// not run.
func Example() {
	refused := verdict.New(verdict.NotRun, verdict.WorkerRefused, "worker %s refused the task", "10.0.0.1:80").WithRetryAfter(time.Second)
	lost := verdict.Wrap(io.ErrUnexpectedEOF, verdict.MayHaveRun, verdict.ConnectionLost, "the connection broke")
	for _, f := range []*verdict.Failure{refused, lost} {
		fmt.Println(f.Verdict, f.ResubmitSafety(false), f)
	}
	// Nothing is known about other errors, so the work may have run.
	fmt.Println(verdict.FromError(io.EOF).Verdict)
	// Output:
	// not-run safe worker_refused (not-run): worker 10.0.0.1:80 refused the task
	// may-have-run unsafe connection_lost (may-have-run): the connection broke: unexpected EOF
	// may-have-run
}
