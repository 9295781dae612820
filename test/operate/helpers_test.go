package operate

import (
	"os"

	"github.com/lavendercleat/lavendercleat/config"
	"github.com/lavendercleat/lavendercleat/schema"
	"github.com/lavendercleat/lavendercleat/test/cluster"
)

// secondToken is the token of a second operator.
const secondToken = "second-operator-token"

// full tells whether the counts of the measurements are asked for instead of the
// smaller ones of every run.
func full() bool { return os.Getenv("LAVENDERCLEAT_FULL") != "" }

// secondOperator is the flag that makes the second operator known to an entry.
func secondOperator() []string {
	return []string{"--operators=second:" + config.HashToken(secondToken)}
}

// entryOf returns what a status says of one entry.
func entryOf(f schema.FleetStatus, e *cluster.Entry) schema.EntryStatus {
	for _, s := range f.Entries {
		if s.Address == e.Relay.Address().String() {
			return s
		}
	}
	return schema.EntryStatus{}
}

// limits is an intent that changes one number.
func limits(maxTasks string) schema.Intent {
	return schema.Intent{Action: string(config.SetLimits), Settings: []string{"max_tasks=" + maxTasks}}
}

// applications counts how often a plan stands in a history.
func applications(h schema.History, plan string) int {
	n := 0
	for _, p := range h.Plans {
		if p.Plan == plan {
			n++
		}
	}
	return n
}
