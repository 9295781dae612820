package entry

import (
	"sync"

	"github.com/lavendercleat/lavendercleat/config"
	"github.com/lavendercleat/lavendercleat/schema"
)

// state is the configuration and the VM list in force. Both only move forward.
type state struct {
	mu       sync.RWMutex
	index    *config.Index
	vms      *schema.VmList
	onChange []func()
}

func newState() *state {
	return &state{index: config.NewIndex(&schema.Config{}), vms: &schema.VmList{}}
}

// subscribe calls fn after each change.
func (s *state) subscribe(fn func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onChange = append(s.onChange, fn)
}

// config returns the configuration in force.
func (s *state) config() *config.Index {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.index
}

// vmList returns the newest VM list seen.
func (s *state) vmList() *schema.VmList {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.vms
}

// offerConfig puts a document in force if it is newer. A lower revision is never
// taken: a store or a peer that comes back older would undo what was accepted.
func (s *state) updateConfig(c *schema.Config) bool {
	s.mu.Lock()
	newer := c.GetRevision() > s.index.Revision()
	if newer {
		s.index = config.NewIndex(c)
	}
	s.mu.Unlock()
	if newer {
		s.notifySubscribers()
	}
	return newer
}

// offerVMs takes a VM list if it is newer.
func (s *state) updateVMs(l *schema.VmList) bool {
	s.mu.Lock()
	newer := l.GetVersion() > s.vms.GetVersion()
	if newer {
		s.vms = l
	}
	s.mu.Unlock()
	if newer {
		s.notifySubscribers()
	}
	return newer
}

func (s *state) notifySubscribers() {
	s.mu.RLock()
	subscribers := s.onChange
	s.mu.RUnlock()
	for _, fn := range subscribers {
		fn()
	}
}

// lacks says what is missing before work can be taken; empty when nothing is.
func (s *state) missing() string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	switch {
	case s.index.Revision() == 0:
		return "no configuration yet, neither from the platform nor from a peer"
	case s.vms.GetVersion() == 0:
		return "no VM list yet, neither from the platform nor from a peer"
	}
	return ""
}
