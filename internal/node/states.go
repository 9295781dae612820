// A cache of the states of durable jobs, as their owners report them.

package node

import (
	"slices"
	"time"

	"github.com/lavendercleat/lavendercleat/ledger"
	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/schema"
)

// maxStates bounds the number of cached states; others are read from the store.
const maxStates = 20000

// knownState is a job's state as its owner reported it.
type knownState struct {
	state      ledger.State
	owner      uint64
	reportedAt time.Duration
}

// states caches the states that owners have reported of durable jobs, for a time and up to a
// number.
type states struct {
	byJob map[string]knownState
	// order lists the reports, oldest first, including repeated ones.
	order []reportedState
}

type reportedState struct {
	job        string
	reportedAt time.Duration
}

func newStates() states { return states{byJob: make(map[string]knownState)} }

// maxAnnounced is the largest number of jobs in one announcement.
const maxAnnounced = 500

// announceJobsTo reports the states of this daemon's jobs to a peer that has just been linked: it did not hear the
// earlier reports, and has to know that there are durable jobs, to take them over when this daemon is
// lost. The caller holds the lock.
func (n *Node) announceJobsTo(p member.Process) {
	for _, states := range n.ownedStates() {
		n.mesh.Send(p, &schema.Frame{Body: &schema.Frame_JobStates{JobStates: &schema.JobStates{States: states}}})
	}
}

// ownedStates returns the states of this daemon's jobs, at most maxAnnounced in one list.
func (n *Node) ownedStates() (lists [][]*schema.JobState) {
	for ids := range slices.Chunk(n.durable.ledger.Owned(), maxAnnounced) {
		var states []*schema.JobState
		for _, id := range ids {
			states = append(states, &schema.JobState{Job: id, State: uint32(n.localState(id))})
		}
		lists = append(lists, states)
	}
	return lists
}

// put caches a state. It removes the states that are older than keep, and the oldest beyond
// maxStates. A final state stays: reports of different daemons may arrive in another order than they
// were made.
func (s *states) put(job string, k knownState, keep time.Duration) {
	if s.get(job).Final() && !k.state.Final() {
		return
	}
	s.byJob[job] = k
	s.order = append(s.order, reportedState{job, k.reportedAt})
	for len(s.order) > maxStates || len(s.order) > 0 && k.reportedAt-s.order[0].reportedAt > keep {
		if old := s.order[0]; s.byJob[old.job].reportedAt == old.reportedAt {
			delete(s.byJob, old.job)
		}
		s.order = s.order[1:]
	}
}

// get returns the state of a job; 0: not known.
func (s *states) get(job string) ledger.State { return s.byJob[job].state }

func (s *states) remove(job string) { delete(s.byJob, job) }

// forgetOwner removes the states that a daemon reported of jobs that had not ended: it can't report
// their ends any more. The daemon then reads them from the store.
func (s *states) forgetOwner(owner uint64) {
	for job, k := range s.byJob {
		if k.owner == owner && !k.state.Final() {
			delete(s.byJob, job)
		}
	}
}
