// Backend servers: their start, kill and restart, and the records of their runs.

package cluster

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	standinbackend "github.com/lavendercleat/lavendercleat/internal/standin/backend"
)

// Worker is one backend server, with the link from the entries to it.
type Worker struct {
	*Process
	// URL is the URL of the backend server itself; requests to it pass no proxy.
	URL    string
	Domain string
	Rack   string
	// Link is the link through toxiproxy; nil with Options.WorkerProxy.
	Link *Link
	// Proxy is the link through a TCPProxy with Options.WorkerProxy; nil without it.
	Proxy *TCPProxy
	slots int
	// witnessFile is the file to which the process writes each start. It survives the process.
	witnessFile string
	killed      bool
}

// Address returns the address of the proxy through which entries reach the worker.
func (w *Worker) Address() string {
	if w.Proxy != nil {
		return w.Proxy.Address()
	}
	return w.Link.Address()
}

// startWorkers starts the backend servers of a failure domain.
func (c *Cluster) startWorkers(domain string) {
	c.t.Helper()
	processes, workersPerProcess := c.options.Workers, 1
	if c.options.OneProcess {
		processes, workersPerProcess = 1, c.options.Workers
	}
	for range processes {
		p, file, a := c.startWorkerProcess(domain, "127.0.0.1:0", workersPerProcess)
		for _, at := range a.Addresses {
			c.addWorker(p, file, domain, at.String())
		}
	}
}

// startWorkerProcess starts one process with count backend servers.
func (c *Cluster) startWorkerProcess(domain, at string, count int) (*Process, string, standInAddresses) {
	c.t.Helper()
	f, err := os.CreateTemp(c.dir, "witness")
	c.check(err)
	c.check(f.Close())
	var a standInAddresses
	p := Run(c.t, "backend "+domain, &a, "standin", "backend", "--address="+at,
		"--count="+strconv.Itoa(count), "--slots="+strconv.Itoa(c.options.Slots),
		"--run-time="+c.options.RunTime.String(), "--witness-file="+filepath.Clean(f.Name()))
	return p, f.Name(), a
}

// addWorker adds a backend server that listens at an address, and creates the link to it.
func (c *Cluster) addWorker(p *Process, file, domain, at string) {
	c.t.Helper()
	n := len(c.Workers)
	w := &Worker{
		Process:     p,
		URL:         "http://" + at,
		Domain:      domain,
		Rack:        fmt.Sprintf("rack-%d", n/2),
		slots:       c.options.Slots,
		witnessFile: file,
	}
	if c.options.WorkerProxy {
		w.Proxy = newTCPProxy(c.t, at)
	} else {
		w.Link = newLink(c.t, fmt.Sprintf("worker-%d", n), at)
	}
	c.Workers = append(c.Workers, w)
}

// KillWorker kills the process of a backend server. RunRecord still counts the starts there.
func (c *Cluster) KillWorker(w *Worker) {
	c.t.Helper()
	w.Kill()
	c.killedWitnessFiles = append(c.killedWitnessFiles, w.witnessFile)
	for _, other := range c.Workers {
		if other.Process == w.Process {
			other.killed = true
			other.cutLink() // The proxy would still accept connections for the killed process.
		}
	}
}

func (w *Worker) cutLink() {
	if w.Proxy != nil {
		w.Proxy.Cut()
		return
	}
	w.Link.Cut()
}

func (w *Worker) restoreLink() {
	if w.Proxy != nil {
		w.Proxy.Restore()
		return
	}
	w.Link.Restore()
}

// RestartWorker starts a killed backend server at the same address. Its process must have run this
// backend server alone.
func (c *Cluster) RestartWorker(w *Worker) {
	c.t.Helper()
	w.Process, w.witnessFile, _ = c.startWorkerProcess(w.Domain, strings.TrimPrefix(w.URL, "http://"), 1)
	w.killed = false
	w.restoreLink()
}

// SetWorkerBehaviour sets the behaviour of a backend server.
func (c *Cluster) SetWorkerBehaviour(w *Worker, b standinbackend.Behaviour) {
	c.t.Helper()
	c.PostJSON(w.URL+"/admin/behaviour", b)
}

// RunRecord returns the sum of the run records of all backend servers, including killed ones.
func (c *Cluster) RunRecord() standinbackend.RunRecord {
	c.t.Helper()
	sum := standinbackend.RunRecord{Tasks: make(map[string]int)}
	for _, file := range c.killedWitnessFiles {
		c.addKilledProcess(&sum, file)
	}
	for _, w := range c.Workers {
		if w.killed {
			continue
		}
		record := c.RunRecordOf(w)
		sum.Starts += record.Starts
		sum.Refused += record.Refused
		sum.Aborted += record.Aborted
		sum.BusyMS += record.BusyMS
		sum.Unidentified = append(sum.Unidentified, record.Unidentified...)
		for k, n := range record.Tasks {
			sum.Tasks[k] += n
		}
	}
	for _, n := range sum.Tasks {
		sum.Duplicates += int64(n - 1)
	}
	return sum
}

// addKilledProcess adds the starts in the witness file of a killed process to sum.
func (c *Cluster) addKilledProcess(sum *standinbackend.RunRecord, file string) {
	c.t.Helper()
	f, err := os.Open(file)
	c.check(err)
	defer f.Close()
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		sum.Starts++
		sum.Tasks[lines.Text()]++
	}
	c.check(lines.Err())
}

// RunRecordOf returns the run record of one backend server.
func (c *Cluster) RunRecordOf(w *Worker) standinbackend.RunRecord {
	c.t.Helper()
	resp, err := http.Get(w.URL + "/admin/witness")
	c.check(err)
	defer resp.Body.Close()
	var record standinbackend.RunRecord
	c.check(json.NewDecoder(resp.Body).Decode(&record))
	return record
}
