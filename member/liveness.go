// What is certain about a process that cannot be queried.

package member

import "time"

// Liveness is what is certain about a process that cannot be queried.
type Liveness uint8

const (
	// Unknown: the process may be alive, and may still report the end of the job.
	Unknown Liveness = iota
	// Replaced: another process runs at the address, so this process is dead.
	Replaced
	// Expired: by its own clock the process no longer starts the job of the given identifier, and no
	// longer reports an answer of it.
	Expired
)

const (
	// maxHeartbeatRecords limits the memory for processes that have sent a heartbeat once.
	maxHeartbeatRecords = 4096
	// clockDrift limits the difference in rate of two monotonic clocks to one part in clockDrift. Real
	// clocks differ by less than a thousandth of that.
	clockDrift = 100
	// clockMargin allows for delays between the reading of a clock and its use.
	clockMargin = 5 * time.Second
)

// heartbeatRecord holds the state of a process at its last heartbeat.
type heartbeatRecord struct {
	receivedAt         time.Duration
	clock              time.Duration
	identifierLifetime time.Duration
	// replacedAt is when another process sent a heartbeat from the same address; 0 until then.
	replacedAt time.Duration
}

// recordHeartbeat records a heartbeat's clock, and marks former processes at the address as replaced.
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
	// The process is alive, even if a late heartbeat of a former process marked it as replaced.
	s.receivedAt, s.clock, s.replacedAt = now, p.Clock, 0
	// An earlier, longer lifetime still applies to identifiers minted under it.
	s.identifierLifetime = max(s.identifierLifetime, p.IdentifierLifetime)
	v.heartbeats[process] = s
}

// markReplaced marks the former processes at the address of a new one as replaced.
func (v *View) markReplaced(now time.Duration, by Process) {
	for p, s := range v.heartbeats {
		if p.Address == by.Address && p != by && s.replacedAt == 0 {
			s.replacedAt = max(now, 1)
			v.heartbeats[p] = s
		}
	}
}

// Liveness returns what is certain about the owner of an identifier that was minted at a time on the
// owner's clock.
//
// It returns Replaced only when the longer of the two time-outs has passed since the new process's
// first heartbeat. If the old process stopped gracefully, every live peer that knows its successor has
// reported the successor by then. Expired assumes only that the rates of the two monotonic clocks differ by
// at most one part in a hundred.
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
