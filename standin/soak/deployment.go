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

// Size is the number of processes and targets in a deployment.
type Size struct {
	Controls int
	Entries  int
	Targets  int // every second target serves the model, the others the plain service
}

// DefaultSize is the size used by the tests and by default on the command line.
var DefaultSize = Size{Controls: 5, Entries: 6, Targets: 8}

// tolerableFailures returns how many control instances may fail at once without
// losing the quorum.
func (s Size) tolerableFailures() int { return (s.Controls - 1) / 2 }

// seedControlCount is the number of control instances listed in the settings.
const seedControlCount = 3

// Last octets of the loopback addresses of the instances and targets. The instances
// of each role have consecutive octets, starting with the first octet of the role.
const (
	firstControlOctet = 1
	firstEntryOctet   = 20
	targetOctet       = 250 // last octet shared by all targets, which differ by port
	maxControls       = firstEntryOctet - firstControlOctet
	maxEntries        = targetOctet - firstEntryOctet
)

// NetworkPrefix returns the first three octets of the loopback addresses of the
// n-th concurrent deployment of this process. They are derived from the process
// id, so concurrent processes rarely share a prefix.
func NetworkPrefix(n int) string { return fmt.Sprintf("127.%d.%d", 10+os.Getpid()%200, n) }

// location is a failure domain and its region.
type location struct{ domain, region string }

var locations = []location{{"north-a", "north"}, {"north-b", "north"}, {"south-a", "south"}}

// Names in the routing manifest.
const (
	manifestHost = "soak.test"
	readPath     = "/lots/"
	writePath    = "/bids/"
	streamPath   = "/appraisals/" // streams that may be resumed
	movedPath    = "/tales/"      // streams that may not, whose runs are moved
	plainService = "core"
	modelService = "model"
)

var paths = []string{readPath, writePath, writePath, streamPath, movedPath}

// instance is one control or entry process of the system under test.
type instance struct {
	platformtest.Instance
	*cluster.Process
	settings string
	// relay proxies callers' connections to an entry instance; nil for a control instance.
	relay *netfault.Relay

	mu sync.Mutex
	// expectedExit is set while the soak test stops the process on purpose.
	expectedExit bool
	claimed      bool // whether an active fault has claimed the process; at most one fault claims it at a time
}

// tryClaim claims the instance for a fault, or returns false if another fault
// has claimed it.
func (i *instance) tryClaim() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.claimed {
		return false
	}
	i.claimed = true
	return true
}

func (i *instance) release() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.claimed = false
}

func (i *instance) setExpectedExit(expected bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.expectedExit = expected
}

// exitedUnexpectedly reports whether the process has exited without having been
// stopped by the soak test.
func (i *instance) exitedUnexpectedly() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return !i.expectedExit && !i.Running()
}

// deployment is the system under test together with its targets.
type deployment struct {
	controls      []*instance
	entries       []*instance
	client        *platformtest.Client
	executionLog  *executionLog
	size          Size
	dir           string // directory of the deployment's files
	networkPrefix string // first three octets of the addresses of all processes and targets
	// crashesOn is passed to each target that starts; nil if no request crashes targets.
	crashesOn func(t *target, body []byte) bool
	// versionOf returns the software version of the n-th target; nil if targets have none.
	versionOf func(n int) string
	// misbehavior is that of all targets; nil if they keep to the protocol.
	misbehavior misbehavior
	copies      *runCopies

	mu             sync.Mutex
	targets        []*target
	startedTargets int // number of targets started so far; makes their names unique
}

// newDeployment returns a deployment and writes its settings files. It starts no
// process. Each instance has its own loopback address in 127.x.y.0/24.
func newDeployment(o Options, dir string) (*deployment, error) {
	if o.Size.Controls < seedControlCount || o.Size.Controls > maxControls || o.Size.Entries > maxEntries {
		return nil, fmt.Errorf("a deployment has %d to %d control and up to %d entry instances", seedControlCount, maxControls, maxEntries)
	}
	d := &deployment{size: o.Size, dir: dir, networkPrefix: o.NetworkPrefix, executionLog: &executionLog{statuses: map[answerStatus]bool{}}, crashesOn: o.crashesOn, versionOf: o.versionOf, misbehavior: o.misbehavior, copies: &runCopies{byName: map[string]*runCopy{}}}
	var seeds []platformtest.Instance
	for i := range o.Size.Controls {
		p := locations[i%len(locations)]
		c := platformtest.Instance{
			Name: fmt.Sprintf("control-%d", i+1), IP: fmt.Sprintf("%s.%d", o.NetworkPrefix, firstControlOctet+i), FailureDomain: p.domain, Region: p.region,
			Control: true, DataDir: filepath.Join(dir, fmt.Sprintf("control-%d.data", i+1)),
		}
		d.controls = append(d.controls, newInstance(c, o.BinDir, dir, "platform-control"))
		seeds = append(seeds, c)
	}
	for i := range o.Size.Entries {
		p := locations[i%len(locations)]
		e := platformtest.Instance{
			Name: fmt.Sprintf("entry-%d", i+1), IP: fmt.Sprintf("%s.%d", o.NetworkPrefix, firstEntryOctet+i), FailureDomain: p.domain, Region: p.region,
			RetrySlack: o.retrySlack,
		}
		d.entries = append(d.entries, newInstance(e, o.BinDir, dir, "platform-entry"))
	}
	d.client = &platformtest.Client{Controls: seeds, HTTP: &http.Client{}}
	return d, d.writeSettings(true)
}

