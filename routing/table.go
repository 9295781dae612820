// Package routing maps a caller's request to a queue of the operator's configuration.
package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Route maps requests to one queue of the configuration.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Service is the pool of workers that run the queue's tasks.
	Service string
	// Timeout limits the time of a request from its arrival; 0 for no limit.
	Timeout time.Duration
	// An answer is on time within Stretch times the duration of the work plus TargetLatency.
	TargetLatency time.Duration
	Stretch       float64
	// Priority 0 is the most urgent.
	Priority int
	// MaxAttempts is the number of failures after which a task is not tried again.
	MaxAttempts int
}

// Table is one version of the configuration. It is immutable.
type Table struct {
	Version uint64
	// MaxBody and MaxHeader are the limits of a request in bytes.
	MaxBody, MaxHeader int64
	byHost             map[string][]Route
}

// NewTable returns a table of routes.
func NewTable(version uint64, maxBody, maxHeader int64, routes []Route) *Table {
	t := &Table{Version: version, MaxBody: maxBody, MaxHeader: maxHeader, byHost: make(map[string][]Route)}
	for _, r := range routes {
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, list := range t.byHost {
		slices.SortFunc(list, func(a, b Route) int {
			return cmp.Or(cmp.Compare(len(b.Prefix), len(a.Prefix)), cmp.Compare(a.Prefix, b.Prefix))
		})
	}
	return t
}

// Match returns the route of the host with the longest prefix of the path, and the rest of the path. It
// ignores a port in host.
func (t *Table) Match(host, path string) (r *Route, rest string, ok bool) {
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	for i := range t.byHost[host] {
		r = &t.byHost[host][i]
		if rest, ok = strings.CutPrefix(path, r.Prefix); ok {
			return r, rest, true
		}
	}
	return nil, "", false
}
