package cli

import (
	"net/http"

	"github.com/lavendercleat/lavendercleat/schema"
)

// statusCommand shows the state of all entries as one of them sees it.
type statusCommand struct {
	operatorFlags
}

// Run prints the state.
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
