// Package operate contains the integration tests of the operator API and of the changes that operators
// make: plans and confirmations, drains, held kinds, quotas and the propagation of the configuration.
package operate

import (
	"os"

	"github.com/lavendercleat/lavendercleat/config"
	"github.com/lavendercleat/lavendercleat/schema"
	"github.com/lavendercleat/lavendercleat/test/cluster"
)

// secondToken is the token of a second operator.
const secondToken = "second-operator-token"

// fullLength reports whether the tests run with the counts and durations of the measurements. Without
// it they use smaller ones.
func fullLength() bool { return os.Getenv("LAVENDERCLEAT_FULL") != "" }

// secondOperatorFlags returns the flag by which an entry accepts the second operator.
func secondOperatorFlags() []string {
	return []string{"--operators=second:" + config.HashToken(secondToken)}
}

// statusOf returns the status of one entry, or the zero value if the fleet's status does not contain it.
func statusOf(f schema.FleetStatus, e *cluster.Entry) schema.EntryStatus {
	for _, s := range f.Entries {
		if s.Address == e.Proxy.Address().String() {
			return s
		}
	}
	return schema.EntryStatus{}
}

// setMaxTasks returns an intent that changes the limit max_tasks.
func setMaxTasks(maxTasks string) schema.Intent {
	return schema.Intent{Action: string(config.SetLimits), Settings: []string{"max_tasks=" + maxTasks}}
}

// timesApplied returns how often a history contains a plan.
func timesApplied(h schema.History, plan string) int {
	n := 0
	for _, p := range h.Plans {
		if p.Plan == plan {
			n++
		}
	}
	return n
}
