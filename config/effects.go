// Effects of a change of the configuration on workers, kinds and teams.

package config

import (
	"fmt"
	"slices"
	"strings"

	"github.com/lavendercleat/lavendercleat/schema"
)

// FleetLoad is the load of the fleet at the time of a plan, as reported by the entries that answered.
type FleetLoad struct {
	// Running and Waiting are numbers of tasks.
	Running int
	Waiting int
	// RunningByWorker is the number of running tasks by worker address.
	RunningByWorker map[string]int
	// TeamRates is the number of task starts per second that each team requests.
	TeamRates map[string]int
	// Unreachable lists the entries that did not answer.
	Unreachable []string
}

// ComputeEffects returns the consequences of a change of the document.
func ComputeEffects(before, after *schema.Config, vms []*schema.Vm, load FleetLoad) schema.Effects {
	b, a := NewIndex(before), NewIndex(after)
	effects := schema.Effects{
		Domains:             domainEffects(b, a, vms),
		Running:             int64(load.Running),
		Waiting:             int64(load.Waiting),
		KindsWithoutWorkers: kindsWithoutWorkers(b, a, vms),
	}
	for _, vm := range vms {
		if isWorker(vm) && a.Drained(vm) && !b.Drained(vm) {
			effects.RunningThere += int64(load.RunningByWorker[vm.GetAddress()])
		}
	}
	effects.SqueezedTeams = squeezedTeams(before, after, effects.Domains, load)
	effects.Warnings = warnings(before, after, vms, load)
	return effects
}

func isWorker(vm *schema.Vm) bool { return vm.GetRole() == schema.VmRole_VM_ROLE_WORKER }

// domainEffects compares the failure domains of the VM list before and after the change.
func domainEffects(before, after *Index, vms []*schema.Vm) []schema.DomainEffect {
	byName := make(map[string]*schema.DomainEffect)
	for _, vm := range vms {
		effect := byName[vm.GetDomain()]
		if effect == nil {
			effect = &schema.DomainEffect{Domain: vm.GetDomain()}
			byName[vm.GetDomain()] = effect
		}
		if vm.GetLeaving() {
			continue
		}
		countVM(vm, before, &effect.WorkersBefore, &effect.SlotsBefore, &effect.EntriesBefore)
		countVM(vm, after, &effect.WorkersAfter, &effect.SlotsAfter, &effect.EntriesAfter)
	}
	list := make([]schema.DomainEffect, 0, len(byName))
	for _, effect := range byName {
		list = append(list, *effect)
	}
	slices.SortFunc(list, func(a, b schema.DomainEffect) int { return strings.Compare(a.Domain, b.Domain) })
	return list
}

// countVM adds a VM to the counts of its failure domain, if it gets new work under the indexed document.
func countVM(vm *schema.Vm, index *Index, workers, slots, entries *int64) {
	switch vm.GetRole() {
	case schema.VmRole_VM_ROLE_WORKER:
		if !index.Drained(vm) {
			*workers++
			*slots += int64(vm.GetSlots())
		}
	case schema.VmRole_VM_ROLE_ENTRY:
		if !index.Retired(vm.GetDomain()) {
			*entries++
		}
	}
}

// kindsWithoutWorkers returns the kinds that no worker may run after the change. It omits kinds that
// existed before the change and that no worker could run then either.
func kindsWithoutWorkers(before, after *Index, vms []*schema.Vm) []string {
	var kinds []string
	for name, kind := range after.doc.GetKinds() {
		old := before.Kind(name)
		if !hasWorker(after, kind, vms) && (old == nil || hasWorker(before, old, vms)) {
			kinds = append(kinds, name)
		}
	}
	slices.Sort(kinds)
	return kinds
}

// hasWorker reports whether any worker may get tasks of a kind.
func hasWorker(index *Index, kind *schema.Kind, vms []*schema.Vm) bool {
	return slices.ContainsFunc(vms, func(vm *schema.Vm) bool {
		return isWorker(vm) && !vm.GetLeaving() && !index.Drained(vm) && mayRunIn(kind, vm.GetDomain()) && fits(kind.GetNeeds(), vm.GetResources())
	})
}

