package entry

import (
	"sync"
	"time"

	"github.com/lavendercleat/lavendercleat/config"
	"github.com/lavendercleat/lavendercleat/internal/backend"
	"github.com/lavendercleat/lavendercleat/sched"
	"github.com/lavendercleat/lavendercleat/schema"
	"github.com/lavendercleat/lavendercleat/slot"
)

// workers derives the scheduler's list of workers from the VM list, the
// configuration and the members.
type workers struct {
	state      *state
	members    *membership
	dispatcher *dispatcher
	client     *backend.Client
	domain     string

	mu sync.Mutex
	// leaving holds the workers that said that they are leaving; the VM list may
	// still show them for a while.
	leaving map[string]bool
}

// update recomputes the list.
func (w *workers) update() {
	index := w.state.config()
	vms := w.state.vmList().GetVms()
	list := make([]sched.Worker, 0, len(vms))
	keep := make(map[string]bool, len(vms))
	for _, vm := range vms {
		if vm.GetRole() == schema.VmRole_VM_ROLE_WORKER {
			keep[vm.GetAddress()] = true
			list = append(list, w.worker(vm, index))
		}
	}
	w.prune(keep)
	w.client.Forget(keep)
	w.dispatcher.step(func(now time.Duration) { w.dispatcher.sched.SetWorkers(now, list) })
}

// worker returns a VM as the scheduler sees it.
func (w *workers) worker(vm *schema.Vm, index *config.Index) sched.Worker {
	s := sched.Worker{
		Address:   vm.GetAddress(),
		Domain:    vm.GetDomain(),
		Total:     int(vm.GetSlots()),
		Resources: resources(vm.GetResources()),
		Drained:   vm.GetLeaving() || w.isLeaving(vm.GetAddress()) || index.Drained(vm),
	}
	if vm.GetDomain() == w.domain {
		s.Slots = slot.Share(vm.GetAddress(), int(vm.GetSlots()), w.members.members(), w.members.self.Address)
	}
	return s
}

func resources(r *schema.Resources) sched.Resources {
	return sched.Resources{CPUs: r.GetCpus(), MemoryMB: r.GetMemoryMb(), Accelerators: r.GetAccelerators()}
}

// prune forgets the leaving workers that are no longer listed.
func (w *workers) prune(keep map[string]bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for a := range w.leaving {
		if !keep[a] {
			delete(w.leaving, a)
		}
	}
}

func (w *workers) isLeaving(address string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leaving[address]
}

// leavingList returns the workers that said that they are leaving.
func (w *workers) leavingList() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []string
	for a := range w.leaving {
		list = append(list, a)
	}
	return list
}

// markLeaving notes workers that said, to this entry or a peer, that they are leaving.
func (w *workers) markLeaving(addresses ...string) {
	w.mu.Lock()
	news := false
	for _, a := range addresses {
		if !w.leaving[a] {
			w.leaving[a] = true
			news = true
		}
	}
	w.mu.Unlock()
	if news {
		w.update()
	}
}
