package quota

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
)

// equalFraction is the fraction of a limit that the entries divide equally regardless of demand,
// so that an entry without demand so far can start tasks at once.
const equalFraction = 0.2

// Entry is a live entry in the view of the entry that computes its share.
type Entry struct {
	Address netip.AddrPort
	Domain  string
	// Demand is the demand of the entry's callers, in the unit of the limit.
	Demand float64
}

// View is what an entry knows about all entries.
type View struct {
	Self netip.AddrPort
	// Domains are the failure domains that should have entries, sorted by name.
	Domains []string
	// Live are the live entries, including the entry itself.
	Live []Entry
}

// RateShare returns this entry's share of a rate limit. It is at most the whole limit.
func RateShare(limit float64, v View) float64 {
	liveDomains := 0
	for _, live := range v.domainLiveness() {
		if live {
			liveDomains++
		}
	}
	if liveDomains == 0 {
		return 0
	}
	return limit * float64(liveDomains) / float64(len(v.domainLiveness())) * v.weight(v.selfIndex())
}

// TaskShare returns this entry's share of a limit on a number of tasks. Shares are
// integers; the tasks left over after rounding down go to the largest remainders. So the
// shares of equal views add up to the limit, or to the part of the live domains while a
// failure domain has no live entry.
func TaskShare(limit int, v View) int {
	live := v.domainLiveness()
	available := 0
	for at, isLive := range live {
		if isLive {
			available += equalPart(limit, len(live), at)
		}
	}
	if v.selfIndex() < 0 {
		return 0
	}
	type allotment struct {
		whole     int
		remainder float64
		at        int
	}
	allotments := make([]allotment, len(v.Live))
	left := available
	for at := range v.Live {
		exact := float64(available) * v.weight(at)
		whole := int(math.Floor(exact))
		allotments[at] = allotment{whole: whole, remainder: exact - float64(whole), at: at}
		left -= whole
	}
	slices.SortFunc(allotments, func(a, b allotment) int {
		if c := cmp.Compare(b.remainder, a.remainder); c != 0 {
			return c
		}
		return v.Live[a.at].Address.Compare(v.Live[b.at].Address)
	})
	for rank, c := range allotments {
		if v.Live[c.at].Address == v.Self {
			return c.whole + equalPart(left, len(allotments), rank)
		}
	}
	return 0
}

// equalPart returns the part with index at if total is divided into n integer parts that
// differ by at most one.
func equalPart(total, n, at int) int {
	part := total / n
	if at < total%n {
		part++
	}
	return part
}

// domainLiveness returns for each failure domain whether it has a live entry. Domains of
// live entries that are missing in Domains come last.
func (v View) domainLiveness() []bool {
	names := slices.Clone(v.Domains)
	for _, e := range v.Live {
		if !slices.Contains(names, e.Domain) {
			names = append(names, e.Domain)
		}
	}
	live := make([]bool, len(names))
	for _, e := range v.Live {
		live[slices.Index(names, e.Domain)] = true
	}
	return live
}

// selfIndex returns the index of this entry in Live, or -1.
func (v View) selfIndex() int {
	return slices.IndexFunc(v.Live, func(e Entry) bool { return e.Address == v.Self })
}

// weight returns the fraction that a live entry gets of the limit shared by all live
// entries.
func (v View) weight(at int) float64 {
	if at < 0 {
		return 0
	}
	n := float64(len(v.Live))
	sum := 0.0
	for _, e := range v.Live {
		sum += e.Demand
	}
	if sum <= 0 {
		return 1 / n
	}
	return equalFraction/n + (1-equalFraction)*v.Live[at].Demand/sum
}

// Demand smooths an entry's own demand over periods. Reported is the value to report to
// the peers. Delayed is the value of one period earlier, which the entry uses to compute
// its own share.
type Demand struct {
	reported float64
	delayed  float64
}

// newestWeight is the weight of the newest period in the smoothed demand.
const newestWeight = 0.5

// Observe ends a period with the demand seen in it. A period must last at least as long
// as the longest time between two heartbeats.
func (d *Demand) Observe(demand float64) {
	d.delayed = d.reported
	d.reported += newestWeight * (demand - d.reported)
}

// Reported returns the demand to report to the peers.
func (d *Demand) Reported() float64 { return d.reported }

// Delayed returns the demand that the entry has reported to its peers for one period.
func (d *Demand) Delayed() float64 { return d.delayed }
