package coordinator

import "time"

// retiredRetryAfter is when a caller may come back that was refused because all failure
// domains of its service are retired: that lasts until the operator takes one back, so
// sooner calls would be refused too. It is the longest time that callers are told.
const retiredRetryAfter = maxRetryAfter

// SetRetiredDomains tells which failure domains' workers are to get no new runs. Executors say so too
// with their next heartbeats; until then they would be offered tasks that they give back.
func (c *Coordinator) SetRetiredDomains(domains map[string]bool) {
	c.rooms.retired = domains
	for _, h := range c.rooms.holders {
		h.retire(domains)
	}
}

// retire closes the rooms of retired failure domains. Those that were taken back open with
// the executor's next word.
func (h *ExecutorState) retire(domains map[string]bool) {
	for i := range h.Workers {
		if r := &h.Workers[i]; domains[r.Domain] {
			r.Open, r.Usable = false, false
		}
	}
	h.counted = counted{} // those were counted
}

// allRetired reports whether executors have workers of the service, and all of them are of
// retired failure domains.
func (r *rooms) allRetired(now time.Duration, service string) bool {
	known := false
	for _, h := range r.holders {
		for i := range h.Workers {
			room := &h.Workers[i]
			if room.Service != service || !h.offerable(now) {
				continue
			}
			if !r.retired[room.Domain] {
				return false
			}
			known = true
		}
	}
	return known
}
