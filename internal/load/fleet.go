// Estimates of what the daemons of a large fleet hold, read and send.

package load

import (
	"fmt"
	"io"
	"math"
	"net/netip"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lavendercleat/lavendercleat/executor"
	"github.com/lavendercleat/lavendercleat/fleet"
	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/registry"
	"github.com/lavendercleat/lavendercleat/schema"
)

// Limits of a fleet profile.
const (
	maxFleetDaemons = 4000
	maxFleetWorkers = 40_000
)

// ReadFleetProfile reads a fleet's profile from a file. Its errors name the field and the accepted
// values.
func ReadFleetProfile(file string) (schema.FleetProfile, error) {
	var p schema.FleetProfile
	if err := readStrictJSON(file, "a fleet's profile", &p); err != nil {
		return p, err
	}
	return p, errors.Wrapf(checkFleetProfile(p), "%s", file)
}

// checkFleetProfile returns an error that names the invalid field and the accepted values.
func checkFleetProfile(p schema.FleetProfile) error {
	if len(p.Daemons) == 0 {
		return errors.New("daemons is empty")
	}
	for _, n := range p.Daemons {
		if n < 1 || n > maxFleetDaemons {
			return errors.Newf("daemons has %d; accepted are 1 to %d", n, maxFleetDaemons)
		}
		if w := float64(n) * p.WorkersPerDaemon; !(w >= 0 && w <= maxFleetWorkers) {
			return errors.Newf("workers_per_daemon is %v; accepted are 0 and more, up to %d workers in all", p.WorkersPerDaemon, maxFleetWorkers)
		}
	}
	if p.Domains < 1 || p.Domains > 100 {
		return errors.Newf("domains is %d; accepted are 1 to 100", p.Domains)
	}
	if p.RenewalMs < 1 || p.EntryBytes < 1 || !(p.StoreMbps > 0) {
		return errors.Newf("renewal_ms, entry_bytes and store_mbps are %d, %d and %v; accepted are numbers above 0", p.RenewalMs, p.EntryBytes, p.StoreMbps)
	}
	sum := 0.0
	for i, m := range p.Machines {
		if !(m.Share > 0 && m.Cores > 0 && m.Mbps > 0) {
			return errors.Newf("machines: share, cores and mbps of entry %d are %v, %v and %v; accepted are numbers above 0", i, m.Share, m.Cores, m.Mbps)
		}
		sum += m.Share
	}
	if math.Abs(sum-1) > 0.001 {
		return errors.Newf("machines: the shares add up to %.3f; accepted is 1", sum)
	}
	return nil
}

// modelDaemon is a daemon of the modelled fleet with the bandwidth of its link.
type modelDaemon struct {
	fleet.DaemonInfo
	mbps float64
}

// EstimateFleet computes what the daemons of a fleet hold, read and send at each size of the profile.
// It calls the code with which daemons choose cells, readers, holders and the heartbeat interval.
func EstimateFleet(p schema.FleetProfile) (reports []schema.FleetReport) {
	for _, n := range p.Daemons {
		reports = append(reports, estimateSize(p, int(n)))
	}
	return reports
}

// estimateSize computes the report for a fleet of n daemons.
func estimateSize(p schema.FleetProfile, n int) schema.FleetReport {
	daemons, infos := modelDaemons(p, n)
	workers := make([]executor.WorkerInfo, int(float64(n)*p.WorkersPerDaemon))
	for i := range workers {
		workers[i] = executor.WorkerInfo{ID: fmt.Sprintf("worker-%d", i), Domain: fmt.Sprint(i % int(p.Domains))}
	}
	cells := fleet.Cells{}.ResizedFor(n)
	r := schema.FleetReport{Daemons: int32(n), Workers: int32(len(workers)), Cells: int32(cells.Count())}
	var cellSizes, cellWorkers, workersHeld, heartbeatRates []float64
	var readers []registry.Relay
	links := make(map[netip.AddrPort]float64)
	for cell := range cells.Count() {
		var members []modelDaemon
		for _, d := range daemons {
			if cells.CellOf(d.Address) == cell {
				members = append(members, d)
			}
		}
		assigned := cells.Workers(cell, workers, infos)
		cellSizes, cellWorkers = append(cellSizes, float64(len(members))), append(cellWorkers, float64(len(assigned)))
		workersHeld = append(workersHeld, workersPerHolder(assigned, members)...)
		if peers := len(members) - 1; peers > 0 {
			rate := float64(peers) * float64(time.Second) / float64(fleet.HeartbeatInterval(peers))
			heartbeatRates = append(heartbeatRates, slices.Repeat([]float64{rate}, len(members))...)
		}
		for _, m := range members {
			links[m.Address] = m.mbps
		}
		readers = append(readers, selectReaders(members, cells.Count() > 1)...)
	}
	roots := readers
	if cells.Count() > 1 {
		roots = registry.SelectRootRelays(readers)
	}
	narrowestMbps := math.Inf(1)
	for _, root := range roots {
		narrowestMbps = min(narrowestMbps, links[root.Address])
	}
	r.Readers, r.Roots = int32(len(readers)), int32(len(roots))
	r.CellDaemons, r.CellWorkers, r.Held, r.Heartbeats = rangeOfValues(cellSizes), rangeOfValues(cellWorkers), rangeOfValues(workersHeld), rangeOfValues(heartbeatRates)
	r.Holders = int32(len(workersHeld))
	estimateReads(&r, p, narrowestMbps)
	return r
}

