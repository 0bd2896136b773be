package soak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/endivetrack/endivetrack/platform/platformtest"
	"github.com/endivetrack/endivetrack/standin/cluster"
	"github.com/endivetrack/endivetrack/standin/netfault"
)

// Size is how many processes and targets a deployment has.
type Size struct {
	Controls int
	Entries  int
	Targets  int // half of them model engines
}

// DefaultSize is the usual size.
var DefaultSize = Size{Controls: 5, Entries: 6, Targets: 8}

// minority is how many control instances may fail at once.
func (s Size) minority() int { return (s.Controls - 1) / 2 }

// seedCount is how many control instances the settings name.
const seedCount = 3

// Last numbers of the addresses, from which instances count up.
const (
	firstControl = 1
	firstEntry   = 20
	targetHost   = 250 // all targets, at ports of their own
	maxControls  = firstEntry - firstControl
	maxEntries   = targetHost - firstEntry
)

// Network returns loopback addresses for the n-th deployment that this process
// runs at the same time; those of other processes differ in most cases.
func Network(n int) string { return fmt.Sprintf("127.%d.%d", 10+os.Getpid()%200, n) }

// place is a failure domain in a region.
type place struct{ domain, region string }

var places = []place{{"north-a", "north"}, {"north-b", "north"}, {"south-a", "south"}}

// What the manifest routes.
const (
	host         = "soak.test"
	readPath     = "/lots/"
	writePath    = "/bids/"
	streamPath   = "/appraisals/"
	plainService = "core"
	modelService = "model"
)

var paths = []string{readPath, writePath, writePath, streamPath}

// instance is one process of the system.
type instance struct {
	platformtest.Instance
	*cluster.Process
	settings string
	// relay stands between callers and an entry instance.
	relay *netfault.Relay

	mu sync.Mutex
	// ending is set while the soak itself ends the process.
	ending bool
	faulty bool // a fault lasts; no second one hits the same process
}

// take claims the instance for a fault.
func (i *instance) take() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.faulty {
		return false
	}
	i.faulty = true
	return true
}

func (i *instance) release() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faulty = false
}

func (i *instance) setEnding(ending bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.ending = ending
}

// endedByItself reports whether the process is gone although nobody ended it.
func (i *instance) endedByItself() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return !i.ending && !i.Running()
}

// deployment is the system under test and the targets around it.
type deployment struct {
	controls []*instance
	entries  []*instance
	calls    *platformtest.Client
	ledger   *ledger
	size     Size
	network  string // first three numbers of all addresses

	mu      sync.Mutex
	targets []*target
	started int // incarnations of targets so far
}

// newDeployment writes all settings. Each instance has a loopback address of
// its own in 127.x.y.0/24.
func newDeployment(o Options, dir string) (*deployment, error) {
	if o.Size.Controls < seedCount || o.Size.Controls > maxControls || o.Size.Entries > maxEntries {
		return nil, fmt.Errorf("a deployment has %d to %d control and up to %d entry instances", seedCount, maxControls, maxEntries)
	}
	d := &deployment{size: o.Size, network: o.Network, ledger: &ledger{}}
	var seeds []platformtest.Instance
	for i := range o.Size.Controls {
		at := places[i%len(places)]
		c := platformtest.Instance{
			Name: fmt.Sprintf("control-%d", i+1), IP: fmt.Sprintf("%s.%d", o.Network, firstControl+i), FailureDomain: at.domain, Region: at.region,
			Control: true, DataDir: filepath.Join(dir, fmt.Sprintf("control-%d.data", i+1)),
		}
		d.controls = append(d.controls, newInstance(c, o.BinDir, dir, "platform-control"))
		seeds = append(seeds, c)
	}
	for i := range o.Size.Entries {
		at := places[i%len(places)]
		e := platformtest.Instance{
			Name: fmt.Sprintf("entry-%d", i+1), IP: fmt.Sprintf("%s.%d", o.Network, firstEntry+i), FailureDomain: at.domain, Region: at.region,
		}
		d.entries = append(d.entries, newInstance(e, o.BinDir, dir, "platform-entry"))
	}
	d.calls = &platformtest.Client{Controls: seeds, HTTP: &http.Client{}}
	return d, d.writeSettings(true)
}

