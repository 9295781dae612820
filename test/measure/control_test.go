// The benchmark of an idle daemon's cost.

package measure

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"gotest.tools/v3/assert"

	"github.com/lavendercleat/lavendercleat/schema"
	"github.com/lavendercleat/lavendercleat/test/cluster"
)

const (
	// settleTime is the wait before a measurement: by then the daemons have made their connections and
	// views, and have closed unused connections.
	settleTime = 35 * time.Second
	// measureWindow is the time over which the benchmark measures a cost.
	measureWindow = 10 * time.Second
)

// BenchmarkControlCost measures the processor share, the bytes sent and received, and the memory of
// an idle daemon. It varies the number of entries in the daemon's failure domain, of failure domains,
// and of workers in the VM list. The workers need not exist, as an idle entry doesn't call them.
func BenchmarkControlCost(b *testing.B) {
	for _, s := range []struct{ domains, entries, workers int }{
		{1, 1, 50},
		{1, 2, 50},
		{1, 4, 50},
		{1, 8, 50},
		{4, 2, 50},
		{4, 4, 50},
		{1, 4, 200},
		{1, 4, 950},
		{5, 3, 950},
	} {
		b.Run(fmt.Sprintf("domains=%d/entries=%d/workers=%d", s.domains, s.entries, s.workers), func(b *testing.B) {
			c := cluster.Start(b, cluster.Options{Domains: s.domains, Entries: s.entries})
			publishVMs(c, s.domains, s.workers)
			c.WaitReady()
			time.Sleep(settleTime)
			for b.Loop() {
				before := readMetrics(b, c)
				time.Sleep(measureWindow)
				reportCost(b, readMetrics(b, c).minus(before), len(c.Entries))
			}
		})
	}
}

// publishVMs publishes a VM list with the cluster's VMs and with workers that don't exist.
func publishVMs(c *cluster.Cluster, domains, workers int) {
	l := &schema.VmList{Vms: append(c.VMs(), fakeWorkers(domains, workers)...)}
	body, err := protojson.Marshal(l)
	if err != nil {
		panic(err) // can't occur: all fields of a list are plain
	}
	c.Post(c.PlatformURL+"/admin/vms", body)
}

func fakeWorkers(domains, workers int) []*schema.Vm {
	var vms []*schema.Vm
	for i := range workers {
		vms = append(vms, &schema.Vm{
			Address: fmt.Sprintf("10.%d.%d.%d:8080", i%domains, i/250, i%250+1),
			Domain:  fmt.Sprintf("domain-%c", 'a'+i%domains),
			Rack:    fmt.Sprintf("rack-%d", i/8),
			Role:    schema.VmRole_VM_ROLE_WORKER, Slots: 8, Connections: 64,
			Resources: &schema.Resources{Cpus: 64, MemoryMb: 256 << 10},
		})
	}
	return vms
}

// cost is the sum of the costs of all daemons.
type cost struct {
	cpuSeconds, peerBytesSent, peerBytesReceived, peerPackets, platformBytes float64
	// maxResident and maxHeap are the largest memory in bytes of any daemon.
	maxResident, maxHeap float64
}

func readMetrics(b *testing.B, c *cluster.Cluster) cost {
	var sum cost
	for _, e := range c.Entries {
		m := scrape(b, e.MetricsURL)
		sum.cpuSeconds += m["process_cpu_seconds_total"]
		sum.peerBytesSent += m[`lavendercleat_peer_bytes_total{direction="sent"}`]
		sum.peerBytesReceived += m[`lavendercleat_peer_bytes_total{direction="received"}`]
		sum.peerPackets += m[`lavendercleat_peer_packets_total{direction="sent"}`]
		sum.platformBytes += m[`lavendercleat_platform_bytes_total{direction="sent"}`]
		sum.platformBytes += m[`lavendercleat_platform_bytes_total{direction="received"}`]
		sum.maxResident = max(sum.maxResident, m["process_resident_memory_bytes"])
		sum.maxHeap = max(sum.maxHeap, m["go_memstats_heap_inuse_bytes"])
	}
	return sum
}

// scrape reads all metrics of a daemon in one call, as each call itself costs processor time.
func scrape(b *testing.B, url string) map[string]float64 {
	resp, err := http.Get(url)
	assert.NilError(b, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	assert.NilError(b, err)
	m := make(map[string]float64)
	for line := range strings.Lines(string(text)) {
		if space := strings.LastIndexByte(line, ' '); space > 0 {
			m[line[:space]], _ = strconv.ParseFloat(strings.TrimSpace(line[space:]), 64)
		}
	}
	return m
}

func (c cost) minus(before cost) cost {
	c.cpuSeconds -= before.cpuSeconds
	c.peerBytesSent -= before.peerBytesSent
	c.peerBytesReceived -= before.peerBytesReceived
	c.peerPackets -= before.peerPackets
	c.platformBytes -= before.platformBytes
	return c
}

// reportCost reports the mean cost of one daemon.
func reportCost(b *testing.B, c cost, daemons int) {
	perDaemonSecond := 1 / (float64(daemons) * measureWindow.Seconds())
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(100*c.cpuSeconds*perDaemonSecond, "%cpu")
	b.ReportMetric(c.peerBytesSent*perDaemonSecond, "B/s-sent")
	b.ReportMetric(c.peerBytesReceived*perDaemonSecond, "B/s-received")
	b.ReportMetric(c.peerPackets*perDaemonSecond, "packets/s")
	b.ReportMetric(c.platformBytes*perDaemonSecond, "B/s-platform")
	b.ReportMetric(c.maxResident/(1<<20), "MB-resident")
	b.ReportMetric(c.maxHeap/(1<<20), "MB-heap")
}
