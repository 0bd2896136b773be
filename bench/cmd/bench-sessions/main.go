// Command bench-sessions measures what many sessions cost the control group:
// time until a change of settings is in force, CPU and bytes per renewal, and
// lapses of leases while control instances fail.
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
	sessions := flag.Int("sessions", 370, "entry instances, all in this process")
	controls := flag.Int("controls", 3, "control instances")
	changes := flag.Int("changes", 30, "changes of settings")
	accounts := flag.Int("accounts", 10, "client accounts in the settings")
	bin := flag.String("bin", "bin", "folder of the programs, built with -tags faultinjection")
	kill := flag.Bool("kill", false, "kill and restart the leader, then freeze it")
	flag.Parse()
	if err := run(*sessions, *controls, *changes, *accounts, *bin, *kill); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// fleet is the entry instances' sessions with the bytes of their connections.
type fleet struct {
	sessions []*session.Session
	metrics  tally.TestScope
	bytes    atomic.Int64
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
	op, err := c.Operator()
	if err != nil {
		return err
	}
	f, wait, err := startFleet(ctx, c, sessions)
	if err != nil {
		return err
	}
	defer wait()
	defer cancel()
	if err := f.report(ctx, c, op, changes); err != nil {
		return err
	}
	if kill {
		return f.fail(ctx, c, op)
	}
	return nil
}

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
		place := cluster.Places[i%len(cluster.Places)]
		s := session.New(session.Config{
			Instance: &api.Instance{
				Name: fmt.Sprintf("entry-%03d", i), Incarnation: "1", Region: place.Region,
				FailureDomain: place.FailureDomain, Address: fmt.Sprintf("127.0.0.1:%d", 20000+i),
			},
			ControlAddresses: addresses,
			Peers:            f.client(strings.TrimSpace(string(key))),
			Metrics:          f.metrics,
		})
		f.sessions = append(f.sessions, s)
		wg.Go(func() { s.Run(ctx) })
	}
	start := time.Now()
	err = cluster.WaitUntil(ctx, "sessions", func() bool { return f.fresh() == n })
	fmt.Printf("sessions=%d open_s=%.2f\n", n, time.Since(start).Seconds())
	return f, wg.Wait, err
}

// client is one entry instance's HTTP client; its connections are counted.
func (f *fleet) client(key string) *http.Client {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, address)
		return countedConn{c, &f.bytes}, err
	}
	return &http.Client{Transport: peerauth.Transport(key, &http.Transport{DialContext: dial})}
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (f *fleet) fresh() int {
	n := 0
	for _, s := range f.sessions {
		if s.Fresh() {
			n++
		}
	}
	return n
}

func (f *fleet) counter(name string) int64 {
	if c := f.metrics.Snapshot().Counters()[name+"+"]; c != nil {
		return c.Value()
	}
	return 0
}

// report measures steady renewals and changes of settings.
func (f *fleet) report(ctx context.Context, c *cluster.Cluster, op *operator.Operator, changes int) error {
	const steady = 10 * time.Second
	time.Sleep(8 * time.Second) // shards settle
	renewals, bytes, cpu := f.counter("session_renewals"), f.bytes.Load(), cpuSeconds(c)
	time.Sleep(steady)
	renewals, bytes, cpu = f.counter("session_renewals")-renewals, f.bytes.Load()-bytes, cpuSeconds(c)-cpu
	n := float64(len(f.sessions))
	fmt.Printf("steady renewals_per_s=%.0f bytes_per_renewal=%.0f bytes_per_s_per_session=%.0f control_cpu_us_per_renewal=%.0f control_cores=%.3f\n",
		float64(renewals)/steady.Seconds(), float64(bytes)/float64(renewals), float64(bytes)/steady.Seconds()/n,
		cpu/float64(renewals)*1e6, cpu/steady.Seconds())

	inForce, accepted := hdrhistogram.New(1, 60_000_000, 3), hdrhistogram.New(1, 60_000_000, 3)
	bytes, cpu = f.bytes.Load(), cpuSeconds(c)
	size := 0
	begun := time.Now()
	for i := range changes {
		text := fmt.Appendf([]byte(c.SettingsText()), "# change %d\n", i)
		size = len(text)
		start := time.Now()
		resp, err := op.Apply(ctx, operator.Change{Team: cluster.Team, ExpectedRevision: c.Revision() + uint64(i), ID: fmt.Sprint("bench-", i), TOML: text})
		if err != nil {
			return err
		}
		_ = accepted.RecordValue(time.Since(start).Microseconds())
		f.awaitRevision(ctx, resp.GetRevision(), start, inForce)
	}
	elapsed := time.Since(begun)
	fmt.Printf("changes=%d settings_bytes=%d accepted_ms p50=%.1f p99=%.1f max=%.1f in_force_ms p50=%.1f p99=%.1f max=%.1f bytes_per_change_per_session=%.0f control_cpu_ms_per_change=%.1f\n",
		changes, size, ms(accepted, 50), ms(accepted, 99), ms(accepted, 100), ms(inForce, 50), ms(inForce, 99), ms(inForce, 100),
		float64(f.bytes.Load()-bytes)/n/float64(changes), (cpuSeconds(c)-cpu)*1e3/float64(changes))
	fmt.Printf("elapsed_s=%.1f lapses=%d violations=%d\n", elapsed.Seconds(), f.counter("session_lease_lapses"), f.counter("invariant_violations"))
	return nil
}

// awaitRevision records for each session when it showed the revision.
func (f *fleet) awaitRevision(ctx context.Context, revision uint64, start time.Time, h *hdrhistogram.Histogram) {
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

// fail kills the leader, then freezes the next one, and counts the sessions
// whose lease lapsed.
func (f *fleet) fail(ctx context.Context, c *cluster.Cluster, op *operator.Operator) error {
	for _, how := range []string{"kill", "freeze"} {
		s, err := op.Status(ctx)
		if err != nil {
			return err
		}
		for _, p := range c.Controls {
			if p.Name != s.GetLeader() {
				continue
			}
			if how == "kill" {
				p.Kill()
			} else {
				p.Freeze()
			}
			lowest, end := len(f.sessions), time.Now().Add(6*time.Second)
			for time.Now().Before(end) {
				lowest = min(lowest, f.fresh())
				time.Sleep(5 * time.Millisecond)
			}
			fmt.Printf("%s leader: fresh sessions at least %d of %d, after 6 s %d, lapses=%d reopened=%d\n",
				how, lowest, len(f.sessions), f.fresh(), f.counter("session_lease_lapses"), f.counter("session_opened")-int64(len(f.sessions)))
			if how == "kill" {
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

func ms(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }

// cpuSeconds is the processor time of all control instances so far.
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
