package cluster

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/endivetrack/endivetrack/internal/peerauth"
)

// Names in the settings of a deployment: team, services, model and classes.
const (
	Team          = "balle-sahel"
	EngineService = "assistant-llm"
	PlainService  = "auction-core"
	Model         = "appraiser"
	ShortClass    = "check"
	LongClass     = "appraisal"
)

// Location is a failure domain and its region.
type Location struct {
	FailureDomain string
	Region        string
}

// Locations are the failure domains of every deployment.
var Locations = []Location{{"dakar-a", "dakar"}, {"dakar-b", "dakar"}, {"kaolack-a", "kaolack"}}

// Options configures a deployment. Processes of each kind are assigned to Locations
// round-robin.
type Options struct {
	BinDir   string
	Dir      string // directory for the processes' configuration, data, logs and events
	Controls int
	Entries  int
	Engines  int
	Services int
	Accounts int
	// EngineFlags are additional command line flags of each engine.
	EngineFlags []string
}

// Cluster is a deployment of control and entry instances and stand-in targets,
// each a process on loopback. Methods that change settings must not be called
// concurrently.
type Cluster struct {
	Controls []*Process
	Entries  []*Process
	Engines  []*Process
	Services []*Process
	// AccountKeys are the API keys of the client accounts, in order.
	AccountKeys []string
	Dir         string

	options      Options
	operatorKey  string
	targetKey    string
	revision     uint64
	outOfService map[string]bool
}

// locationOf returns the location of the i-th process of a kind.
func locationOf(i int) Location { return Locations[i%len(Locations)] }

// New writes the configuration and key files into o.Dir. It starts no process.
func New(o Options) (*Cluster, error) {
	c := &Cluster{
		Dir: o.Dir, options: o,
		operatorKey: peerauth.NewKey(), targetKey: peerauth.NewKey(),
		outOfService: map[string]bool{},
	}
	for range max(o.Accounts, 1) {
		c.AccountKeys = append(c.AccountKeys, peerauth.NewKey())
	}
	for file, key := range map[string]string{"peer.key": peerauth.NewKey(), "operator.key": c.operatorKey, "target.key": c.targetKey} {
		if err := c.writeFile(file, key+"\n"); err != nil {
			return nil, err
		}
	}
	addresses, err := freeAddresses(o.Controls + o.Entries + o.Engines + o.Services)
	if err != nil {
		return nil, err
	}
	nextAddress := func() string {
		a := addresses[0]
		addresses = addresses[1:]
		return a
	}
	for i := range o.Controls {
		c.Controls = append(c.Controls, c.newProcess("endivetrack-control", fmt.Sprintf("control-%d", i+1), nextAddress()))
	}
	for i := range o.Entries {
		c.Entries = append(c.Entries, c.newProcess("endivetrack-entry", fmt.Sprintf("entry-%d", i+1), nextAddress()))
	}
	for i := range o.Engines {
		c.Engines = append(c.Engines, c.newTarget("standin-engine", EngineService, fmt.Sprintf("engine-%02d", i+1), locationOf(i), nextAddress()))
	}
	for i := range o.Services {
		c.Services = append(c.Services, c.newTarget("standin-service", PlainService, fmt.Sprintf("service-%02d", i+1), locationOf(i), nextAddress()))
	}
	return c, c.writeConfigs()
}

func (c *Cluster) path(name string) string { return filepath.Join(c.Dir, name) }

func (c *Cluster) writeFile(name, text string) error {
	if err := os.MkdirAll(filepath.Dir(c.path(name)), 0o755); err != nil {
		return err
	}
	return os.WriteFile(c.path(name), []byte(text), 0o600)
}

func (c *Cluster) newProcess(program, name, address string) *Process {
	return &Process{
		Name: name, Address: address, binary: filepath.Join(c.options.BinDir, program),
		args:    []string{"run", "-config", c.path(name + ".toml")},
		logPath: c.path(name + ".log"),
	}
}

func (c *Cluster) newTarget(program, service, name string, p Location, address string) *Process {
	args := []string{
		"-team", Team, "-service", service, "-target", name, "-region", p.Region, "-failure-domain", p.FailureDomain,
		"-listen", address, "-entries", strings.Join(Addresses(c.entriesInRegion(p.Region)), ","),
		"-key-file", c.path("target.key"), "-journal", c.path(name + ".journal"),
	}
	if service == EngineService {
		args = append(append(args, "-models", Model), c.options.EngineFlags...)
	}
	return &Process{Name: name, Address: address, binary: filepath.Join(c.options.BinDir, program), args: args, logPath: c.path(name + ".log")}
}

func (c *Cluster) entriesInRegion(region string) []*Process {
	var out []*Process
	for i, e := range c.Entries {
		if locationOf(i).Region == region {
			out = append(out, e)
		}
	}
	return out
}

// Addresses returns the addresses of the given processes, in the same order.
func Addresses(ps []*Process) []string {
	out := make([]string, 0, len(ps))
	for _, p := range ps {
		out = append(out, p.Address)
	}
	return out
}

// DataDir returns the data directory of control instance i.
func (c *Cluster) DataDir(i int) string { return c.path(c.Controls[i].Name + ".data") }

func tomlStringArray(ss []string) string {
	out := make([]string, 0, len(ss))
	for _, s := range ss {
		out = append(out, fmt.Sprintf("%q", s))
	}
	return "[" + strings.Join(out, ", ") + "]"
}

