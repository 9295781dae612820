package arbiter

import (
	"net/netip"
	"testing"
	"time"

	"github.com/lavendercleat/lavendercleat/member"
)

// fleet is a set of daemons. Their messages wait until they are delivered, in order for each link.
type fleet struct {
	t       *testing.T
	now     time.Duration
	daemons []*daemon
	links   map[[2]int][]func()
	// running holds, by job, the daemons at which the job was started and has not ended.
	running map[string]map[int]bool
}

type daemon struct {
	f       *fleet
	number  int
	arbiter *Arbiter
	client  *Client
	// unreachable holds the daemons that this one cannot reach.
	unreachable map[int]bool
	// quiescenceChecks lists the holders for which the client wants a quiescence check.
	quiescenceChecks []member.Process
	// answered lists the jobs that the daemon has answered, itself or with another daemon's answer.
	answered []string
}

func process(n int) member.Process {
	return member.Process{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n + 1)}), 80), Incarnation: uint64(n + 1)}
}

func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{t: t, links: make(map[[2]int][]func()), running: make(map[string]map[int]bool)}
	for i := range n {
		d := &daemon{f: f, number: i, arbiter: New(), unreachable: make(map[int]bool)}
		d.client = NewClient(process(i), d)
		f.daemons = append(f.daemons, d)
	}
	return f
}

// Arbiters implements View. It selects the daemons with the highest numbers, so daemon 0 comes last.
func (d *daemon) Arbiters(_ string, n int) (list []member.Process) {
	for i := len(d.f.daemons) - 1; i >= 0 && len(list) < n; i-- {
		if !d.unreachable[i] {
			list = append(list, process(i))
		}
	}
	return list
}

// Reachable implements View.
func (d *daemon) Reachable(p member.Process) bool { return !d.unreachable[int(p.Incarnation)-1] }

// carryOut carries out the client's output: it queues the messages and starts or stops jobs.
func (d *daemon) carryOut() {
	o := d.client.Drain()
	for _, m := range o.Messages {
		d.send(int(m.To.Incarnation)-1, m)
	}
	for _, job := range o.Start {
		if d.f.running[job] == nil {
			d.f.running[job] = make(map[int]bool)
		}
		d.f.running[job][d.number] = true
	}
	for _, job := range o.Revoked {
		d.client.Revoke(job)
		d.stop(job)
	}
	d.quiescenceChecks = append(d.quiescenceChecks, o.QuiescenceChecks...)
	for _, e := range o.Expired {
		d.client.Abandon(e.Job)
		d.client.ConfirmStopped(d.f.now, e.Job)
		d.carryOut()
	}
}

// stop stops the runs of a job and tells the client.
func (d *daemon) stop(job string) {
	delete(d.f.running[job], d.number)
	d.client.ConfirmStopped(d.f.now, job)
	d.carryOut()
}

func (d *daemon) send(to int, m Message) {
	key := [2]int{d.number, to}
	d.f.links[key] = append(d.f.links[key], func() { d.f.daemons[to].handle(d, m) })
}

func (d *daemon) handle(from *daemon, m Message) {
	switch {
	case m.Request != nil:
		v, displaced := d.arbiter.HandleRequest(d.f.now, *m.Request)
		d.verdict(from.number, m.Request.Job, v)
		if displaced.Address.IsValid() && d.Reachable(displaced) {
			d.verdict(int(displaced.Incarnation)-1, m.Request.Job, Verdict{Holder: m.Request.From})
		}
	case m.Release != "":
		d.arbiter.Release(m.Release, Attempt{process(from.number), m.Attempt})
	case m.Query != "":
		d.client.HandleQuery(process(from.number), m.Query)
	case m.CancelQuery != "":
		d.client.HandleCancelQuery(process(from.number), m.CancelQuery)
	case m.NotRunning != "":
		d.client.HandleNotRunning(d.f.now, process(from.number), m.NotRunning, m.Attempt)
	}
	d.carryOut()
}

func (d *daemon) verdict(to int, job string, v Verdict) {
	key := [2]int{d.number, to}
	d.f.links[key] = append(d.f.links[key], func() {
		d.f.daemons[to].client.HandleVerdict(d.f.now, process(d.number), job, v)
		d.f.daemons[to].carryOut()
	})
}

// deliver delivers the next message of a link. It returns false if there is none.
func (f *fleet) deliver(from, to int) bool {
	key := [2]int{from, to}
	if len(f.links[key]) == 0 {
		return false
	}
	next := f.links[key][0]
	f.links[key] = f.links[key][1:]
	next()
	return true
}

// deliverAll delivers messages until none is in flight.
func (f *fleet) deliverAll() {
	for moved := true; moved; {
		moved = false
		for i := range f.daemons {
			for k := range f.daemons {
				moved = f.deliver(i, k) || moved
			}
		}
	}
}

func (f *fleet) advance(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += 25 * time.Millisecond {
		for _, d := range f.daemons {
			d.client.Tick(f.now)
			d.carryOut()
		}
		f.deliverAll()
	}
}

// runs returns the daemons at which a job is running.
func (f *fleet) runs(job string) (list []int) {
	for i := range f.daemons {
		if f.running[job][i] {
			list = append(list, i)
		}
	}
	return list
}

func (d *daemon) requestStart(job string) {
	d.client.RequestStart(d.f.now, job, d.f.now+5*time.Second)
	d.carryOut()
}

// complete ends a job successfully at its holder.
func (d *daemon) complete(job string) {
	delete(d.f.running[job], d.number)
	d.answer(job)
}

// answer sends the job's answer to the daemons that wait for it. They send it to their own waiters.
func (d *daemon) answer(job string) {
	for _, p := range d.client.Complete(job, true) {
		to := d.f.daemons[p.Incarnation-1]
		key := [2]int{d.number, to.number}
		d.f.links[key] = append(d.f.links[key], func() {
			if to.client.WaitsFor(process(d.number), job) {
				to.answered = append(to.answered, job)
				to.answer(job)
			}
		})
	}
	d.carryOut()
}
