package policy

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

func TestScratch(t *testing.T) {
	loads := []struct {
		n   string
		l   load
		ref float64
	}{{"compMany", competing(manyDaemons(211)), 0}, {"comp4", competing(fourDomains(130)), 0}, {"75", fourDomains(load75), 0}, {"100", fourDomains(load100), 0}, {"125", fourDomains(load125), 0}}
	if v := os.Getenv("LOADS"); v != "" {
		keep := loads[:0]
		for _, l := range loads {
			if strings.Contains(","+v+",", ","+l.n+",") {
				keep = append(keep, l)
			}
		}
		loads = keep
	}
	if v := os.Getenv("HB"); v != "" {
		d, _ := time.ParseDuration(v)
		for i := range loads {
			loads[i].l.heartbeat = d
		}
	}
	if os.Getenv("ONE") != "" {
		for i := range loads {
			loads[i].l = loads[i].l.oneQueue()
		}
	}
	var wg sync.WaitGroup
	n := uint64(3)
	out := make([]string, len(loads))
	for i, l := range loads {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var mu sync.Mutex
			var w2 sync.WaitGroup
			var val, cr, s, p, lg float64
			var jobs, late, ref, room, once, failed int
			for seed := range n {
				w2.Add(1)
				go func() {
					defer w2.Done()
					f := play(l.l, seed)
					mu.Lock()
					defer mu.Unlock()
					cr += f.credit / float64(n)
					val += (f.credit - 0.5*f.refusedWorth) / float64(n)
					s += f.byKind["short"].credit / float64(n)
					p += f.byKind["pairs"].credit / float64(n)
					lg += f.byKind["long"].credit / float64(n)
					jobs += f.jobs
					late += f.late
					ref += f.refused
					room += f.refusedWithRoom
					once += f.refusedAtOnce
					failed += f.failed
				}()
			}
			w2.Wait()
			out[i] = fmt.Sprintf("%-9s value %.3f credit %.3f (short %.3f pairs %.3f long %.3f) of %d: late %d refused %d (room %d, at once %d) failed %d", l.n, val, cr, s, p, lg, jobs, late, ref, room, once, failed)
		}()
	}
	wg.Wait()
	for _, o := range out {
		fmt.Println(o)
	}
}