// estimateReads computes the bandwidth and the time that daemons need to read the workers' entries.
func estimateReads(r *schema.FleetReport, p schema.FleetProfile, narrowestMbps float64) {
	const kilo, mega, bits = 1e3, 1e6, 8
	entryBytes := float64(r.Workers) * float64(p.EntryBytes)
	bytesPerSecond := entryBytes * kilo / float64(p.RenewalMs)
	r.RootKbytes = bytesPerSecond / kilo
	r.NarrowLinkShare = bytesPerSecond * bits / mega / narrowestMbps
	r.StoreLinkShare = bytesPerSecond * bits / mega * float64(r.Roots) / p.StoreMbps
	startMegabits := entryBytes * bits / mega
	r.StartRootS = startMegabits / narrowestMbps
	r.StartStoreS = startMegabits * float64(r.Roots) / p.StoreMbps
	r.StartReadersS = startMegabits * float64(r.Readers) / p.StoreMbps
	r.StartAllS = startMegabits * float64(r.Daemons) / p.StoreMbps
}

// modelDaemons returns n daemons with all kinds of machines in all failure domains.
func modelDaemons(p schema.FleetProfile, n int) (daemons []modelDaemon, infos []fleet.DaemonInfo) {
	domains, machine, shareBefore := int(p.Domains), 0, 0.0
	for i := range n {
		// Each kind of machine is a consecutive range, so that every domain gets its part of it.
		for machine < len(p.Machines)-1 && float64(i) >= (shareBefore+p.Machines[machine].Share)*float64(n) {
			shareBefore += p.Machines[machine].Share
			machine++
		}
		d := modelDaemon{mbps: p.Machines[machine].Mbps, DaemonInfo: fleet.DaemonInfo{
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i % domains), byte(i / domains / 250), byte(1 + i/domains%250)}), 8000),
			Domain:  fmt.Sprint(i % domains), Weight: p.Machines[machine].Cores,
		}}
		daemons, infos = append(daemons, d), append(infos, d.DaemonInfo)
	}
	return daemons, infos
}

// workersPerHolder returns the number of workers of each daemon of a cell that holds any.
func workersPerHolder(workers []executor.WorkerInfo, members []modelDaemon) (held []float64) {
	var fleetMembers []fleet.Member
	for _, m := range members {
		fleetMembers = append(fleetMembers, fleet.Member{Process: member.Process{Address: m.Address}, Domain: m.Domain, Weight: m.Weight})
	}
	counts := make(map[netip.AddrPort]int)
	for _, holder := range fleet.Assign(workers, fleetMembers) {
		counts[holder.Address]++
	}
	for _, n := range counts {
		held = append(held, float64(n))
	}
	return held
}

// selectReaders returns the daemons of a cell that read entries for all of its daemons. In a small
// fleet every daemon reads for itself.
func selectReaders(members []modelDaemon, manyCells bool) []registry.Relay {
	var candidates []registry.Relay
	for _, m := range members {
		candidates = append(candidates, registry.Relay{Process: member.Process{Address: m.Address}, Domain: m.Domain, Weight: m.Weight})
	}
	if !registry.UsesRelays(len(members)-1, manyCells) {
		return candidates
	}
	chosen := registry.SelectRelays(candidates)
	return slices.DeleteFunc(candidates, func(r registry.Relay) bool { return !slices.Contains(chosen, r.Process) })
}

// rangeOfValues returns the smallest value, the median and the largest value.
func rangeOfValues(list []float64) schema.FleetRange {
	if len(list) == 0 {
		return schema.FleetRange{}
	}
	slices.Sort(list)
	return schema.FleetRange{Least: list[0], Middle: list[len(list)/2], Most: list[len(list)-1]}
}

// WriteFleetTable writes the reports as a table with one line for each size.
func WriteFleetTable(w io.Writer, reports []schema.FleetReport) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "daemons\tworkers\tcells\tcell's daemons\tcell's workers\tholders\theld\theartbeats/s\treaders\troots\troot KB/s\tof its link\tof store's link\tstart: store s\troot s\treaders s\tall s")
	for _, r := range reports {
		fmt.Fprintf(t, "%d\t%d\t%d\t%s\t%s\t%d\t%s\t%s\t%d\t%d\t%.0f\t%.0f%%\t%.0f%%\t%.2f\t%.2f\t%.2f\t%.2f\n",
			r.Daemons, r.Workers, r.Cells, formatRange(r.CellDaemons), formatRange(r.CellWorkers), r.Holders, formatRange(r.Held), formatRange(r.Heartbeats),
			r.Readers, r.Roots, r.RootKbytes, 100*r.NarrowLinkShare, 100*r.StoreLinkShare, r.StartStoreS, r.StartRootS, r.StartReadersS, r.StartAllS)
	}
	return t.Flush()
}

// formatRange formats a range as least/median/most.
func formatRange(r schema.FleetRange) string {
	return fmt.Sprintf("%.0f/%.0f/%.0f", r.Least, r.Middle, r.Most)
}
