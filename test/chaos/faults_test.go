// The injector of random faults.

package chaos

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	standinbackend "github.com/lavendercleat/lavendercleat/internal/standin/backend"
	standinplatform "github.com/lavendercleat/lavendercleat/internal/standin/platform"
	"github.com/lavendercleat/lavendercleat/test/cluster"
)

// injector injects random faults into a cluster and undoes them.
type injector struct {
	*cluster.Cluster
	t        *testing.T
	balancer *cluster.Balancer
	rng      *rand.Rand
	// inProgress counts the faults that are not undone yet.
	inProgress sync.WaitGroup

	mu sync.Mutex
	// faulty contains the targets that have a fault now: entries, workers, links and others.
	faulty map[any]bool
	// leftDomains contains the failure domains that a backend server has left for good. No second one
	// leaves such a domain, because the remaining servers must suffice.
	leftDomains map[string]bool
	// counts counts the injected faults by name.
	counts map[string]int
}

func newInjector(t *testing.T, c *cluster.Cluster, balancer *cluster.Balancer, rng *rand.Rand) *injector {
	return &injector{
		Cluster: c, t: t, balancer: balancer, rng: rng,
		faulty: make(map[any]bool), leftDomains: make(map[string]bool), counts: make(map[string]int),
	}
}

// fault is one fault of a target. inject causes it and returns the function that undoes it.
type fault struct {
	name     string
	target   any
	duration time.Duration
	inject   func() (undo func())
}

// injectRandom injects a random fault, unless its target has a fault already.
func (i *injector) injectRandom() {
	f := i.randomFault()
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.faulty[f.target] {
		return
	}
	i.faulty[f.target] = true
	i.counts[f.name]++
	i.inProgress.Go(func() {
		undo := f.inject()
		time.Sleep(f.duration)
		undo()
		i.mu.Lock()
		defer i.mu.Unlock()
		delete(i.faulty, f.target)
	})
}

// randomDuration returns a random duration between two numbers of milliseconds.
func (i *injector) randomDuration(low, high int) time.Duration {
	return time.Duration(low+i.rng.IntN(high-low)) * time.Millisecond
}

// randomFault returns a random fault. It draws all random numbers here, so that the seed determines the
// sequence of faults.
func (i *injector) randomFault() fault {
	e := i.Entries[i.rng.IntN(len(i.Entries))]
	other := i.Entries[i.rng.IntN(len(i.Entries))]
	w := i.Workers[i.rng.IntN(len(i.Workers))]
	length := i.randomDuration(500, 5000)
	all := []func() fault{
		func() fault { return i.kill(e, length/4) },
		func() fault { return i.freeze(e, i.randomDuration(1000, 6000)) },
		func() fault { return i.plannedStop(e) },
		func() fault { return i.partition(e.Domain, length) },
		func() fault { return i.cutPair(e, other, length) },
		func() fault { return i.cutOneWay(e, other, length) },
		func() fault { return i.silencePeers(e) },
		func() fault { return i.silencePlatform(e, length) },
		func() fault { return i.platformFaults(i.rng.IntN(3), length) },
		func() fault { return i.misbehave(w, i.rng.IntN(len(misbehaviours)), length) },
		func() fault { return i.workerLeaves(w) },
		func() fault { return i.breakWorkerLink(w, i.rng.IntN(2)) },
	}
	return all[i.rng.IntN(len(all))]()
}

// noUndo undoes faults that are permanent or already over.
func noUndo() {}

// kill kills an entry and restarts it after the given time.
func (i *injector) kill(e *cluster.Entry, down time.Duration) fault {
	return fault{"kill", e, down, func() func() {
		e.Kill()
		i.balancer.Remove(e)
		return func() { i.restart(e) }
	}}
}

// restart starts a new process for an entry. The balancer adds the entry at once, before it is ready, as a
// balancer may do that polls readiness rarely.
func (i *injector) restart(e *cluster.Entry) {
	i.StartEntry(e)
	i.balancer.Add(e)
}

func (i *injector) freeze(e *cluster.Entry, length time.Duration) fault {
	return fault{"freeze", e, length, func() func() {
		e.Freeze()
		return e.Thaw
	}}
}

// plannedStop stops an entry gracefully. The balancer removes the entry while it stops.
func (i *injector) plannedStop(e *cluster.Entry) fault {
	return fault{"planned stop", e, 0, func() func() {
		e.Terminate()
		i.balancer.Remove(e)
		if err := e.Wait(40 * time.Second); err != nil {
			i.t.Errorf("the entry failed to stop gracefully: %v", err)
		}
		return func() { i.restart(e) }
	}}
}

