// A complete system in this process, on which experiments run.

package load

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/lavendercleat/lavendercleat/config"
	"github.com/lavendercleat/lavendercleat/internal/entry"
	"github.com/lavendercleat/lavendercleat/internal/peer"
	standinbackend "github.com/lavendercleat/lavendercleat/internal/standin/backend"
	standinplatform "github.com/lavendercleat/lavendercleat/internal/standin/platform"
	"github.com/lavendercleat/lavendercleat/sched"
	"github.com/lavendercleat/lavendercleat/schema"
)

const (
	loadTeam  = "load"
	loadToken = "load-token"
	// workersPerRack is the number of workers in a rack of the users' systems.
	workersPerRack = 8
	// readyTimeout is the time limit for all entries to find each other and divide the slots.
	readyTimeout = 15 * time.Second
	// answerRetention is short, because no caller requests an answer again.
	answerRetention = "10s"
	// unusedFile is the value of required file settings. The credentials are generated in memory and
	// these files are never read.
	unusedFile = "none"
)

// freePort makes a server listen on a free port.
var freePort = netip.MustParseAddrPort("127.0.0.1:0")

// localCluster is a complete system in this process: a stand-in platform, stand-in backend servers and
// entries.
type localCluster struct {
	settings schema.ExperimentSettings
	platform *http.Server
	url      string
	fleet    *standinbackend.Fleet
	entries  []*entry.Entry
	alive    []bool
}

// startLocalCluster starts all parts and waits until the entries have divided the slots.
func startLocalCluster(ctx context.Context, s schema.ExperimentSettings, p schema.LoadProfile, c sched.Config) (*localCluster, error) {
	cluster := &localCluster{settings: s}
	if err := cluster.start(ctx, p, c); err != nil {
		return nil, errors.CombineErrors(err, cluster.stop())
	}
	return cluster, nil
}

// start starts the backend servers, the platform and the entries. The VM list is set last, because it
// contains the addresses of the entries.
func (s *localCluster) start(ctx context.Context, p schema.LoadProfile, c sched.Config) error {
	var err error
	s.fleet, err = standinbackend.Listen(schema.BackendSettings{
		Address: freePort, Count: s.settings.Workers, Slots: s.settings.Slots, Connections: s.settings.Connections,
	})
	if err != nil {
		return err
	}
	server := standinplatform.NewServer()
	if err := s.startPlatform(ctx, server, p); err != nil {
		return err
	}
	if err := s.startEntries(ctx, c); err != nil {
		return err
	}
	server.SetVMs(s.vms())
	return s.waitUntilReady(ctx)
}

// startPlatform starts the stand-in platform and writes a configuration with the profile's kinds.
func (s *localCluster) startPlatform(ctx context.Context, server *standinplatform.Server, p schema.LoadProfile) error {
	l, err := net.Listen("tcp", freePort.String())
	if err != nil {
		return err
	}
	s.platform = &http.Server{Handler: server, ReadHeaderTimeout: readyTimeout}
	go s.platform.Serve(l)
	s.url = "http://" + l.Addr().String()
	return entry.SeedConfig(ctx, s.url, configFor(p))
}

// configFor returns a configuration with the kinds of a profile.
func configFor(p schema.LoadProfile) *schema.Config {
	kinds := make(map[string]*schema.Kind)
	for _, c := range p.Classes {
		declared := float64(meanTaskRunTime(c).Milliseconds())
		if c.DeclaredFactor > 0 {
			declared *= c.DeclaredFactor
		}
		kinds[c.Kind] = &schema.Kind{
			Path: "/" + c.Kind, Idempotent: c.OneCall, OneCall: c.OneCall,
			Urgency: schema.Urgency_URGENCY_NORMAL, RunTimeMs: max(uint32(declared), 1), DeadlineMs: 15_000,
		}
	}
	return &schema.Config{
		Revision: 1,
		Kinds:    kinds,
		Teams:    map[string]*schema.Team{loadTeam: {TokenSha256: config.HashToken(loadToken)}},
		Limits:   &schema.Limits{MaxTasks: config.MaxTasks, MaxBodyBytes: 4 << 20, MaxDeadlineMs: 120_000},
	}
}

