package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// answer is what a client got for one request.
type answer struct {
	id       string
	sentAt   time.Time
	took     time.Duration
	status   int // 0 if the channel ended without a complete answer
	stamped  bool
	body     []byte
	complete bool // the answer ended properly
	err      error
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// client sends requests of one tenant.
type client struct {
	host, key string
	http      *http.Client
}

func newClient(host, key string) *client {
	return &client{host: host, key: key, http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}}
}

// send sends one request and reads its whole answer. onBytes is called after each part of the
// body, with what has arrived so far.
func (c *client) send(address, method, path string, body []byte, deadline time.Duration, header map[string]string, onBytes func([]byte)) answer {
	a := answer{id: newID(), sentAt: time.Now()}
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = c.host
	req.Header.Set(name("id"), a.id)
	req.Header.Set(name("deadline"), strconv.FormatInt(deadline.Milliseconds(), 10))
	req.Header.Set(name("key"), c.key)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	timeout := *c.http
	timeout.Timeout = deadline
	resp, err := timeout.Do(req)
	if err != nil {
		a.err, a.took = err, time.Since(a.sentAt)
		return a
	}
	defer resp.Body.Close()
	buffer := make([]byte, 4096)
	for {
		n, err := resp.Body.Read(buffer)
		a.body = append(a.body, buffer[:n]...)
		if onBytes != nil {
			onBytes(a.body)
		}
		if err == io.EOF {
			a.complete, a.status = true, resp.StatusCode
			break
		}
		if err != nil {
			a.err = err
			break
		}
	}
	a.stamped = resp.Header.Get(name("stamp")) != ""
	a.took = time.Since(a.sentAt)
	return a
}

// leave begins a request and closes the channel when a part of the body is sent.
func (c *client) leave(address, path string, size int) error {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 2500\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", path, c.host, name("id"), newID(), name("deadline"), name("key"), c.key, size)
	if _, err := io.WriteString(conn, head); err != nil {
		return err
	}
	_, err = conn.Write(bytes.Repeat([]byte("y"), size/2))
	return err
}

// tally counts answers in spans of the day.
type tally struct {
	mu      sync.Mutex
	answers []answer
	kinds   []string
}

func (t *tally) add(kind string, a answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answers, t.kinds = append(t.answers, a), append(t.kinds, kind)
}

// dump writes one line for each request: when it was sent, its ID and kind, and the answer.
func (t *tally) dump(r *record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.list("requests: when sent, ID, kind, status (0: no complete answer), after how long")
	for i, a := range t.answers {
		r.list("%8.3f %s %s %d %.3f", a.sentAt.Sub(r.start).Seconds(), a.id, t.kinds[i], a.status, a.took.Seconds())
	}
}

// served returns how many of the requests sent in a span got a success, of all, and by kind.
func (t *tally) served(from, to time.Time) (ok, all int, byKind map[string]string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	type pair struct{ ok, all int }
	kinds := map[string]*pair{}
	for i, a := range t.answers {
		if a.sentAt.Before(from) || !a.sentAt.Before(to) {
			continue
		}
		p := kinds[t.kinds[i]]
		if p == nil {
			p = &pair{}
			kinds[t.kinds[i]] = p
		}
		all++
		p.all++
		if a.complete && a.status == http.StatusOK && a.stamped {
			ok++
			p.ok++
		}
	}
	byKind = map[string]string{}
	for k, p := range kinds {
		byKind[k] = fmt.Sprintf("%d/%d", p.ok, p.all)
	}
	return ok, all, byKind
}

// statuses counts how requests of a kind that were sent in a span ended.
func (t *tally) statuses(kind string, from, to time.Time) map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]int{}
	for i, a := range t.answers {
		if t.kinds[i] != kind || a.sentAt.Before(from) || !a.sentAt.Before(to) {
			continue
		}
		text := strconv.Itoa(a.status)
		if !a.complete {
			text = "no complete answer"
		}
		out[text]++
	}
	return out
}
