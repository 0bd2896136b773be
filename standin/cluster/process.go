// Package cluster starts the system's processes and the stand-ins on loopback and
// injects failures: kills, freezes, lost disks, silent network cuts and named fault
// points, which are places in a program at which a fault can be injected. Only tests
// and measurement programs use it.
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

// Process runs a program as a child process, which can be restarted. Signals are
// sent only to the process id that Process started.
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

// NewProcess returns a Process that is not yet started. The output of the program
// is appended to logPath.
func NewProcess(name, binary, logPath string, args ...string) *Process {
	return &Process{Name: name, binary: binary, args: args, logPath: logPath}
}

// pollInterval is the interval at which WaitUntil checks its condition.
const pollInterval = 20 * time.Millisecond

// faultRuleTimeout limits one call that sets fault rules.
const faultRuleTimeout = time.Second

// Start starts the program. The previous run, if any, must have exited.
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

// Signal sends a signal to the process. It does nothing if the process was never
// started or has exited.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// Freeze suspends the process with SIGSTOP until Continue is called. The process
// cannot detect this.
func (p *Process) Freeze() { p.Signal(syscall.SIGSTOP) }

// Continue resumes a frozen process with SIGCONT.
func (p *Process) Continue() { p.Signal(syscall.SIGCONT) }

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.Done()
}

// Done returns a channel that is closed when the current run of the process has
// exited. It is already closed if the process was never started.
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

// Running reports whether the process was started and has not exited. A frozen
// process is running.
func (p *Process) Running() bool {
	select {
	case <-p.Done():
		return false
	default:
		return true
	}
}

// PID returns the process id of the latest run, or 0 if there was none.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// LogTail returns at most the last maxBytes bytes of the process's log, or the
// error that occurred when reading it.
func (p *Process) LogTail(maxBytes int) string {
	b, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	return string(b[max(0, len(b)-maxBytes):])
}

// FaultRule is a fault injection rule of a program built with fault injection: it
// applies Action at the fault points whose names start with Prefix, after Skip
// passes and, unless Times is 0, at most Times times.
type FaultRule struct {
	Prefix  string `json:"prefix"`
	Action  string `json:"action"`
	Skip    int    `json:"skip"`
	Times   int    `json:"times"`
	DelayMS int    `json:"delay_ms"`
}

// FaultState counts how often each fault point was passed (Hits) and how often a
// fault rule was applied at any of them (Fired).
type FaultState struct {
	Hits  map[string]int `json:"hits"`
	Fired int            `json:"fired"`
}

// SetFaultRules replaces the fault rules of the process. It fails if the process
// does not respond within faultRuleTimeout, for example because it is frozen.
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

// FaultCounts fetches the fault point counts of the process.
func (p *Process) FaultCounts(ctx context.Context) (FaultState, error) {
	var s FaultState
	return s, GetJSON(ctx, "http://"+p.Address+"/faults", &s)
}

// GetJSON fetches url and decodes the JSON response into out. It fails for a
// status other than 2xx.
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

// WaitUntil polls ok until it returns true. If ctx is done before, it returns an
// error that quotes what, the description of the awaited event.
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

// Ports of the processes are below the kernel's ephemeral port range. Otherwise
// an outgoing connection could take a port between freeAddresses and the start of
// the process that is to listen on it, and the process would exit.
const (
	firstPort = 20_000
	lastPort  = 32_000
	portTries = 1000
)

var (
	portsMu   sync.Mutex
	usedPorts = map[int]bool{} // ports that freeAddresses has already assigned
)

// freeAddresses returns n loopback addresses with currently free ports that this
// process has not assigned before.
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

// Build compiles the system's programs and the stand-ins of the module at root
// into dir, with the build tag faultinjection.
func Build(ctx context.Context, root, dir string) error {
	cmd := exec.CommandContext(ctx, "go", "build", "-tags", "faultinjection", "-o", dir+string(filepath.Separator), "./cmd/...", "./standin/cmd/...")
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("build: %w\n%s", err, out)
	}
	return nil
}
