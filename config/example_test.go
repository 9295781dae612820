package config_test

import (
	"fmt"

	"github.com/lavendercleat/lavendercleat/config"
	"github.com/lavendercleat/lavendercleat/schema"
)

// An operator lowers a limit. The plan shows the change. A confirmation of the same plan after that is
// refused, because the document has a new revision.
func Example() {
	doc := &schema.Config{Revision: 3, Limits: &schema.Limits{MaxTasks: 160, MaxBodyBytes: 1 << 20, MaxDeadlineMs: 60_000}}
	intent := schema.Intent{Action: string(config.SetLimits), Settings: []string{"max_tasks=40"}}
	update, _ := config.NewUpdate(doc, intent)
	for _, c := range config.Diff(update.Before, update.After) {
		fmt.Printf("%s: %s to %s, revision %d\n", c.Field, c.Before, c.After, update.After.GetRevision())
	}
	refusal := config.CheckBaseRevision(update.After, doc.GetRevision())
	fmt.Println(refusal.Reason)
	// Output:
	// limits.max_tasks: 160 to 40, revision 4
	// base_moved
}
