package member

import "time"

// Liveness says what is certain about a process that can't be asked.
type Liveness uint8

const (
	// Unknown: it may live, and may still tell an ending.
	Unknown Liveness = iota
	// Replaced: another process runs at its address, so it is dead.
	Replaced
	// Expired: by its own clock it no longer starts the job of the identifier asked
	// about, nor tells an answer of it.
	Expired
)

const (
	// maxPast bounds the memory of processes that were heard once.
	maxHeartbeatRecords = 4096
	// clockDrift is the part by which two monotonic clocks may differ in rate; real
	// ones differ by less than a thousandth of that.
	clockDrift = 100
	// clockMargin is added for delays between a clock's reading and its use.
	clockMargin = 5 * time.Second
)

// lastHeard is what was last heard of a process.
type heartbeatRecord struct {
	receivedAt         time.Duration
	clock              time.Duration
	identifierLifetime time.Duration
	// replaced is the time at which another process was heard at the address; 0 until
	// then.
	replacedAt time.Duration
}

// sight notes a heartbeat's clock, and that the address's former process is replaced.
func (v *View) recordHeartbeat(now time.Duration, p *Peer) {
	process := Process{Address: p.Address, Incarnation: p.Incarnation}
	s, known := v.heartbeats[process]
	if !known || s.replacedAt != 0 {
		v.markReplaced(now, process)
	}
	if !known {
		v.heartbeatOrder = append(v.heartbeatOrder, process)
		if len(v.heartbeatOrder) > maxHeartbeatRecords {
			delete(v.heartbeats, v.heartbeatOrder[0])
			v.heartbeatOrder = v.heartbeatOrder[1:]
		}
	}
	// It lives, also when a late heartbeat of a former process made it look replaced.
	s.receivedAt, s.clock, s.replacedAt = now, p.Clock, 0
	// A longer deadline that was allowed before is still to be waited for.
	s.identifierLifetime = max(s.identifierLifetime, p.IdentifierLifetime)
	v.heartbeats[process] = s
}

// replace marks the former processes at the address of a new one.
func (v *View) markReplaced(now time.Duration, by Process) {
	for p, s := range v.heartbeats {
		if p.Address == by.Address && p != by && s.replacedAt == 0 {
			s.replacedAt = max(now, 1)
			v.heartbeats[p] = s
		}
	}
}

// Liveness tells what is certain about the owner of an identifier minted at a time on the
// owner's clock.
//
// Replaced is told only the longer timeout after the new process was heard: if the old one
// stopped gracefully, every live peer that knows its successor has said so by then.
// Expired assumes only that the two monotonic clocks run at the same rate within one
// part in a hundred.
func (v *View) Liveness(now time.Duration, owner Process, minted time.Duration) Liveness {
	s, ok := v.heartbeats[owner]
	if !ok {
		return Unknown
	}
	if s.replacedAt != 0 && now > s.replacedAt+max(v.config.Timeout, v.config.RemoteTimeout) {
		return Replaced
	}
	passed := now - s.receivedAt
	minClock := s.clock + passed - passed/clockDrift - clockMargin
	if s.identifierLifetime > 0 && minClock > minted+s.identifierLifetime {
		return Expired
	}
	return Unknown
}
