// Failure domains that the operator has retired.

package registry

import (
	"cmp"
	"slices"
)

// Retirement is the operator's decision whether the workers of a failure domain get no new runs. The
// store's revision orders all decisions about a domain.
type Retirement struct {
	Domain   string
	Revision int64
	// Retired: the domain gets no new runs. False: the domain was reinstated at the revision.
	Retired bool
}

// Retirements holds the known retirements of failure domains, as read from the store or reported by peers
// that have read it. It keeps reinstatements too. Otherwise a peer that reads the store later than others
// could restore a retirement that has ended, and the workers of a reinstated domain would be idle. A peer
// could also keep a retired domain in use, and its workers would get tasks while they are drained. The
// number of records is at most the number of failure domains. The zero value is ready for use. It is not
// safe for concurrent use.
type Retirements struct{ latest map[string]Retirement }

// Apply records a decision that a peer or a watch has reported. It returns true if the decision is later
// than the last known one about the domain.
func (r *Retirements) Apply(decision Retirement) bool {
	if known, ok := r.latest[decision.Domain]; ok && decision.Revision <= known.Revision {
		return false
	}
	if r.latest == nil {
		r.latest = make(map[string]Retirement)
	}
	r.latest[decision.Domain] = decision
	return true
}

// ApplySnapshot records all retirements in the store at a revision, and returns the decisions that
// changed. A domain that is not shown has been reinstated by that revision, unless a later decision about
// it is known.
func (r *Retirements) ApplySnapshot(shown []Retirement, revision int64) (changed []Retirement) {
	for _, decision := range r.List() {
		if decision.Retired && !slices.ContainsFunc(shown, func(s Retirement) bool { return s.Domain == decision.Domain }) {
			shown = append(shown, Retirement{Domain: decision.Domain, Revision: revision})
		}
	}
	for _, decision := range shown {
		if r.Apply(decision) {
			changed = append(changed, decision)
		}
	}
	return changed
}

// Retired reports whether a failure domain is retired.
func (r *Retirements) Retired(domain string) bool { return r.latest[domain].Retired }

// List returns the last decision about each domain, ordered by name.
func (r *Retirements) List() []Retirement {
	list := make([]Retirement, 0, len(r.latest))
	for _, decision := range r.latest {
		list = append(list, decision)
	}
	slices.SortFunc(list, func(a, b Retirement) int { return cmp.Compare(a.Domain, b.Domain) })
	return list
}
