package load

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/schema"
)

// exampleFleet is a fleet in which about one machine in ten has many cores and a fast link.
func exampleFleet(sizes ...int32) schema.FleetProfile {
	return schema.FleetProfile{
		Daemons: sizes, WorkersPerDaemon: 10.6, Domains: 5, RenewalMs: 1500, EntryBytes: 430, StoreMbps: 1000,
		Machines: []schema.FleetMachine{{Share: 0.106, Cores: 1.6, Mbps: 1000}, {Share: 0.894, Cores: 0.192, Mbps: 25}},
	}
}

// The cost of a daemon's peers grows with the size of the fleet, or all daemons read the store at their
// start. The sum of what all daemons read grows with the square of the fleet's size.
func TestDaemonAndStoreLoadAreBoundedInLargeFleet(t *testing.T) {
	r := EstimateFleet(exampleFleet(50, 236, 1000))
	assert.Equal(t, r[1].Cells, int32(16))
	for _, one := range r {
		assert.Assert(t, one.Heartbeats.Most <= 200, "%d daemons: %.0f heartbeats a second", one.Daemons, one.Heartbeats.Most)
		assert.Assert(t, one.CellDaemons.Middle <= 28)
		assert.Equal(t, one.Readers, 2*one.Cells)
		assert.Assert(t, one.Roots <= 10, "%d daemons: %d roots", one.Daemons, one.Roots)
		assert.Assert(t, one.StoreLinkShare < 0.3, "%d daemons: the store's link is %.2f full", one.Daemons, one.StoreLinkShare)
	}
	assert.Assert(t, r[1].StartAllS > 1.5, "all would take %.2f s", r[1].StartAllS)
	assert.Assert(t, r[1].StartStoreS < 0.5, "roots take %.2f s", r[1].StartStoreS)
}

// The error for an invalid fleet profile does not name the field and the accepted values.
func TestInvalidFleetProfileErrorNamesField(t *testing.T) {
	file := filepath.Join(t.TempDir(), "fleet.json")
	good := `{"daemons":[20],"workers_per_daemon":4,"domains":2,"machines":[{"share":1,"cores":1,"mbps":100}],"renewal_ms":1500,"entry_bytes":400,"store_mbps":1000}`
	assert.NilError(t, os.WriteFile(file, []byte(good), 0o600))
	p, err := ReadFleetProfile(file)
	assert.NilError(t, err)
	var out strings.Builder
	assert.NilError(t, WriteFleetTable(&out, EstimateFleet(p)))
	assert.Assert(t, strings.Contains(out.String(), "20       80"), out.String())
	for change, want := range map[[2]string]string{
		{"[20]", "[]"}:                 "daemons is empty",
		{"[20]", "[0]"}:                "accepted are 1 to 4000",
		{`"domains":2`, `"domains":0`}: "domains is 0",
		{`"share":1`, `"share":0.5`}:   "add up to 0.500",
		{`"cores":1`, `"cores":-1`}:    "above 0",
		{`"daemons"`, `"deamons"`}:     `is not a fleet's profile: json: unknown field "deamons"`,
		{"1500", "0"}:                  "renewal_ms",
		{`"workers_per_daemon":4`, `"workers_per_daemon":4000`}: "workers in all",
	} {
		assert.NilError(t, os.WriteFile(file, []byte(strings.Replace(good, change[0], change[1], 1)), 0o600))
		_, err := ReadFleetProfile(file)
		assert.ErrorContains(t, err, want)
	}
}