func (c *Cluster) writeConfigs() error {
	for i, p := range c.Controls {
		if err := c.writeFile(p.Name+".toml", c.controlConfig(i, p)); err != nil {
			return err
		}
	}
	for i, p := range c.Entries {
		text := c.commonConfig(p, locationOf(i)) + fmt.Sprintf("control_addresses = %s\naddress_ttl_ms = 1000\n", tomlStringArray(Addresses(c.Controls)))
		if err := c.writeFile(p.Name+".toml", text); err != nil {
			return err
		}
	}
	return c.writeFile("endivectl.toml", fmt.Sprintf("control_addresses = %s\noperator_key_file = %q\n", tomlStringArray(Addresses(c.Controls)), c.path("operator.key")))
}

func (c *Cluster) commonConfig(p *Process, location Location) string {
	return fmt.Sprintf("name = %q\nregion = %q\nfailure_domain = %q\nlisten = %q\npeer_key_file = %q\nevents_dir = %q\n",
		p.Name, location.Region, location.FailureDomain, p.Address, c.path("peer.key"), c.path("events"))
}

func (c *Cluster) controlConfig(i int, p *Process) string {
	var b strings.Builder
	b.WriteString(c.commonConfig(p, locationOf(i)))
	fmt.Fprintf(&b, "data_dir = %q\n", c.DataDir(i))
	for _, m := range c.Controls {
		fmt.Fprintf(&b, "[[bootstrap]]\nname = %q\naddress = %q\n", m.Name, m.Address)
	}
	fmt.Fprintf(&b, "[[operators]]\nteam = %q\nkey_sha256 = [%q]\n", Team, peerauth.Digest(c.operatorKey))
	return b.String()
}

// SettingsText returns the team's settings as TOML, with the current service state
// of each failure domain.
func (c *Cluster) SettingsText() string {
	var b strings.Builder
	fmt.Fprintf(&b, "team = %q\noperator_key_sha256 = [%q]\n", Team, peerauth.Digest(c.operatorKey))
	for _, p := range Locations {
		fmt.Fprintf(&b, "[failure_domains.%s]\nregion = %q\nin_service = %t\n", p.FailureDomain, p.Region, !c.outOfService[p.FailureDomain])
	}
	digest := peerauth.Digest(c.targetKey)
	fmt.Fprintf(&b, "[services.%s]\nkind = \"engine\"\nmodels = [%q]\ntarget_key_sha256 = [%q]\n", EngineService, Model, digest)
	fmt.Fprintf(&b, "[services.%s]\nkind = \"plain\"\nprotected_paths = [\"/bids\", \"/payments\"]\ntarget_key_sha256 = [%q]\ncall_timeout_ms = 2000\n", PlainService, digest)
	fmt.Fprintf(&b, "[classes.%s]\npriority = 8\nshort = true\n[classes.%s]\npriority = 5\n", ShortClass, LongClass)
	for i, k := range c.AccountKeys {
		fmt.Fprintf(&b, "[accounts.account-%d]\nkey_sha256 = [%q]\ndefault_class = %q\nrate_per_second = 100000.0\nburst = 100000\nmax_in_flight = 100000\n",
			i+1, peerauth.Digest(k), LongClass)
	}
	return b.String()
}

// Instances returns the control and entry instances, without the stand-ins.
func (c *Cluster) Instances() []*Process {
	return slices.Concat(c.Controls, c.Entries)
}

// All returns all processes, including the stand-ins.
func (c *Cluster) All() []*Process {
	return slices.Concat(c.Controls, c.Entries, c.Engines, c.Services)
}

// Start starts all processes, applies the settings and waits until every entry
// instance serves. It fails early if a process exits.
func (c *Cluster) Start(ctx context.Context) error {
	for _, p := range c.All() {
		if err := p.Start(); err != nil {
			return err
		}
	}
	if err := c.ApplySettings(ctx); err != nil {
		return err
	}
	var ended *Process
	err := WaitUntil(ctx, "entry instances", func() bool {
		ended = c.exitedProcess()
		return ended != nil || c.countServing(ctx) == len(c.Entries)
	})
	if ended != nil {
		return fmt.Errorf("%s exited while the deployment started: %s", ended.Name, ended.LogTail(exitLogBytes))
	}
	return err
}

// exitLogBytes limits the part of an exited process's log that the error of Start
// quotes.
const exitLogBytes = 2 << 10

// exitedProcess returns a process that has exited, or nil if all are running.
func (c *Cluster) exitedProcess() *Process {
	for _, p := range c.All() {
		if !p.Running() {
			return p
		}
	}
	return nil
}

// countServing returns the number of entry instances that list the addresses of
// all entry instances.
func (c *Cluster) countServing(ctx context.Context) int {
	n := 0
	for _, e := range c.Entries {
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		var response struct {
			Addresses []struct{ Address string } `json:"addresses"`
		}
		if GetJSON(callCtx, "http://"+e.Address+"/v1/addresses", &response) == nil && len(response.Addresses) == len(c.Entries) {
			n++
		}
		cancel()
	}
	return n
}

// Stop kills all running processes and waits until they have exited.
func (c *Cluster) Stop() {
	for _, p := range c.All() {
		if p.Running() {
			p.Kill()
		}
	}
}
