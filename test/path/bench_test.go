// Benchmarks of an entry's processor time and memory per task.

package path

import (
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/client"
	"github.com/lavendercleat/lavendercleat/schema"
	"github.com/lavendercleat/lavendercleat/test/cluster"
)

// startWithoutProxies starts one entry with backend servers in a process of their own, which the entry
// reaches without a proxy.
func startWithoutProxies(b *testing.B, servers, slots int, runTime time.Duration) *cluster.Entry {
	b.Helper()
	c := cluster.Start(b, cluster.Options{Domains: 1, Entries: 1, Workers: 1})
	var started struct {
		Addresses []netip.AddrPort `json:"addresses"`
	}
	cluster.Run(b, "backend", &started, "standin", "backend", "--address=127.0.0.1:0", "--count="+strconv.Itoa(servers),
		"--slots="+strconv.Itoa(slots), "--connections=100000", "--run-time="+runTime.String())
	list := &schema.VmList{}
	for _, a := range started.Addresses {
		list.Vms = append(list.Vms, &schema.Vm{
			Address: a.String(), Domain: "domain-a", Rack: "rack", Role: schema.VmRole_VM_ROLE_WORKER,
			Slots: uint32(slots), Connections: 100_000, Resources: &schema.Resources{Cpus: 64, MemoryMb: 1 << 18},
		})
	}
	text, err := protojson.Marshal(list)
	assert.NilError(b, err)
	c.Post(c.PlatformURL+"/admin/vms", text)
	e := c.Entries[0]
	cluster.Eventually(b, 10*time.Second, "the entry has the slots of all backend servers", func() bool {
		return e.Metric(b, "lavendercleat_slots") == float64(servers*slots)
	})
	return e
}

// cpuTime returns the processor time that a process has used.
func cpuTime(b *testing.B, pid int) time.Duration {
	b.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	assert.NilError(b, err)
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	const userAt, systemAt, tick = 11, 12, 10 * time.Millisecond
	user, err := strconv.Atoi(fields[userAt])
	assert.NilError(b, err)
	system, err := strconv.Atoi(fields[systemAt])
	assert.NilError(b, err)
	return time.Duration(user+system) * tick
}

// BenchmarkProcessorTime sends jobs through one entry to backend servers that answer at once. It reports
// the entry's processor time per task.
func BenchmarkProcessorTime(b *testing.B) {
	for _, tasks := range []int{1, 10, 40, 160} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			e := startWithoutProxies(b, 50, 8, 0) // The present size of the fleet.
			job := cluster.Job(cluster.Quote, "cost", tasks)
			const callers = 32
			httpClient := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
			run := func(jobs int) {
				var wg sync.WaitGroup
				for caller := range callers {
					wg.Go(func() {
						c := client.Client{URL: e.CallerURL, Token: cluster.Token, HTTP: httpClient}
						for n := caller; n < jobs; n += callers {
							r, err := c.Do(b.Context(), job)
							if !assert.Check(b, err) || !cluster.CheckComplete(b, job, r) {
								return
							}
						}
					})
				}
				wg.Wait()
			}
			run(callers) // Connections and estimates exist before the measurement.
			before := cpuTime(b, e.Pid())
			b.ResetTimer()
			run(b.N)
			b.StopTimer()
			spent := cpuTime(b, e.Pid()) - before
			total := float64(b.N * tasks)
			b.ReportMetric(spent.Seconds()*1e6/total, "cpu-µs/task")
			b.ReportMetric(total/spent.Seconds(), "tasks/s/core")
			b.ReportMetric(total/b.Elapsed().Seconds(), "tasks/s")
		})
	}
}

// BenchmarkMemory keeps tasks running, or waiting behind running ones, and reports the growth of the
// entry's memory per task. The garbage collector runs often, so that the figure contains little garbage.
func BenchmarkMemory(b *testing.B) {
	b.Setenv("GOGC", "10")
	const perJob, jobs = 40, 100
	for _, load := range []struct {
		name string
		// slots is the number of slots of the backend server; before is the number of jobs that occupy
		// them before the measurement.
		slots, before int
	}{{"running", jobs * perJob, 0}, {"waiting", 200, 5}} {
		b.Run(load.name, func(b *testing.B) {
			for range b.N {
				e := startWithoutProxies(b, 1, load.slots, 8*time.Second)
				var wg sync.WaitGroup
				send := func(jobs int) {
					for n := range jobs {
						wg.Go(func() {
							_, _ = e.Client(cluster.Token).Do(b.Context(), cluster.Job(cluster.Quote, strconv.Itoa(n), perJob))
						})
					}
				}
				memoryWith := func(metric string, tasks int) float64 {
					cluster.Eventually(b, 10*time.Second, "the entry has the tasks", func() bool {
						return e.Metric(b, metric) >= float64(tasks)
					})
					time.Sleep(500 * time.Millisecond) // Lets the started goroutines reach their waits.
					return memoryInUse(b, e)
				}
				send(load.before)
				base := memoryWith("lavendercleat_running_tasks", load.before*perJob)
				send(jobs)
				growth := memoryWith("lavendercleat_"+load.name+"_tasks", jobs*perJob) - base
				b.ReportMetric(growth/(jobs*perJob), "bytes/task")
				e.Kill()
				wg.Wait()
			}
		})
	}
}

// memoryInUse returns the bytes of heap objects and stacks of the entry.
func memoryInUse(b *testing.B, e *cluster.Entry) float64 {
	b.Helper()
	return e.Metric(b, "go_memstats_heap_alloc_bytes") + e.Metric(b, "go_memstats_stack_inuse_bytes")
}
