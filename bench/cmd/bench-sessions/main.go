// Command bench-sessions measures the load that many entry sessions put on the
// control group: the time until a settings change is in force, CPU time and
// bytes per renewal, and lapsed leases while control instances fail.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/uber-go/tally/v4"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/operator"
	"github.com/endivetrack/endivetrack/internal/peerauth"
	"github.com/endivetrack/endivetrack/internal/session"
	"github.com/endivetrack/endivetrack/standin/cluster"
)

func main() {
	sessions := flag.Int("sessions", 370, "number of entry sessions, all run in this process")
	controls := flag.Int("controls", 3, "number of control instances")
	changes := flag.Int("changes", 30, "number of settings changes")
	accounts := flag.Int("accounts", 10, "number of client accounts in the settings")
	bin := flag.String("bin", "bin", "directory of the programs, which must be built with -tags faultinjection")
	kill := flag.Bool("kill", false, "kill and restart the leader, then freeze it")
	flag.Parse()
	if err := run(*sessions, *controls, *changes, *accounts, *bin, *kill); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// fleet holds the sessions of all entry instances and counts the bytes on their
// connections.
type fleet struct {
	sessions  []*session.Session
	metrics   tally.TestScope
	connBytes atomic.Int64
}

func run(sessions, controls, changes, accounts int, bin string, kill bool) error {
	dir, err := os.MkdirTemp("", "bench-sessions")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
	defer cancel()
	c, err := cluster.New(cluster.Options{BinDir: bin, Dir: dir, Controls: controls, Accounts: accounts})
	if err != nil {
		return err
	}
	defer func() {
		for _, p := range c.All() {
			p.Kill()
		}
	}()
	if err := c.Start(ctx); err != nil {
		return err
	}
	op, err := c.OpenOperator()
	if err != nil {
		return err
	}
	f, wait, err := startFleet(ctx, c, sessions)
	if err != nil {
		return err
	}
	defer wait()
	defer cancel()
	if err := f.measureRenewalsAndChanges(ctx, c, op, changes); err != nil {
		return err
	}
	if kill {
		return f.measureLeaderFailures(ctx, c, op)
	}
	return nil
}

// startFleet opens n sessions and waits until all hold a valid freshness lease.
// The returned function waits until the sessions have ended, which they do when
// ctx is cancelled.
func startFleet(ctx context.Context, c *cluster.Cluster, n int) (*fleet, func(), error) {
	key, err := os.ReadFile(filepath.Join(c.Dir, "peer.key"))
	if err != nil {
		return nil, nil, err
	}
	var addresses []string
	for _, p := range c.Controls {
		addresses = append(addresses, p.Address)
	}
	f := &fleet{metrics: tally.NewTestScope("", nil)}
	var wg sync.WaitGroup
	for i := range n {
		location := cluster.Locations[i%len(cluster.Locations)]
		s := session.New(session.Config{
			Instance: &api.Instance{
				Name: fmt.Sprintf("entry-%03d", i), Incarnation: "1", Region: location.Region,
				FailureDomain: location.FailureDomain, Address: fmt.Sprintf("127.0.0.1:%d", 20000+i),
			},
			ControlAddresses: addresses,
			PeerClient:       f.newClient(strings.TrimSpace(string(key))),
			Metrics:          f.metrics,
		})
		f.sessions = append(f.sessions, s)
		wg.Go(func() { s.Run(ctx) })
	}
	start := time.Now()
	err = cluster.WaitUntil(ctx, "sessions", func() bool { return f.countFresh() == n })
	fmt.Printf("sessions=%d open_s=%.2f\n", n, time.Since(start).Seconds())
	return f, wg.Wait, err
}

// newClient returns the HTTP client of one entry instance, which counts the bytes
// on its connections.
func (f *fleet) newClient(key string) *http.Client {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, address)
		return countingConn{c, &f.connBytes}, err
	}
	return &http.Client{Transport: peerauth.Transport(key, &http.Transport{DialContext: dial})}
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// countFresh returns how many sessions hold a valid freshness lease.
func (f *fleet) countFresh() int {
	n := 0
	for _, s := range f.sessions {
		if s.Fresh() {
			n++
		}
	}
	return n
}

// counterValue returns the value of a counter without tags, or 0 if it does not
// exist.
func (f *fleet) counterValue(name string) int64 {
	if c := f.metrics.Snapshot().Counters()[name+"+"]; c != nil {
		return c.Value()
	}
	return 0
}

