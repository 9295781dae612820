package coordinator

import "time"

// retiredRetryAfter is when a caller may come back that was refused because all failure
// domains of its service are retired: that lasts until the operator takes one back, so
// sooner calls would be refused too. It is the longest time that callers are told.
const retiredRetryAfter = maxRetryAfter

// SetRetiredDomains tells which failure domains' workers are to get no new runs. Executors say so too
// with their next heartbeats; until then they would be offered tasks that they give back.
func (c *Coordinator) SetRetiredDomains(domains map[string]bool) {
	c.executors.retired = domains
	for _, h := range c.executors.list {
		h.closeRetired(domains)
	}
}

// retire closes the rooms of retired failure domains. Those that were taken back open with
// the executor's next word.
func (h *ExecutorState) closeRetired(domains map[string]bool) {
	for i := range h.Workers {
		if w := &h.Workers[i]; domains[w.Domain] {
			w.Open, w.Usable = false, false
		}
	}
	h.fitCount = fitCount{} // those were counted
}

// allRetired reports whether executors have workers of the service, and all of them are of
// retired failure domains.
func (r *executors) allRetired(now time.Duration, service string) bool {
	known := false
	for _, h := range r.list {
		for i := range h.Workers {
			w := &h.Workers[i]
			if w.Service != service || !h.offerable(now) {
				continue
			}
			if !r.retired[w.Domain] {
				return false
			}
			known = true
		}
	}
	return known
}
