package ledger_test

import (
	"fmt"
	"time"

	"github.com/lavendercleat/lavendercleat/coordinator"
	"github.com/lavendercleat/lavendercleat/ledger"
)

// A job is added, written under the daemon's ownership record, and accepted when the store confirms it.
func Example() {
	l := ledger.New(ledger.Config{Owner: 1, OwnershipID: "daemon-1", Retention: 2 * time.Minute})
	l.SetOwnershipRevision(7) // the ownership record was written at revision 7

	l.Add(0, ledger.Record{Route: "quotes", Job: coordinator.Job{ID: "a", Durable: true, Steps: []coordinator.Step{{Count: 1}}}})
	batch, _ := l.NextBatch(0)
	fmt.Println(len(batch.Change.Require), "conditions,", len(batch.Change.Set), "entries")

	events, fenced := l.HandleResult(0, batch, ledger.Result{Revision: 8})
	fmt.Println(events[0].Kind, fenced, l.Accepted("a"))
	// Output:
	// 2 conditions, 2 entries
	// stored false true
}
