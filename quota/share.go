package quota

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
)

// floorPart is the part of a limit that is divided equally whatever the demand, so
// that an entry without demand so far can start at once.
const equalFraction = 0.2

// Entry is a live entry as the computing one sees it.
type Entry struct {
	Address netip.AddrPort
	Domain  string
	// Demand is what callers ask of the entry, in the unit of the limit.
	Demand float64
}

// View is what an entry knows of the others.
type View struct {
	Self netip.AddrPort
	// Domains are the failure domains that should have entries, sorted.
	Domains []string
	// Live are the entries that are alive, the computing one included.
	Live []Entry
}

// RateShare returns this entry's share of a limit, at most the whole limit.
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

// TaskShare returns this entry's share of a number of tasks. Shares are whole: what is
// left over goes to the largest remainders, so that the shares of equal views add up
// to the limit or, while a failure domain is not heard, to the others' part of it.
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

// divided returns the at-th of n nearly equal whole parts.
func equalPart(total, n, at int) int {
	part := total / n
	if at < total%n {
		part++
	}
	return part
}

// heard tells for each failure domain whether any of its entries is live; domains of
// live entries that are not listed come last.
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

// index returns the place of the computing entry among the live ones, or -1.
func (v View) selfIndex() int {
	return slices.IndexFunc(v.Live, func(e Entry) bool { return e.Address == v.Self })
}

// weight returns an entry's fraction of what the live entries share.
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

// Demand smooths an entry's own demand and holds it back by one period: Reported is for
// the peers, Delayed for the entry's own computation.
type Demand struct {
	reported float64
	delayed  float64
}

// smoothing is the weight of the newest period.
const newestWeight = 0.5

// Observe ends a period of at least the longest time between two heartbeats.
func (d *Demand) Observe(demand float64) {
	d.delayed = d.reported
	d.reported += newestWeight * (demand - d.reported)
}

// Reported returns what the peers are told.
func (d *Demand) Reported() float64 { return d.reported }

// Delayed returns what the peers have been told for a period.
func (d *Demand) Delayed() float64 { return d.delayed }