// writeSettings writes the settings file of each instance. firstStart says
// whether the processes start for the first time.
func (d *deployment) writeSettings(firstStart bool) error {
	regions := map[string]string{}
	for _, p := range locations {
		regions[p.domain] = p.region
	}
	for _, i := range d.instances() {
		if err := i.WriteSettings(i.settings, regions, d.client.Controls[:seedControlCount], firstStart); err != nil {
			return err
		}
	}
	return nil
}

// writeRestartSettings rewrites the settings files so that later starts are not
// treated as first starts.
func (d *deployment) writeRestartSettings() error { return d.writeSettings(false) }

func newInstance(spec platformtest.Instance, binDir, dir, program string) *instance {
	settings := filepath.Join(dir, spec.Name+".toml")
	p := cluster.NewProcess(spec.Name, filepath.Join(binDir, program), filepath.Join(dir, spec.Name+".log"), "run", "-config", settings)
	return &instance{Instance: spec, Process: p, settings: settings}
}

func (d *deployment) instances() []*instance {
	return append(append([]*instance(nil), d.controls...), d.entries...)
}

func instanceNames(instances []*instance) []string {
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
		e.relay = netfault.NewRelay(l, e.CallerAddress())
	}
	for range d.size.Targets {
		if _, err := d.addTarget(); err != nil {
			return err
		}
	}
	return nil
}

// addTarget starts one more target, of each service in turn.
func (d *deployment) addTarget() (*target, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	service := plainService
	if d.startedTargets%2 == 0 {
		service = modelService
	}
	return d.addTargetOf(service)
}

// addTargetOf starts one more target of a service. The caller holds d.mu.
func (d *deployment) addTargetOf(service string) (*target, error) {
	n := d.startedTargets
	d.startedTargets++
	version := ""
	if d.versionOf != nil {
		version = d.versionOf(n)
	}
	self := platformtest.Target{
		ID: fmt.Sprintf("target-%d", n+1), Service: service, FailureDomain: locations[(n/2)%len(locations)].domain,
		Slots: targetSlots, Incarnation: time.Now(), Version: version,
	}
	t, err := d.startTarget(self, fmt.Sprintf("%s.%d", d.networkPrefix, targetOctet))
	if err == nil {
		d.targets = append(d.targets, t)
	}
	return t, err
}

// removeTarget removes target n, modulo the number of targets, from the list and
// returns it. It does not stop the target.
func (d *deployment) removeTarget(n int) *target {
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

// dial connects to the entry instance with the given address through its relay.
func (d *deployment) dial(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	for _, e := range d.entries {
		if e.CallerAddress() == address {
			return dialer.DialContext(ctx, "tcp", e.relay.Address())
		}
	}
	return nil, fmt.Errorf("no entry instance has the address %q", address)
}

// probeTimeout limits one probe request that checks whether an instance serves.
const probeTimeout = 500 * time.Millisecond

// serves reports whether an entry instance completes a protected write.
func (d *deployment) serves(e *instance, key string) bool {
	c := &caller{name: fmt.Sprintf("probe-%s-%d", e.Instance.Name, time.Now().UnixNano())}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: probeTimeout}
	o := &outcome{id: c.name, path: writePath, entry: e.CallerAddress(), key: key}
	c.send(client, o)
	return o.complete
}

// awaitService waits until every entry instance completes a protected write.
func (d *deployment) awaitService(ctx context.Context, key string) error {
	for _, e := range d.entries {
		if err := cluster.WaitUntil(ctx, e.Instance.Name+" to serve", func() bool { return d.serves(e, key) }); err != nil {
			return err
		}
	}
	return nil
}

// stop kills all processes, including frozen ones, and closes all relays and
// targets.
func (d *deployment) stop() error {
	var failed error
	for _, i := range d.instances() {
		i.setExpectedExit(true)
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
