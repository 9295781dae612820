package coordinator

import "time"

// retiredRetryAfter is the time after which a caller may retry that was refused because all failure
// domains of its service are retired. That lasts until the operator reinstates one, so earlier
// retries would be refused too. It is the longest Retry-After that callers get.
const retiredRetryAfter = maxRetryAfter

// SetRetiredDomains sets the failure domains whose workers get no new runs. Executors report that too
// with their next heartbeats; until then they would be offered tasks only to give them back.
func (c *Coordinator) SetRetiredDomains(domains map[string]bool) {
	c.executors.retired = domains
	for _, h := range c.executors.list {
		h.closeRetired(domains)
	}
}

// closeRetired closes the workers of retired failure domains. Workers of reinstated domains open with
// the executor's next report.
func (h *ExecutorState) closeRetired(domains map[string]bool) {
	for i := range h.Workers {
		if w := &h.Workers[i]; domains[w.Domain] {
			w.Open, w.Usable = false, false
		}
	}
	h.fitCount = fitCount{} // it counted the workers that are closed now
}

// allRetired reports whether executors have workers of the service, and all of these workers are in
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
