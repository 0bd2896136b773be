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
	maxInFlight         = 64 // maximum number of concurrent requests of one caller
	// addressTTLFactor is how many times as long as their TTL allows a caller uses addresses.
	addressTTLFactor = 3
)

// outcome is the result of one request as observed by its caller.
type outcome struct {
	id, path, entry, key string
	sentAt, endedAt      time.Time
	status               int
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
		select {
		case inFlight <- struct{}{}:
		default:
			continue
		}
		pending.Go(func() {
			defer func() { <-inFlight }()
			c.send(client, o)
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
	resp, err := client.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	o.status = resp.StatusCode
	if got := resp.Header.Get(platformtest.RequestIDHeader); got != o.id {
		return fmt.Errorf("%w: the response is for request %q", errWrongResponse, got)
	}
	if o.status == http.StatusOK && o.path == streamPath {
		o.complete, err = readStream(resp.Body, o.id)
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

// readStream checks that each event arrives once, in order and unmodified. It
// returns errWrongResponse if one does not, or if the stream ends without an error
// before its last event.
func readStream(body io.Reader, id string) (complete bool, err error) {
	lines := bufio.NewScanner(body)
	n, data := 0, ""
	for lines.Scan() {
		switch line := lines.Text(); {
		case strings.HasPrefix(line, "id: "):
			got, err := strconv.Atoi(line[len("id: "):])
			if err != nil || got != n+1 {
				return false, fmt.Errorf("%w: event %q after event %d", errWrongResponse, line, n)
			}
		case strings.HasPrefix(line, "data: "):
			data = line[len("data: "):]
		case line == "":
			n++
			if data != expectedEventData(id, n) {
				return false, fmt.Errorf("%w: event %d has data %q", errWrongResponse, n, data)
			}
		}
	}
	if err := lines.Err(); err != nil {
		return false, err
	}
	if n < streamEvents {
		return false, fmt.Errorf("%w: the stream ends without an error after %d of %d events", errWrongResponse, n, streamEvents)
	}
	return true, nil
}
