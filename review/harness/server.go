package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// serverSpec describes a stand-in server of a service. It is a process of its own.
type serverSpec struct {
	ID, Service, Zone, Address string
	Slots                      int
	Controls                   []string // the operator's list: control addresses
	Log                        string
	WorkMs                     int
	Events, EventMs            int  // of streams
	Unframed                   bool // answers have neither a length nor chunks and end with their channel
	BeginMs                    int  // time until a server begins to write an answer
	Poison                     string
	PoisonBeginMs              int // the same for a prompt with the part Poison, on which the server crashes
}

type serverProcess struct {
	spec serverSpec
	cmd  *exec.Cmd
	once sync.Once
	done chan struct{} // closed when the process has ended
}

// startServer starts a stand-in server.
func (d *deployment) startServer(s serverSpec) (*serverProcess, error) {
	s.Log = d.dir + "/runs.log"
	for _, c := range d.controls {
		s.Controls = append(s.Controls, fmt.Sprintf("%s:%d", c.ip, portControl))
	}
	text, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return nil, errors.New("the case has ended")
	}
	cmd := exec.Command(self, "server", string(text))
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &serverProcess{spec: s, cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	d.servers = append(d.servers, p)
	return p, nil
}

// kill ends the server without a word.
func (p *serverProcess) kill() {
	p.once.Do(func() {
		_ = p.cmd.Process.Kill()
		<-p.done
	})
}

// runServer is the main function of a stand-in server.
func runServer(text string) error {
	var s serverSpec
	if err := json.Unmarshal([]byte(text), &s); err != nil {
		return err
	}
	log, err := os.OpenFile(s.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", s.Address)
	if err != nil {
		return err
	}
	go s.beat(time.Now().UnixMilli())
	slots := make(chan struct{}, s.Slots)
	var stamps atomic.Int64
	err = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/healthz" {
			w.WriteHeader(http.StatusOK)
			return
		}
		id := r.Header.Get(name("id"))
		w.Header().Set(name("id"), id)
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if e := r.Header.Get(name("expect")); e != "" && e != s.ID {
			w.Header().Set(name("notrun"), "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		select {
		case slots <- struct{}{}:
		case <-r.Context().Done():
			return
		}
		defer func() { <-slots }()
		fmt.Fprintf(log, "%d %s runs %s %s %s (%d bytes)\n", time.Now().UnixMilli(), s.ID, id, r.Method, r.URL.Path, len(body))
		stamp := fmt.Sprintf("%s.%d", s.ID, stamps.Add(1))
		if poisoned := s.Poison != "" && hasPart(r.Header.Get(name("parts")), s.Poison); poisoned {
			time.Sleep(time.Duration(s.PoisonBeginMs) * time.Millisecond)
			fmt.Fprintf(log, "%d %s crashes on %s\n", time.Now().UnixMilli(), s.ID, id)
			// The kernel may close the listening socket of a killed process some microseconds
			// after its channels; no network is as fast as loopback, so it is closed first here.
			_ = listener.Close()
			time.Sleep(5 * time.Millisecond)
			_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
			select {}
		}
		time.Sleep(time.Duration(s.BeginMs) * time.Millisecond)
		if s.Events > 0 {
			s.stream(w, r, id, stamp)
			return
		}
		time.Sleep(time.Duration(s.WorkMs) * time.Millisecond)
		w.Header().Set(name("stamp"), stamp)
		w.Header().Set("Content-Type", "application/octet-stream")
		_, _ = w.Write(bytes.Repeat([]byte("x"), 800))
	}))
	if errors.Is(err, net.ErrClosed) {
		select {} // about to crash
	}
	return err
}

// hasPart reports whether a prompt has a part, from entries ID:TOKENS.
func hasPart(prefix, part string) bool {
	for entry := range strings.SplitSeq(prefix, ",") {
		if id, _, _ := strings.Cut(entry, ":"); id == part {
			return true
		}
	}
	return false
}

// stream writes Events events, numbered from 1. A request with the number of an event goes on
// after it.
func (s *serverSpec) stream(w http.ResponseWriter, r *http.Request, id, stamp string) {
	first := 1
	if n, err := strconv.Atoi(r.Header.Get(name("last"))); err == nil {
		first = n + 1
	}
	write := func(b string) error {
		if _, err := io.WriteString(w, b); err != nil {
			return err
		}
		return http.NewResponseController(w).Flush()
	}
	if s.Unframed {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		write = func(b string) error { _, err := io.WriteString(conn, b); return err }
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%s: %s\r\n%s: %s\r\nConnection: close\r\n\r\n", name("id"), id, name("stamp"), stamp)
		if write(head) != nil {
			return
		}
	} else {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set(name("stamp"), stamp)
	}
	for n := first; n <= s.Events; n++ {
		time.Sleep(time.Duration(s.EventMs) * time.Millisecond)
		if write(fmt.Sprintf("id: %d\ndata: piece %d of %d of %s\n\n", n, n, s.Events, id)) != nil {
			return
		}
	}
}

// beat announces the server every heartbeat_ms, at the next node after a failure.
func (s *serverSpec) beat(born int64) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	at := 0
	for sequence := 1; ; sequence++ {
		body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready",%q:0,"sequence":%d,"born":%d}`,
			s.Service, s.Address, s.Zone, s.Slots, name("cold_left"), sequence, born)
		for range s.Controls {
			req, err := http.NewRequest(http.MethodPut, "http://"+s.Controls[at%len(s.Controls)]+"/instances/"+s.ID, strings.NewReader(body))
			if err != nil {
				panic(err)
			}
			req.Header.Set("Content-Type", "application/json")
			resp, err := client.Do(req)
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode/100 == 2 {
					break
				}
			}
			at++
		}
		time.Sleep(1200 * time.Millisecond)
	}
}