func mayRunIn(kind *schema.Kind, domain string) bool {
	return len(kind.GetDomains()) == 0 || slices.Contains(kind.GetDomains(), domain)
}

func fits(needs, has *schema.Resources) bool {
	return needs.GetCpus() <= has.GetCpus() && needs.GetMemoryMb() <= has.GetMemoryMb() && needs.GetAccelerators() <= has.GetAccelerators()
}

// squeezedTeams returns the teams that get less after the change than they use now, with the reason.
func squeezedTeams(before, after *schema.Config, domains []schema.DomainEffect, load FleetLoad) []schema.TeamEffect {
	slots := int64(0)
	for _, d := range domains {
		slots += d.SlotsAfter
	}
	tooFewSlots := int64(load.Running+load.Waiting) > slots
	var list []schema.TeamEffect
	for name, rate := range load.TeamRates {
		old, team := before.GetTeams()[name], after.GetTeams()[name]
		quota := int64(team.GetStartsPerSecond())
		effect := schema.TeamEffect{
			Team: name, StartsPerSecondNow: int64(rate),
			QuotaBefore: int64(old.GetStartsPerSecond()), QuotaAfter: quota,
		}
		switch {
		case rate == 0:
			continue
		case team == nil:
			effect.Why = "the team is removed"
		case quota > 0 && quota < int64(rate):
			effect.Why = "uses more than the quota"
		case tooFewSlots:
			effect.Why = fmt.Sprintf("%d tasks run or wait, %d slots are left", load.Running+load.Waiting, slots)
		default:
			continue
		}
		list = append(list, effect)
	}
	slices.SortFunc(list, func(a, b schema.TeamEffect) int { return strings.Compare(a.Team, b.Team) })
	return list
}

// warnings lists valid changes that may be mistakes.
func warnings(before, after *schema.Config, vms []*schema.Vm, load FleetLoad) []string {
	workers, racks, domains := listedNames(vms)
	var list []string
	warnUnlisted := func(noun string, before, after []string, known map[string]bool) {
		for _, name := range after {
			if !known[name] && !slices.Contains(before, name) {
				list = append(list, fmt.Sprintf("%s %s is not in the VM list", noun, name))
			}
		}
	}
	warnUnlisted("worker", before.GetDrainedWorkers(), after.GetDrainedWorkers(), workers)
	warnUnlisted("rack", before.GetDrainedRacks(), after.GetDrainedRacks(), racks)
	warnUnlisted("failure domain", before.GetRetiredDomains(), after.GetRetiredDomains(), domains)
	kinds := make(map[string]bool)
	for name, k := range after.GetKinds() {
		kinds[name] = true
		warnUnlisted("kind "+name+": failure domain", before.GetKinds()[name].GetDomains(), k.GetDomains(), domains)
	}
	for _, name := range after.GetHeldKinds() {
		if !kinds[name] {
			list = append(list, fmt.Sprintf("held kind %s is not in the configuration", name))
		}
	}
	if len(vms) == 0 {
		list = append(list, "the queried entry has no VM list yet; workers and slots are unknown")
	}
	if len(load.Unreachable) > 0 {
		list = append(list, "work in flight is unknown at entries that did not answer: "+strings.Join(load.Unreachable, ", "))
	}
	slices.Sort(list)
	return list
}

// listedNames returns the workers, racks and failure domains in the VM list.
func listedNames(vms []*schema.Vm) (workers, racks, domains map[string]bool) {
	workers, racks, domains = make(map[string]bool), make(map[string]bool), make(map[string]bool)
	for _, vm := range vms {
		domains[vm.GetDomain()] = true
		if isWorker(vm) {
			workers[vm.GetAddress()] = true
			racks[RackName(vm)] = true
		}
	}
	return workers, racks, domains
}
