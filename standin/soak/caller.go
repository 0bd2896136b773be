package soak

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/endivetrack/endivetrack/platform/platformtest"
)

// Load that one caller generates.
const (
	meanRequestInterval = 25 * time.Millisecond
	requestTimeout      = 4 * time.Second
	maxTakeUps          = 3
	maxInFlight         = 64 // maximum number of concurrent requests of one caller
	// addressTTLFactor is how many times as long as their TTL allows a caller uses addresses.
	addressTTLFactor = 3
)

// outcome is the result of one request as observed by its caller.
type outcome struct {
	id, path, entry, key string
	sentAt, endedAt      time.Time
	status               int
	stamp                string       // of the target that answered; empty if the answer has none
	stream               *streamState // what the caller has of a stream; nil for other requests
	// connected reports whether the request may have reached the entry instance.
	connected bool
	complete  bool
	err       error
}

// refusedAsNotRun reports whether the response status guarantees that the
// request was not executed.
func (o *outcome) refusedAsNotRun() bool {
	switch o.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// canBeTakenUp reports whether the request is a stream that broke after its first event and
// may be resumed.
func (o *outcome) canBeTakenUp() bool {
	return o.stream != nil && o.stream.resumable && o.stream.last > 0 && !o.complete && !errors.Is(o.err, errWrongResponse)
}

// errWrongResponse marks a response that no network fault can explain.
var errWrongResponse = errors.New("wrong answer")

// caller resolves entry instance addresses, caches them and sends its requests
// directly to those addresses.
type caller struct {
	name              string
	location          location
	client            *platformtest.Client
	dial              func(ctx context.Context, address string) (net.Conn, error)
	apiKey            func() string
	rng               *rand.Rand
	addresses         []string
	addressesExpireAt time.Time

	mu       sync.Mutex
	outcomes []*outcome
}

// run sends requests until ctx is done and waits for all of them to finish.
func (c *caller) run(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{
		DialContext:         func(ctx context.Context, _, address string) (net.Conn, error) { return c.dial(ctx, address) },
		MaxIdleConnsPerHost: maxInFlight,
	}}
	defer client.CloseIdleConnections()
	var pending sync.WaitGroup
	defer pending.Wait()
	inFlight := make(chan struct{}, maxInFlight)
	for n := 0; ctx.Err() == nil; n++ {
		sleep(ctx, time.Duration(c.rng.Int64N(int64(2*meanRequestInterval))))
		entry := c.pickEntry(ctx)
		if entry == "" {
			continue
		}
		o := &outcome{id: fmt.Sprintf("%s-%d", c.name, n), path: paths[c.rng.IntN(len(paths))], entry: entry, key: c.apiKey()}
		if isStream(o.path) {
			o.stream = &streamState{request: o.id, resumable: o.path == streamPath}
		}
		select {
		case inFlight <- struct{}{}:
		default:
			continue
		}
		pending.Go(func() {
			defer func() { <-inFlight }()
			c.send(client, o)
			for n := 1; o.canBeTakenUp() && n <= maxTakeUps; n++ {
				o = &outcome{id: fmt.Sprintf("%s-%d", o.stream.request, n), path: o.path, entry: entry, key: o.key, stream: o.stream}
				c.send(client, o)
			}
		})
	}
}

// pickEntry returns the address of one of the first two resolved entry instances,
// chosen at random, or "" if none has been resolved yet. It resolves the addresses
// again once they have expired.
func (c *caller) pickEntry(ctx context.Context) string {
	if time.Now().After(c.addressesExpireAt) {
		addresses, ttl, err := c.client.Resolve(ctx, c.location.region, c.location.domain)
		if err == nil && len(addresses) > 0 {
			c.addresses, c.addressesExpireAt = addresses, time.Now().Add(addressTTLFactor*ttl)
		}
	}
	if len(c.addresses) == 0 {
		return ""
	}
	return c.addresses[c.rng.IntN(min(2, len(c.addresses)))]
}

// send sends one request and records its outcome.
func (c *caller) send(client *http.Client, o *outcome) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout+time.Second)
	defer cancel()
	o.sentAt = time.Now()
	o.err = c.roundTrip(ctx, client, o)
	o.endedAt = time.Now()
	var dialErr *net.OpError
	o.connected = !errors.As(o.err, &dialErr) || dialErr.Op != "dial"
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
}