// partition separates the entries of a failure domain from the other entries and from the platform.
func (i *injector) partition(domain string, length time.Duration) fault {
	var side []*cluster.Entry
	for _, e := range i.Entries {
		if e.Domain == domain {
			side = append(side, e)
		}
	}
	return fault{"partition", domain, length, func() func() {
		i.CutPeers(side)
		for _, e := range side {
			i.silenceAllPlatformConnections(e)
		}
		return func() {
			i.HealPeers()
			for _, e := range side {
				e.PlatformProxy.Unblock()
			}
		}
	}}
}

// silenceAllPlatformConnections silences an entry's existing and new connections to the platform.
func (i *injector) silenceAllPlatformConnections(e *cluster.Entry) {
	e.PlatformProxy.Block()
	e.PlatformProxy.MuteExisting()
}

// cutPair drops all packets between two entries.
func (i *injector) cutPair(a, b *cluster.Entry, length time.Duration) fault {
	return fault{"cut pair", "pair", length, func() func() {
		a.Proxy.Block(b.IP)
		b.Proxy.Block(a.IP)
		return i.HealPeers
	}}
}

// cutOneWay drops the replies of entry a to entry b; b's packets to a pass.
func (i *injector) cutOneWay(a, b *cluster.Entry, length time.Duration) fault {
	return fault{"one-way cut", "pair", length, func() func() {
		a.Proxy.BlockReplies(b.IP)
		return i.HealPeers
	}}
}

// silencePeers silences the existing connections of an entry's peers to it. New ones work.
func (i *injector) silencePeers(e *cluster.Entry) fault {
	return fault{"silent peer connections", e.Proxy, 0, func() func() {
		e.Proxy.MuteExisting()
		return noUndo
	}}
}

// silencePlatform silences an entry's existing and new connections to the platform for a time.
func (i *injector) silencePlatform(e *cluster.Entry, length time.Duration) fault {
	return fault{"silent platform link", e.PlatformProxy, length, func() func() {
		i.silenceAllPlatformConnections(e)
		return e.PlatformProxy.Unblock
	}}
}

// platformFaults makes the platform fail calls (0), delay them by 10 s (1) or lose replies (2).
func (i *injector) platformFaults(which int, length time.Duration) fault {
	f := []standinplatform.Faults{{FailCalls: true}, {DelayMS: 10_000}, {DropReplies: true}}[which]
	name := []string{"platform down", "platform slow", "platform loses replies"}[which]
	return fault{name, i.Platform, length, func() func() {
		i.PlatformFaults(f)
		return func() { i.PlatformFaults(standinplatform.Faults{}) }
	}}
}

// misbehaviours are the modes of a faulty backend server.
var misbehaviours = []standinbackend.Mode{
	standinbackend.Fail, standinbackend.Refuse, standinbackend.Stall, standinbackend.DropReply, standinbackend.CutReply,
}

// misbehave puts a backend server into one of misbehaviours for a time.
func (i *injector) misbehave(w *cluster.Worker, which int, length time.Duration) fault {
	mode := misbehaviours[which]
	return fault{"worker " + string(mode), w, length, func() func() {
		i.SetWorkerBehaviour(w, standinbackend.Behaviour{Mode: mode, RunMS: runTime.Milliseconds()})
		return func() {
			i.SetWorkerBehaviour(w, standinbackend.Behaviour{Mode: standinbackend.Serve, RunMS: runTime.Milliseconds()})
		}
	}}
}

// workerLeaves lets one backend server of a failure domain leave for good. The entries learn of it only by
// the server's own replies.
func (i *injector) workerLeaves(w *cluster.Worker) fault {
	if i.leftDomains[w.Domain] {
		return i.breakWorkerLink(w, 0)
	}
	i.leftDomains[w.Domain] = true
	return fault{"worker leaving", w, 0, func() func() {
		i.SetWorkerBehaviour(w, standinbackend.Behaviour{Mode: standinbackend.Leaving})
		return noUndo
	}}
}

// breakWorkerLink breaks (0) or silences (1) the existing connections to a backend server.
func (i *injector) breakWorkerLink(w *cluster.Worker, which int) fault {
	return fault{[]string{"worker connections broken", "worker connections silent"}[which], w.Proxy, 0, func() func() {
		if which == 0 {
			w.Proxy.BreakExisting()
		} else {
			w.Proxy.MuteExisting()
		}
		return noUndo
	}}
}

// waitHealed waits until every fault is undone, and ends all blocks.
func (i *injector) waitHealed() {
	i.inProgress.Wait()
	i.HealPeers()
	for _, e := range i.Entries {
		e.PlatformProxy.Unblock()
	}
}

// String returns the number of injected faults, in total and by name.
func (i *injector) String() string {
	total := 0
	for _, n := range i.counts {
		total += n
	}
	return fmt.Sprintf("%d faults: %v", total, i.counts)
}
