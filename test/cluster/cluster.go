// The start of a cluster: its options, configuration, entries and platform stand-in.

package cluster

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/lavendercleat/lavendercleat/client"
	"github.com/lavendercleat/lavendercleat/config"
	"github.com/lavendercleat/lavendercleat/internal/entry"
	"github.com/lavendercleat/lavendercleat/internal/peer"
	"github.com/lavendercleat/lavendercleat/internal/platform"
	standinplatform "github.com/lavendercleat/lavendercleat/internal/standin/platform"
	"github.com/lavendercleat/lavendercleat/schema"
)

// Tokens of the teams and of the operator in the test configuration.
const (
	Token         = "token-a"
	OtherToken    = "token-b"
	OperatorToken = "operator-token"
)

// Kinds of job in the test configuration.
const (
	// Quote is idempotent, and callers may submit it in one call.
	Quote = "quote"
	// Booking must run at most once.
	Booking = "booking"
)

// Options select the processes of a cluster and their settings.
type Options struct {
	// Domains is the number of failure domains, Entries the number of entries in each failure
	// domain, and Workers the number of backend servers in each failure domain.
	Domains int
	Entries int
	Workers int
	// Slots is the number of slots of each backend server; 0 means 8.
	Slots int
	// RunTime is the run time of a task whose payload gives none; 0 means 20 ms.
	RunTime time.Duration
	// EntryFlags are additional flags for every entry.
	EntryFlags []string
	// Config replaces the test configuration; nil means Config().
	Config *schema.Config
	// OneProcess runs all backend servers of a failure domain in one process.
	OneProcess bool
	// WorkerProxy puts a TCPProxy instead of toxiproxy in front of each backend server.
	WorkerProxy bool
	// PlatformProxy puts a TCPProxy in front of each entry's toxiproxy link to the platform.
	PlatformProxy bool
	// Seeds gives every entry the addresses of the other entries as seed peers. An entry that
	// starts while the platform is unreachable finds its peers by them.
	Seeds bool
}

// Cluster is a running set of entries, backend servers and a platform stand-in.
type Cluster struct {
	t        testing.TB
	options  Options
	dir      string
	Platform *Process
	// PlatformURL is the URL of the platform stand-in itself; requests to it pass no proxy.
	PlatformURL string
	Entries     []*Entry
	Workers     []*Worker
	// killedWitnessFiles are the witness files of the killed processes of backend servers.
	killedWitnessFiles []string
}

// Entry is the process of one entry, with the links to and from it.
type Entry struct {
	*Process
	CallerURL   string
	OperatorURL string
	MetricsURL  string
	Domain      string
	// IP is the entry's own IP address. The entry calls its peers from it.
	IP netip.Addr
	// Proxy passes the packets of the entry's peers to the entry.
	Proxy *UDPProxy
	// Platform is the entry's link to the platform's service.
	Platform *Link
	// PlatformProxy is in front of Platform with Options.PlatformProxy, and nil without it.
	PlatformProxy *TCPProxy
	name          string
	flags         []string
}

// Config returns the test configuration at revision 1.
func Config() *schema.Config {
	return &schema.Config{
		Revision: 1,
		Kinds: map[string]*schema.Kind{
			Quote:   {Path: "/quote", Idempotent: true, OneCall: true, Urgency: schema.Urgency_URGENCY_NORMAL, RunTimeMs: 20, DeadlineMs: 10_000},
			Booking: {Path: "/booking", Urgency: schema.Urgency_URGENCY_HIGH, RunTimeMs: 20, DeadlineMs: 10_000},
		},
		Teams: map[string]*schema.Team{
			"team-a": {TokenSha256: config.HashToken(Token)},
			"team-b": {TokenSha256: config.HashToken(OtherToken)},
		},
		Limits: &schema.Limits{MaxTasks: config.MaxTasks, MaxBodyBytes: 1 << 20, MaxDeadlineMs: 60_000},
	}
}

