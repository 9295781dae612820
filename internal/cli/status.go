// The status command.

package cli

import (
	"net/http"

	"github.com/lavendercleat/lavendercleat/schema"
)

// statusCommand prints the state of all entries, as reported by the entry that it asks.
type statusCommand struct {
	operatorFlags
}

// Run requests the state and prints it as a table or as JSON.
func (c *statusCommand) Run(s *streams) error {
	var f schema.FleetStatus
	if err := c.call(http.MethodGet, "/v1/status", nil, &f); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(s.out, f)
	}
	return printStatus(s.out, f)
}
