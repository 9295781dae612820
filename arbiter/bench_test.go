package arbiter

import (
	"fmt"
	"testing"
	"time"

	"github.com/lavendercleat/lavendercleat/member"
)

// singleView is the view of a benchmark client: three fixed arbiters, all reachable.
type singleView struct{}

func (singleView) Arbiters(string, int) []member.Process {
	return []member.Process{process(0), process(1), process(2)}
}
func (singleView) Reachable(member.Process) bool { return true }

// BenchmarkStart measures the work of a client and its three arbiters for one job, without the network.
func BenchmarkStart(b *testing.B) {
	c := NewClient(process(0), singleView{})
	arbiters := []*Arbiter{New(), New(), New()}
	for n := range b.N {
		job, now := fmt.Sprint(n), time.Duration(n)*time.Millisecond
		c.RequestStart(now, job, now+time.Second)
		for i, m := range c.Drain().Messages {
			v, _ := arbiters[i].HandleRequest(now, *m.Request)
			c.HandleVerdict(now, m.To, job, v)
		}
		c.Complete(job, true)
		c.Drain()
	}
}