func (c *caller) roundTrip(ctx context.Context, client *http.Client, o *outcome) error {
	body := []byte("body of " + o.id)
	method, content := http.MethodPost, io.Reader(bytes.NewReader(body))
	if o.path == readPath {
		method, content, body = http.MethodGet, http.NoBody, nil
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+o.entry+o.path+o.id, content)
	if err != nil {
		return err
	}
	r.GetBody = nil // net/http must not retry the request
	r.Host = manifestHost
	r.Header.Set(platformtest.RequestIDHeader, o.id)
	r.Header.Set(platformtest.KeyHeader, o.key)
	r.Header.Set(platformtest.DeadlineHeader, strconv.FormatInt(requestTimeout.Milliseconds(), 10))
	if o.stream != nil && o.stream.last > 0 {
		r.Header.Set(platformtest.ResumesHeader, o.stream.request)
		r.Header.Set(platformtest.LastEventIDHeader, strconv.Itoa(o.stream.last))
	}
	resp, err := client.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	o.status, o.stamp = resp.StatusCode, resp.Header.Get(platformtest.StampHeader)
	if o.status < http.StatusMultipleChoices && o.stamp == "" {
		return fmt.Errorf("%w: status %d without the target's stamp", errWrongResponse, o.status)
	}
	if got := resp.Header.Get(platformtest.RequestIDHeader); got != o.id {
		return fmt.Errorf("%w: the response is for request %q", errWrongResponse, got)
	}
	if o.status == http.StatusOK && o.stream != nil {
		err = o.stream.read(resp.Body)
		o.complete = err == nil
		return err
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil || o.status != http.StatusOK {
		return err
	}
	if want := expectedResponse(o.id, body); string(text) != want {
		return fmt.Errorf("%w: %q in place of %q", errWrongResponse, text, want)
	}
	o.complete = true
	return nil
}

// isStream reports whether a path is that of a route of streams.
func isStream(path string) bool { return path == streamPath || path == movedPath }

// streamState is what a caller has of one stream.
type streamState struct {
	request   string // ID of the attempt that began the stream
	resumable bool
	last      int    // number of the newest event
	run       string // the run that made it
}

// read reads events until the stream is whole. It returns errWrongResponse if what arrives
// is no event, not the next one or of a run that may not go on here, and if the stream ends
// without an error before its last event.
func (s *streamState) read(body io.Reader) error {
	lines := bufio.NewReader(body)
	id, data := "", ""
	for {
		line, err := lines.ReadString('\n')
		switch {
		case err == io.EOF && line == "" && s.last == streamEvents:
			return nil
		case err == io.EOF:
			return fmt.Errorf("%w: the stream ends without an error after %d of %d events and %q", errWrongResponse, s.last, streamEvents, line)
		case err != nil:
			return err
		case strings.HasPrefix(line, "id: "):
			id = strings.TrimSpace(line[len("id: "):])
		case strings.HasPrefix(line, "data: ") && data == "":
			data = strings.TrimSpace(line[len("data: "):])
		case line == "\n":
			if err := s.accept(id, data); err != nil {
				return err
			}
			id, data = "", ""
		default:
			return fmt.Errorf("%w: %q after event %d is no part of an event", errWrongResponse, line, s.last)
		}
	}
}

// accept checks that an event is the next one, and its run the same or one that goes on
// after the newest event.
func (s *streamState) accept(id, data string) error {
	n := s.last + 1
	made, ok := strings.CutPrefix(data, expectedEventData(s.request, n)+" ")
	run, first, _ := strings.Cut(made, " ")
	switch {
	case !ok || id != "" && id != strconv.Itoa(n):
		return fmt.Errorf("%w: event %q with data %q after event %d", errWrongResponse, id, data, s.last)
	case s.run != "" && run != s.run && (!s.resumable || first != strconv.Itoa(n)):
		return fmt.Errorf("%w: event %d of run %s, which began at %s, after one of run %s", errWrongResponse, n, run, first, s.run)
	}
	s.last, s.run = n, run
	return nil
}