// startEntries starts the entries with credentials generated in memory, and adds them to the cluster.
func (s *localCluster) startEntries(ctx context.Context, c sched.Config) error {
	pem, err := peer.Generate()
	if err != nil {
		return err
	}
	cred, err := pem.Credentials()
	if err != nil {
		return err
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	for i := range s.settings.Domains * s.settings.Entries {
		settings, err := s.entrySettings(domainName(i, s.settings.Domains))
		if err != nil {
			return err
		}
		e, err := entry.NewWithScheduler(settings, cred, log, c)
		if err != nil {
			return err
		}
		if err := e.Start(ctx); err != nil {
			return err
		}
		s.entries = append(s.entries, e)
		s.alive = append(s.alive, true)
	}
	return nil
}

// domainName returns the failure domain of VM i. Consecutive VMs are in different domains.
func domainName(i, domains int32) string { return fmt.Sprintf("domain-%d", i%domains) }

// entrySettings returns the settings that an entry would get from its command line.
func (s *localCluster) entrySettings(domain string) (schema.EntrySettings, error) {
	var c schema.EntrySettings
	parser, err := kong.New(&c)
	if err != nil {
		return c, err
	}
	free := freePort.String()
	_, err = parser.Parse([]string{
		"--domain", domain, "--platform-url", s.url, "--answer-retention", answerRetention,
		"--caller-address", free, "--operator-address", free, "--metrics-address", free, "--peer-address", free,
		"--ca-file", unusedFile, "--cert-file", unusedFile, "--key-file", unusedFile,
	})
	return c, err
}

// vms returns the VM list with all entries and workers.
func (s *localCluster) vms() []*schema.Vm {
	var vms []*schema.Vm
	for i, e := range s.entries {
		vms = append(vms, &schema.Vm{
			Address: e.PeerAddress().String(), Domain: domainName(int32(i), s.settings.Domains), Role: schema.VmRole_VM_ROLE_ENTRY,
		})
	}
	for i, a := range s.fleet.Addresses {
		vms = append(vms, &schema.Vm{
			Address: a.String(), Domain: domainName(int32(i), s.settings.Domains),
			Rack: fmt.Sprintf("rack-%d", i/workersPerRack), Role: schema.VmRole_VM_ROLE_WORKER,
			Slots: uint32(s.settings.Slots), Connections: uint32(s.settings.Connections),
			Resources: &schema.Resources{Cpus: 64, MemoryMb: 256 << 10},
		})
	}
	return vms
}

// waitUntilReady waits until all entries are ready and have divided all slots among themselves.
func (s *localCluster) waitUntilReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	totalSlots := uint32(s.settings.Workers * s.settings.Slots)
	for {
		var slots uint32
		ready := true
		for _, e := range s.entries {
			status := e.Status()
			slots += status.GetSlots()
			ready = ready && status.GetReady() && status.GetSlots() > 0
		}
		if ready && slots == totalSlots {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Newf("the entries did not become ready within %s: they have %d slots, expected %d", readyTimeout, slots, totalSlots)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// urls returns the URLs of the caller interfaces, or that of the first entry alone with --one-entry.
func (s *localCluster) urls() []string {
	var urls []string
	for _, e := range s.entries {
		urls = append(urls, "http://"+e.CallerAddress().String())
	}
	if s.settings.OneEntry {
		return urls[:1]
	}
	return urls
}

// readCounters implements counterSource. It leaves out aborted entries.
func (s *localCluster) readCounters(ctx context.Context) (counters, error) {
	var reader httpCounters
	for i, e := range s.entries {
		if s.alive[i] {
			reader.metrics = append(reader.metrics, "http://"+e.MetricsAddress().String()+"/metrics")
		}
	}
	c, err := reader.readCounters(ctx)
	for _, b := range s.fleet.Servers {
		c.addRunRecord(b.Totals())
	}
	return c, err
}

// abortEntry aborts one entry without a clean stop, as if its process were killed.
func (s *localCluster) abortEntry(i int) {
	s.alive[i] = false
	_ = s.entries[i].Abort() // on an error the entry is stopped all the same
}

// stop stops all parts that are still running.
func (s *localCluster) stop() error {
	var err error
	for i, e := range s.entries {
		if s.alive[i] {
			err = errors.CombineErrors(err, e.Abort())
		}
	}
	if s.fleet != nil {
		err = errors.CombineErrors(err, s.fleet.Close())
	}
	if s.platform != nil {
		err = errors.CombineErrors(err, s.platform.Close())
	}
	return err
}
