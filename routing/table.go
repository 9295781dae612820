// Package routing finds the queue of a caller's request in the operator's configuration.
package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Route is one queue of the configuration.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Service names the pool of workers.
	Service string
	// Timeout bounds a request from its arrival; 0 for none.
	Timeout time.Duration
	// TargetLatency and Stretch give when an answer is on time: Stretch times the work, and TargetLatency more.
	TargetLatency time.Duration
	Stretch       float64
	// Priority 0 is the most urgent.
	Priority int
	// MaxAttempts is how often a task may fail.
	MaxAttempts int
}

// Table is one version of the configuration. It is not changed once made.
type Table struct {
	Version uint64
	// MaxBody and MaxHeader bound a request in bytes.
	MaxBody, MaxHeader int64
	byHost             map[string][]Route
}

// NewTable returns a table of the given routes.
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

// Match returns the route with the longest prefix that the path begins with, and the
// rest of the path.
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
