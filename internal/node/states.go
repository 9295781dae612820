package node

import (
	"time"

	"github.com/lavendercleat/lavendercleat/ledger"
)

// maxStates bounds the states that are remembered; others are read from the store.
const maxStates = 20000

// knownState is a job's state as its owner told it.
type knownState struct {
	state ledger.State
	owner uint64
	at    time.Duration
}

// states remembers what owners have told of kept jobs, for a time and up to a number.
type states struct {
	byJob map[string]knownState
	// order lists what was told, oldest first, repetitions too.
	order []reportedState
}

type reportedState struct {
	job string
	at  time.Duration
}

func newStates() states { return states{byJob: make(map[string]knownState)} }

// put takes a state and forgets those that are older than keep, and the oldest beyond maxStates.
func (s *states) put(job string, k knownState, keep time.Duration) {
	s.byJob[job] = k
	s.order = append(s.order, reportedState{job, k.at})
	for len(s.order) > maxStates || len(s.order) > 0 && k.at-s.order[0].at > keep {
		if old := s.order[0]; s.byJob[old.job].at == old.at {
			delete(s.byJob, old.job)
		}
		s.order = s.order[1:]
	}
}

// get returns the state of a job; 0: nothing is known.
func (s *states) get(job string) ledger.State { return s.byJob[job].state }

func (s *states) remove(job string) { delete(s.byJob, job) }

// forgetOwner drops what a daemon told of jobs that had not ended: it can't tell their
// ends any more. The store is asked then.
func (s *states) forgetOwner(owner uint64) {
	for job, k := range s.byJob {
		if k.owner == owner && !k.state.Final() {
			delete(s.byJob, job)
		}
	}
}
