package executor

// SetDeparting sets which workers are being handed to daemons that this daemon's coordinators have no
// link to. The workers get no new runs. Their present runs go on until the next holder takes them.
func (e *Executor) SetDeparting(departing func(id string) bool) {
	for _, w := range e.order {
		w.departing = departing(w.info.ID)
	}
}