// measureRenewalsAndChanges measures session renewals while the settings do not
// change, then applies and measures settings changes, and prints the results.
func (f *fleet) measureRenewalsAndChanges(ctx context.Context, c *cluster.Cluster, op *operator.Operator, changes int) error {
	const steadyPeriod = 10 * time.Second
	time.Sleep(8 * time.Second) // by then the shard assignments no longer change
	renewals, bytes, cpu := f.counterValue("session_renewals"), f.connBytes.Load(), cpuSeconds(c)
	time.Sleep(steadyPeriod)
	renewals, bytes, cpu = f.counterValue("session_renewals")-renewals, f.connBytes.Load()-bytes, cpuSeconds(c)-cpu
	n := float64(len(f.sessions))
	fmt.Printf("steady renewals_per_s=%.0f bytes_per_renewal=%.0f bytes_per_s_per_session=%.0f control_cpu_us_per_renewal=%.0f control_cores=%.3f\n",
		float64(renewals)/steadyPeriod.Seconds(), float64(bytes)/float64(renewals), float64(bytes)/steadyPeriod.Seconds()/n,
		cpu/float64(renewals)*1e6, cpu/steadyPeriod.Seconds())

	inForce, accepted := hdrhistogram.New(1, 60_000_000, 3), hdrhistogram.New(1, 60_000_000, 3)
	bytes, cpu = f.connBytes.Load(), cpuSeconds(c)
	settingsBytes := 0
	changesStart := time.Now()
	for i := range changes {
		text := fmt.Appendf([]byte(c.SettingsText()), "# change %d\n", i)
		settingsBytes = len(text)
		start := time.Now()
		resp, err := op.Apply(ctx, operator.Change{Team: cluster.Team, ExpectedRevision: c.Revision() + uint64(i), ID: fmt.Sprint("bench-", i), TOML: text})
		if err != nil {
			return err
		}
		_ = accepted.RecordValue(time.Since(start).Microseconds())
		f.recordInForce(ctx, resp.GetRevision(), start, inForce)
	}
	elapsed := time.Since(changesStart)
	fmt.Printf("changes=%d settings_bytes=%d accepted_ms p50=%.1f p99=%.1f max=%.1f in_force_ms p50=%.1f p99=%.1f max=%.1f bytes_per_change_per_session=%.0f control_cpu_ms_per_change=%.1f\n",
		changes, settingsBytes, milliseconds(accepted, 50), milliseconds(accepted, 99), milliseconds(accepted, 100), milliseconds(inForce, 50), milliseconds(inForce, 99), milliseconds(inForce, 100),
		float64(f.connBytes.Load()-bytes)/n/float64(changes), (cpuSeconds(c)-cpu)*1e3/float64(changes))
	fmt.Printf("elapsed_s=%.1f lapses=%d violations=%d\n", elapsed.Seconds(), f.counterValue("session_lease_lapses"), f.counterValue("invariant_violations"))
	return nil
}

// recordInForce waits until every session has the settings revision. It records
// in h, for each session, the time from start until the session had it.
func (f *fleet) recordInForce(ctx context.Context, revision uint64, start time.Time, h *hdrhistogram.Histogram) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, s := range f.sessions {
		wg.Go(func() {
			for {
				changed := s.Changed()
				if s.View().Teams[cluster.Team].Revision >= revision {
					break
				}
				select {
				case <-changed:
				case <-ctx.Done():
					return
				}
			}
			mu.Lock()
			defer mu.Unlock()
			_ = h.RecordValue(time.Since(start).Microseconds())
		})
	}
	wg.Wait()
}

// measureLeaderFailures kills and restarts the leader, then freezes and resumes
// the next one, and prints how many sessions kept a valid lease and how many
// leases lapsed.
func (f *fleet) measureLeaderFailures(ctx context.Context, c *cluster.Cluster, op *operator.Operator) error {
	for _, fault := range []string{"kill", "freeze"} {
		status, err := op.Status(ctx)
		if err != nil {
			return err
		}
		for _, p := range c.Controls {
			if p.Name != status.GetLeader() {
				continue
			}
			if fault == "kill" {
				p.Kill()
			} else {
				p.Freeze()
			}
			minFresh, end := len(f.sessions), time.Now().Add(6*time.Second)
			for time.Now().Before(end) {
				minFresh = min(minFresh, f.countFresh())
				time.Sleep(5 * time.Millisecond)
			}
			fmt.Printf("%s leader: fresh sessions at least %d of %d, after 6 s %d, lapses=%d reopened=%d\n",
				fault, minFresh, len(f.sessions), f.countFresh(), f.counterValue("session_lease_lapses"), f.counterValue("session_opened")-int64(len(f.sessions)))
			if fault == "kill" {
				if err := p.Start(); err != nil {
					return err
				}
			} else {
				p.Continue()
			}
			time.Sleep(3 * time.Second)
		}
	}
	return nil
}

// milliseconds returns a percentile, in milliseconds, of a histogram of
// microseconds.
func milliseconds(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / 1000
}

// cpuSeconds returns the processor time that the running control instances have
// used so far.
func cpuSeconds(c *cluster.Cluster) float64 {
	const ticksPerSecond = 100
	total := 0.0
	for _, p := range c.Controls {
		b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
		if err != nil {
			continue
		}
		fields := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:]))
		var user, system float64
		_, _ = fmt.Sscan(fields[11], &user)
		_, _ = fmt.Sscan(fields[12], &system)
		total += (user + system) / ticksPerSecond
	}
	return total
}