// writeSettings writes the settings of all instances.
func (d *deployment) writeSettings(firstStart bool) error {
	regions := map[string]string{}
	for _, p := range places {
		regions[p.domain] = p.region
	}
	for _, i := range d.instances() {
		if err := i.WriteSettings(i.settings, regions, d.calls.Controls[:seedCount], firstStart); err != nil {
			return err
		}
	}
	return nil
}

// endFirstStart makes later starts of the processes be no first ones.
func (d *deployment) endFirstStart() error { return d.writeSettings(false) }

func newInstance(self platformtest.Instance, binDir, dir, program string) *instance {
	settings := filepath.Join(dir, self.Name+".toml")
	p := cluster.NewProcess(self.Name, filepath.Join(binDir, program), filepath.Join(dir, self.Name+".log"), "run", "-config", settings)
	return &instance{Instance: self, Process: p, settings: settings}
}

func (d *deployment) instances() []*instance {
	return append(append([]*instance(nil), d.controls...), d.entries...)
}

func names(instances []*instance) []string {
	var out []string
	for _, i := range instances {
		out = append(out, i.Instance.Name)
	}
	return out
}

// start starts all processes, relays and targets.
func (d *deployment) start() error {
	for _, i := range d.instances() {
		if err := i.Start(); err != nil {
			return err
		}
	}
	for _, e := range d.entries {
		l, err := net.Listen("tcp", e.IP+":0")
		if err != nil {
			return err
		}
		e.relay = netfault.NewRelay(l, e.CallersAddress())
	}
	for range d.size.Targets {
		if _, err := d.addTarget(); err != nil {
			return err
		}
	}
	return nil
}

// addTarget starts one more target.
func (d *deployment) addTarget() (*target, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.started
	d.started++
	service := plainService
	if n%2 == 0 {
		service = modelService
	}
	t, err := startTarget(fmt.Sprintf("target-%d", n+1), service, places[(n/2)%len(places)].domain, fmt.Sprintf("%s.%d", d.network, targetHost), d.ledger, d.calls)
	if err == nil {
		d.targets = append(d.targets, t)
	}
	return t, err
}

// takeTarget removes a target from the list and returns it.
func (d *deployment) takeTarget(n int) *target {
	d.mu.Lock()
	defer d.mu.Unlock()
	i := n % len(d.targets)
	t := d.targets[i]
	d.targets = append(d.targets[:i:i], d.targets[i+1:]...)
	return t
}

func (d *deployment) targetAt(n int) *target {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.targets[n%len(d.targets)]
}

// dial connects a caller to an entry instance through its relay.
func (d *deployment) dial(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	for _, e := range d.entries {
		if e.CallersAddress() == address {
			return dialer.DialContext(ctx, "tcp", e.relay.Address())
		}
	}
	return nil, fmt.Errorf("no entry instance has the address %q", address)
}

// probeTimeout bounds one request that only asks whether an instance serves.
const probeTimeout = 500 * time.Millisecond

// serves reports whether an entry instance serves a write.
func (d *deployment) serves(e *instance, key string) bool {
	c := &caller{name: fmt.Sprintf("probe-%s-%d", e.Instance.Name, time.Now().UnixNano())}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: probeTimeout}
	o := &outcome{id: c.name, path: writePath, entry: e.CallersAddress(), key: key}
	c.request(client, o)
	return o.whole
}

// awaitService waits until every entry instance serves.
func (d *deployment) awaitService(ctx context.Context, key string) error {
	for _, e := range d.entries {
		if err := cluster.WaitUntil(ctx, e.Instance.Name+" to serve", func() bool { return d.serves(e, key) }); err != nil {
			return err
		}
	}
	return nil
}

// stop ends all that was started.
func (d *deployment) stop() error {
	var failed error
	for _, i := range d.instances() {
		i.setEnding(true)
		i.Continue()
		i.Kill()
		if i.relay != nil {
			failed = errors.Join(failed, i.relay.Close())
		}
	}
	for _, t := range d.targets {
		t.crash()
	}
	return failed
}
