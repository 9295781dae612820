package registry

import (
	"cmp"
	"slices"
)

// Retirement is the operator's word on one failure domain: whether its workers are to get
// no new runs. The store's revision orders all words on a domain.
type Retirement struct {
	Domain   string
	Revision int64
	// Retired: no new runs; false: the domain was reinstated at the revision.
	Retired bool
}

// Retirements is what is known of retired failure domains, by the store or by peers that
// have read it. Ends are remembered too: a peer that reads the store later than others
// would bring a retirement back that has ended, and workers that were taken back would
// stand idle; or keep a domain in use that was retired, and its workers would be given
// tasks while they are emptied. There are as few words as failure domains. The zero value
// is ready for use; it is not safe for concurrent use.
type Retirements struct{ latest map[string]Retirement }

// Apply takes a word, of a peer or of a watch, and reports whether it changes what is known:
// an older word than the last one on the domain doesn't.
func (r *Retirements) Apply(w Retirement) bool {
	if known, ok := r.latest[w.Domain]; ok && w.Revision <= known.Revision {
		return false
	}
	if r.latest == nil {
		r.latest = make(map[string]Retirement)
	}
	r.latest[w.Domain] = w
	return true
}

// ApplySnapshot takes all retirements that the store shows at a revision, and returns the words by
// which that changes what is known. A domain that is not shown has been reinstated by then,
// unless a later word on it is known.
func (r *Retirements) ApplySnapshot(shown []Retirement, revision int64) (changed []Retirement) {
	for _, w := range r.List() {
		if w.Retired && !slices.ContainsFunc(shown, func(s Retirement) bool { return s.Domain == w.Domain }) {
			shown = append(shown, Retirement{Domain: w.Domain, Revision: revision})
		}
	}
	for _, w := range shown {
		if r.Apply(w) {
			changed = append(changed, w)
		}
	}
	return changed
}

// Retired reports whether a failure domain is retired.
func (r *Retirements) Retired(domain string) bool { return r.latest[domain].Retired }

// List returns the last word on each domain, in the order of their names.
func (r *Retirements) List() []Retirement {
	list := make([]Retirement, 0, len(r.latest))
	for _, w := range r.latest {
		list = append(list, w)
	}
	slices.SortFunc(list, func(a, b Retirement) int { return cmp.Compare(a.Domain, b.Domain) })
	return list
}
