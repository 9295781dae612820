// The configuration and the VM list that are in force at this entry.

package entry

import (
	"sync"

	"github.com/lavendercleat/lavendercleat/config"
	"github.com/lavendercleat/lavendercleat/schema"
)

// state holds the configuration and the VM list in force. It replaces either only by a newer one.
type state struct {
	mu       sync.RWMutex
	index    *config.Index
	vms      *schema.VmList
	onChange []func()
}

func newState() *state {
	return &state{index: config.NewIndex(&schema.Config{}), vms: &schema.VmList{}}
}

// subscribe registers fn to be called after each change.
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

// vmList returns the newest VM list that this entry has received.
func (s *state) vmList() *schema.VmList {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.vms
}

// updateConfig puts a document in force if it is newer, and reports whether it was. It never accepts a lower
// revision: a platform or peer that was restored from an older copy would revert confirmed changes.
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

// updateVMs stores a VM list if it is newer, and reports whether it was.
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

// missing returns what this entry still needs before it can run jobs, or "" if nothing is missing.
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
