// The VM list of the stand-in platform, with delayed changes.

package platform

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lavendercleat/lavendercleat/schema"
)

// vmList is the list of VMs. Changes become visible after the lag.
type vmList struct {
	mu      sync.Mutex
	visible *schema.VmList
	lag     time.Duration
	changed chan struct{}
}

func newVMList() *vmList {
	return &vmList{visible: &schema.VmList{Version: 1}, changed: make(chan struct{})}
}

// set replaces the list. Readers see the new list after the lag.
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

// publish makes a list visible with the next version.
func (l *vmList) publish(vms []*schema.Vm) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replace(l.visible.GetVersion()+1, vms)
}

// restore makes a list visible with any version, like a platform that is restored from an old copy.
func (l *vmList) restore(version uint64, vms []*schema.Vm) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replace(version, vms)
}

// replace makes a list visible and notifies all watches. The caller holds the lock.
func (l *vmList) replace(version uint64, vms []*schema.Vm) {
	l.visible = &schema.VmList{Version: version, Vms: vms}
	close(l.changed)
	l.changed = make(chan struct{})
}

// setLag sets the time after which later changes become visible.
func (l *vmList) setLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// get returns the encoded list, its version and a channel that is closed at the next change.
func (l *vmList) get() (b []byte, version uint64, changed <-chan struct{}, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b, err = proto.Marshal(l.visible)
	return b, l.visible.GetVersion(), l.changed, err
}
