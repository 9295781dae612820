package platform

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lavendercleat/lavendercleat/schema"
)

// vmList is the list of VMs. What is set becomes visible after the lag.
type vmList struct {
	mu      sync.Mutex
	visible *schema.VmList
	lag     time.Duration
	changed chan struct{}
}

func newVMList() *vmList {
	return &vmList{visible: &schema.VmList{Version: 1}, changed: make(chan struct{})}
}

// set replaces the list; readers see it after the lag.
func (l *vmList) set(vms []*schema.Vm) {
	l.mu.Lock()
	lag := l.lag
	l.mu.Unlock()
	if lag == 0 {
		l.publish(vms)
		return
	}
	time.AfterFunc(lag, func() { l.publish(vms) })
}

func (l *vmList) publish(vms []*schema.Vm) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replace(l.visible.GetVersion()+1, vms)
}

// restore shows a list at any version, as a platform does that comes back from an
// old copy.
func (l *vmList) restore(version uint64, vms []*schema.Vm) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replace(version, vms)
}

// replace shows a list and wakes the watches. Called under the lock.
func (l *vmList) replace(version uint64, vms []*schema.Vm) {
	l.visible = &schema.VmList{Version: version, Vms: vms}
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *vmList) setLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// get returns the encoded list, its version and the channel closed at the next change.
func (l *vmList) get() (b []byte, version uint64, changed <-chan struct{}, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b, err = proto.Marshal(l.visible)
	return b, l.visible.GetVersion(), l.changed, err
}
