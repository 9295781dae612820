package executor

// SetDeparting tells which workers are being left to daemons that this one's coordinators are not
// linked with. They get no new runs; what runs there goes on until the next holder takes them.
func (e *Executor) SetDeparting(departing func(id string) bool) {
	for _, w := range e.order {
		w.departing = departing(w.info.ID)
	}
}