// Start starts a cluster and waits until every entry is ready and knows the members of its failure
// domain. The processes and links stop when the test ends.
func Start(t testing.TB, o Options) *Cluster {
	t.Helper()
	if testing.Short() {
		t.Skip("starts real processes")
	}
	if o.Slots == 0 {
		o.Slots = 8
	}
	if o.RunTime == 0 {
		o.RunTime = 20 * time.Millisecond
	}
	if o.Config == nil {
		o.Config = Config()
	}
	c := &Cluster{t: t, options: o, dir: t.TempDir()}
	c.writeCredentials()
	c.startPlatform()
	for d := range o.Domains {
		c.startWorkers(domainName(d))
	}
	for d := range o.Domains {
		for n := range o.Entries {
			c.addEntry(d, n)
		}
	}
	c.PublishVMs(nil)
	for _, e := range c.Entries {
		c.StartEntry(e)
	}
	c.WaitReady()
	return c
}

func domainName(d int) string { return fmt.Sprintf("domain-%c", 'a'+d) }

// writeCredentials writes the certificates and the key for the connections between entries.
func (c *Cluster) writeCredentials() {
	c.t.Helper()
	p, err := peer.Generate()
	c.check(err)
	for name, b := range map[string][]byte{"ca.pem": p.CA, "cert.pem": p.Cert, "key.pem": p.Key} {
		c.check(os.WriteFile(filepath.Join(c.dir, name), b, 0o600))
	}
}

// check fails the test at once on an error.
func (c *Cluster) check(err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatal(err)
	}
}

// standInAddresses is the first line that a stand-in prints.
type standInAddresses struct {
	Addresses []netip.AddrPort `json:"addresses"`
}

// startPlatform starts the platform stand-in and writes the configuration document to it.
func (c *Cluster) startPlatform() {
	c.t.Helper()
	var a standInAddresses
	c.Platform = Run(c.t, "platform", &a, "standin", "platform", "--address=127.0.0.1:0")
	c.PlatformURL = "http://" + a.Addresses[0].String()
	c.WriteConfig(c.options.Config)
}

// WriteConfig writes the first configuration document to the platform's store.
func (c *Cluster) WriteConfig(doc *schema.Config) {
	c.t.Helper()
	c.check(entry.SeedConfig(c.t.Context(), c.PlatformURL, doc))
}

// ReplaceConfig replaces the configuration document in the platform's store, at any revision.
func (c *Cluster) ReplaceConfig(doc *schema.Config) {
	c.t.Helper()
	b, err := proto.Marshal(doc)
	c.check(err)
	p := platform.NewClient(c.PlatformURL)
	defer p.Close()
	now, err := p.Get(c.t.Context(), entry.ConfigKey)
	c.check(err)
	_, err = p.CompareAndSwap(c.t.Context(), entry.ConfigKey, now.Revision, b)
	c.check(err)
}

// addEntry creates the links of an entry. Peers need its address before the entry starts.
func (c *Cluster) addEntry(domain, n int) {
	c.t.Helper()
	ip := netip.AddrFrom4([4]byte{127, 1, byte(domain + 1), byte(n + 1)})
	proxy, err := newUDPProxy(netip.MustParseAddr("127.0.0.1"))
	c.check(err)
	c.t.Cleanup(proxy.Close)
	name := fmt.Sprintf("entry-%d-%d", domain, n)
	c.Entries = append(c.Entries, &Entry{
		Domain:   domainName(domain),
		IP:       ip,
		Proxy:    proxy,
		Platform: newLink(c.t, name, strings.TrimPrefix(c.PlatformURL, "http://")),
		name:     name,
		flags:    c.options.EntryFlags,
	})
	if e := c.Entries[len(c.Entries)-1]; c.options.PlatformProxy {
		e.PlatformProxy = newTCPProxy(c.t, e.Platform.Address())
	}
}

// platformAddress returns the address of the proxy through which the entry reaches the platform.
func (e *Entry) platformAddress() string {
	if e.PlatformProxy != nil {
		return e.PlatformProxy.Address()
	}
	return e.Platform.Address()
}

// entryAddresses is the first line that an entry prints.
type entryAddresses struct {
	CallerURL   string         `json:"caller_url"`
	OperatorURL string         `json:"operator_url"`
	MetricsURL  string         `json:"metrics_url"`
	PeerListen  netip.AddrPort `json:"peer_listen"`
}

