// Package cluster starts the system's processes and the stand-ins on loopback
// for tests and measurements, and lets them fail: kill, freeze, lost disk,
// silent cuts and named fault points. Only tests and measuring programs use it.
package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Process is one started program. It is started, ended and started again by
// its own process id only.
type Process struct {
	Name    string
	Address string
	binary  string
	args    []string
	logPath string

	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{}
	exitErr error
	frozen  bool
}

// NewProcess describes a program to start; its output goes to logPath.
func NewProcess(name, binary, logPath string, args ...string) *Process {
	return &Process{Name: name, binary: binary, args: args, logPath: logPath}
}

// pollInterval is how often a condition is looked at again.
const pollInterval = 20 * time.Millisecond

// ruleTimeout bounds the setting of fault rules.
const faultRuleTimeout = time.Second

// Start starts the program; its output is appended to its log file.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(p.binary, p.args...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	done := make(chan struct{})
	p.cmd, p.done, p.frozen = cmd, done, false
	go func() {
		p.exitErr = cmd.Wait()
		close(done)
	}()
	return nil
}

// Signal sends a signal if the process still runs.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// Freeze stops the process without its noticing, until Continue.
func (p *Process) Freeze() { p.Signal(syscall.SIGSTOP) }

// Continue lets a frozen process run on.
func (p *Process) Continue() { p.Signal(syscall.SIGCONT) }

// Kill ends the process at once and waits until it is gone.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.Done()
}

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.done == nil {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	return p.done
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.Done():
		return false
	default:
		return true
	}
}

// PID returns the process id, or 0.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Log returns the end of the process's output.
func (p *Process) LogTail(maxBytes int) string {
	b, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	return string(b[max(0, len(b)-maxBytes):])
}

// Rule is one rule of the fault injection of test builds.
type FaultRule struct {
	Prefix  string `json:"prefix"`
	Action  string `json:"action"`
	Skip    int    `json:"skip"`
	Times   int    `json:"times"`
	DelayMS int    `json:"delay_ms"`
}

// FaultState is what the fault injection has counted.
type FaultState struct {
	Hits  map[string]int `json:"hits"`
	Fired int            `json:"fired"`
}

// SetRules replaces the process's fault rules. A frozen process fails the call.
func (p *Process) SetFaultRules(ctx context.Context, rules ...FaultRule) error {
	ctx, cancel := context.WithTimeout(ctx, faultRuleTimeout)
	defer cancel()
	if rules == nil {
		rules = []FaultRule{}
	}
	body, err := json.Marshal(rules)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+p.Address+"/faults", bytes.NewReader(body))
	if err != nil {
		return err
	}
	return doJSON(req, nil)
}

// FaultCounts returns the process's fault point counts.
func (p *Process) FaultCounts(ctx context.Context) (FaultState, error) {
	var s FaultState
	return s, GetJSON(ctx, "http://"+p.Address+"/faults", &s)
}

// GetJSON fetches and decodes a JSON document.
func GetJSON(ctx context.Context, url string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	return doJSON(req, out)
}

func doJSON(req *http.Request, out any) error {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 1024))
		return fmt.Errorf("%s: %s: %s", req.URL.Path, resp.Status, text)
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(out)
}

// WaitUntil polls ok until it returns true or the context ends.
func WaitUntil(ctx context.Context, what string, ok func() bool) error {
	for {
		if ok() {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("waiting for %s: %w", what, ctx.Err())
		case <-time.After(pollInterval):
		}
	}
}

// Ports of the processes. They lie below the range from which the kernel takes
// the ports of outgoing connections: one of those may take a port that was free
// just now, and the process that was to listen there ends at its start.
const (
	firstPort = 20_000
	lastPort  = 32_000
	portTries = 1000
)

var (
	portsMu   sync.Mutex
	usedPorts = map[int]bool{} // handed out by this process
)

// freeAddresses returns n loopback addresses whose ports are free.
func freeAddresses(n int) ([]string, error) {
	portsMu.Lock()
	defer portsMu.Unlock()
	out := make([]string, 0, n)
	for range portTries {
		if len(out) == n {
			return out, nil
		}
		port := firstPort + rand.IntN(lastPort-firstPort)
		if usedPorts[port] {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		if err := l.Close(); err != nil {
			return nil, err
		}
		usedPorts[port] = true
		out = append(out, address)
	}
	return nil, errors.New("no free ports")
}

// Build compiles the system's programs and the stand-ins into dir, with fault
// injection.
func Build(ctx context.Context, root, dir string) error {
	cmd := exec.CommandContext(ctx, "go", "build", "-tags", "faultinjection", "-o", dir+string(filepath.Separator), "./cmd/...", "./standin/cmd/...")
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("build: %w\n%s", err, out)
	}
	return nil
}
