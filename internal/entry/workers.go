// The workers: the list that the scheduler gets, and the workers that have announced that they are leaving.

package entry

import (
	"sync"
	"time"

	"github.com/lavendercleat/lavendercleat/config"
	"github.com/lavendercleat/lavendercleat/internal/backend"
	"github.com/lavendercleat/lavendercleat/internal/clock"
	"github.com/lavendercleat/lavendercleat/member"
	"github.com/lavendercleat/lavendercleat/sched"
	"github.com/lavendercleat/lavendercleat/schema"
	"github.com/lavendercleat/lavendercleat/slot"
)

// workers computes the scheduler's list of workers from the VM list, the configuration and the members.
type workers struct {
	clock      *clock.Clock
	state      *state
	members    *membership
	dispatcher *dispatcher
	client     *backend.Client
	domain     string

	// updateMu prevents an older list from replacing a newer one. Otherwise a worker that was just marked as
	// leaving would get tasks again.
	updateMu sync.Mutex

	mu      sync.Mutex
	leaving *member.LeavingWorkers
}

// update computes the list again and passes it to the scheduler.
func (w *workers) update() {
	w.updateMu.Lock()
	defer w.updateMu.Unlock()
	index := w.state.config()
	vms := w.state.vmList()
	w.applyVMList(vms)
	list := make([]sched.Worker, 0, len(vms.GetVms()))
	keep := make(map[string]bool, len(vms.GetVms()))
	for _, vm := range vms.GetVms() {
		if vm.GetRole() == schema.VmRole_VM_ROLE_WORKER {
			keep[vm.GetAddress()] = true
			list = append(list, w.schedWorker(vm, index))
		}
	}
	w.client.CloseUnlisted(keep)
	w.dispatcher.step(func(now time.Duration) { w.dispatcher.sched.SetWorkers(now, list) })
}

// schedWorker converts a VM to a worker of the scheduler.
func (w *workers) schedWorker(vm *schema.Vm, index *config.Index) sched.Worker {
	s := sched.Worker{
		Address:   vm.GetAddress(),
		Domain:    vm.GetDomain(),
		Total:     int(vm.GetSlots()),
		Resources: resourcesFromProto(vm.GetResources()),
		Drained:   vm.GetLeaving() || w.isLeaving(vm.GetAddress()) || index.Drained(vm),
	}
	if vm.GetDomain() == w.domain {
		s.Slots = slot.Share(vm.GetAddress(), int(vm.GetSlots()), w.members.members(), w.members.self.Address)
	}
	return s
}

func resourcesFromProto(r *schema.Resources) sched.Resources {
	return sched.Resources{CPUs: r.GetCpus(), MemoryMB: r.GetMemoryMb(), Accelerators: r.GetAccelerators()}
}

// applyVMList applies a VM list to the notices of leaving workers. The list may end notices.
func (w *workers) applyVMList(l *schema.VmList) {
	listed := make(map[string]bool, len(l.GetVms()))
	for _, vm := range l.GetVms() {
		if vm.GetRole() == schema.VmRole_VM_ROLE_WORKER {
			listed[vm.GetAddress()] = vm.GetLeaving()
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving.ApplyVMList(w.clock.Now(), l.GetVersion(), listed)
}

func (w *workers) isLeaving(address string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leaving.Has(address)
}

// leavingList returns the workers that have announced that they are leaving.
func (w *workers) leavingList() []*schema.LeavingWorker {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []*schema.LeavingWorker
	w.leaving.All(w.clock.Now(), func(worker string, age time.Duration) {
		list = append(list, &schema.LeavingWorker{Address: worker, AgeMs: age.Milliseconds()})
	})
	return list
}

// markLeaving records a worker that has announced to this entry that it is leaving.
func (w *workers) markLeaving(worker string) {
	w.handleLeaving([]*schema.LeavingWorker{{Address: worker}})
}

// handleLeaving records workers that have announced that they are leaving.
func (w *workers) handleLeaving(list []*schema.LeavingWorker) {
	w.mu.Lock()
	changed := false
	for _, l := range list {
		if w.leaving.Add(w.clock.Now(), l.GetAddress(), time.Duration(l.GetAgeMs())*time.Millisecond) {
			changed = true
		}
	}
	w.mu.Unlock()
	if changed {
		w.update()
	}
}