// StartEntry starts the process of an entry. After the previous process has ended, it starts a new
// process that peers reach at the same address.
func (c *Cluster) StartEntry(e *Entry) {
	c.t.Helper()
	file := func(name string) string { return filepath.Join(c.dir, name) }
	args := append([]string{"entry",
		"--caller-address=127.0.0.1:0", "--operator-address=127.0.0.1:0", "--metrics-address=127.0.0.1:0",
		"--peer-address=" + e.Proxy.Address().String(), "--peer-listen=" + netip.AddrPortFrom(e.IP, 0).String(),
		"--domain=" + e.Domain, "--platform-url=http://" + e.platformAddress(),
		"--ca-file=" + file("ca.pem"), "--cert-file=" + file("cert.pem"), "--key-file=" + file("key.pem"),
		"--operators=operator:" + config.HashToken(OperatorToken), "--stop-delay=200ms",
	}, e.flags...)
	if c.options.Seeds {
		args = append(args, c.seedFlags(e)...)
	}
	var a entryAddresses
	e.Process = Run(c.t, e.name, &a, args...)
	e.CallerURL, e.OperatorURL, e.MetricsURL = a.CallerURL, a.OperatorURL, a.MetricsURL
	e.Proxy.SetTarget(a.PeerListen)
}

// VMs returns the complete list of VMs of the cluster.
func (c *Cluster) VMs() []*schema.Vm {
	var vms []*schema.Vm
	for _, e := range c.Entries {
		vms = append(vms, &schema.Vm{
			Address: e.Proxy.Address().String(), Domain: e.Domain, Role: schema.VmRole_VM_ROLE_ENTRY,
		})
	}
	for _, w := range c.Workers {
		vms = append(vms, &schema.Vm{
			Address: w.Address(), Domain: w.Domain, Rack: w.Rack, Role: schema.VmRole_VM_ROLE_WORKER,
			Slots: uint32(w.slots), Connections: 64, Resources: &schema.Resources{Cpus: 64, MemoryMb: 256 << 10},
		})
	}
	return vms
}

// PublishVMs sets the platform's list of VMs. If change is not nil, it may alter each VM first.
func (c *Cluster) PublishVMs(change func(vm *schema.Vm)) {
	c.t.Helper()
	l := &schema.VmList{Vms: c.VMs()}
	for _, vm := range l.GetVms() {
		if change != nil {
			change(vm)
		}
	}
	b, err := protojson.Marshal(l)
	c.check(err)
	c.Post(c.PlatformURL+"/admin/vms", b)
}

// PlatformFaults sets the faults of the platform stand-in.
func (c *Cluster) PlatformFaults(f standinplatform.Faults) {
	c.t.Helper()
	c.PostJSON(c.PlatformURL+"/admin/faults", f)
}

// PostJSON sends a POST request with a value as JSON.
func (c *Cluster) PostJSON(url string, v any) {
	c.t.Helper()
	b, err := json.Marshal(v)
	c.check(err)
	c.Post(url, b)
}

// Post sends a POST request and fails the test unless the status is 2xx.
func (c *Cluster) Post(url string, body []byte) {
	c.t.Helper()
	resp, err := http.Post(url, "application/json", bytes.NewReader(body))
	c.check(err)
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		b, _ := io.ReadAll(resp.Body)
		c.t.Fatalf("POST %s: %s %s", url, resp.Status, b)
	}
}

// WaitReady waits until each entry is ready and counts all entries of its failure domain as members.
func (c *Cluster) WaitReady() {
	c.t.Helper()
	for _, e := range c.Entries {
		Eventually(c.t, 15*time.Second, e.name+" is ready", func() bool {
			return e.Metric(c.t, "lavendercleat_members") == float64(c.options.Entries) && c.httpOK(strings.TrimSuffix(e.MetricsURL, "/metrics")+"/readyz")
		})
	}
}

// httpOK reports whether a GET request is answered with status 200.
func (c *Cluster) httpOK(url string) bool {
	resp, err := http.Get(url)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Client returns a client for the entry's caller API.
func (e *Entry) Client(token string) *client.Client {
	return &client.Client{URL: e.CallerURL, Token: token}
}

// Metric returns the value of a metric of the entry. The name includes the labels, in the form of
// /metrics. The value is 0 if the entry does not answer or does not export the metric.
func (e *Entry) Metric(t testing.TB, name string) float64 {
	t.Helper()
	resp, err := http.Get(e.MetricsURL)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), name+" "); ok {
			f, _ := strconv.ParseFloat(value, 64)
			return f
		}
	}
	return 0
}

// Eventually polls a condition every 20 ms and fails the test if it does not hold within the timeout.
func Eventually(t testing.TB, timeout time.Duration, description string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("condition did not hold within %s: %s", timeout, description)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
