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

// Load of one caller.
const (
	requestEvery   = 25 * time.Millisecond
	requestTimeout = 4 * time.Second
	maxOpen        = 64 // requests of one caller at a time
	// keepTimes is how often longer than allowed a caller keeps an answer.
	keepTimes = 3
)

// outcome is what a caller saw of one request.
type outcome struct {
	id, path, entry, key string
	sent, ended          time.Time
	status               int
	// connected is set once the request may have reached the entry instance.
	connected bool
	whole     bool
	err       error
}

// refusedUnrun reports whether the answer promises that nothing ran.
func (o *outcome) refusedUnrun() bool {
	switch o.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// errWrong marks an answer that no fault of the network explains.
var errWrong = errors.New("wrong answer")

// caller asks for addresses, keeps the answer a while and connects by itself.
type caller struct {
	name      string
	place     place
	calls     *platformtest.Client
	dial      func(ctx context.Context, address string) (net.Conn, error)
	keys      func() string
	rng       *rand.Rand
	addresses []string
	keepUntil time.Time

	mu       sync.Mutex
	outcomes []*outcome
}

// run sends requests until ctx ends and waits for their ends.
func (c *caller) run(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{
		DialContext:         func(ctx context.Context, _, address string) (net.Conn, error) { return c.dial(ctx, address) },
		MaxIdleConnsPerHost: maxOpen,
	}}
	defer client.CloseIdleConnections()
	var open sync.WaitGroup
	defer open.Wait()
	free := make(chan struct{}, maxOpen)
	for n := 0; ctx.Err() == nil; n++ {
		pause(ctx, time.Duration(c.rng.Int64N(int64(2*requestEvery))))
		entry := c.entry(ctx)
		if entry == "" {
			continue
		}
		o := &outcome{id: fmt.Sprintf("%s-%d", c.name, n), path: paths[c.rng.IntN(len(paths))], entry: entry, key: c.keys()}
		select {
		case free <- struct{}{}:
		default:
			continue
		}
		open.Go(func() {
			defer func() { <-free }()
			c.request(client, o)
		})
	}
}

// entry returns the entry instance to use.
func (c *caller) entry(ctx context.Context) string {
	if time.Now().After(c.keepUntil) {
		addresses, keep, err := c.calls.Resolve(ctx, c.place.region, c.place.domain)
		if err == nil && len(addresses) > 0 {
			c.addresses, c.keepUntil = addresses, time.Now().Add(keepTimes*keep)
		}
	}
	if len(c.addresses) == 0 {
		return ""
	}
	return c.addresses[c.rng.IntN(min(2, len(c.addresses)))]
}

// request sends one request and records what became of it.
func (c *caller) request(client *http.Client, o *outcome) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout+time.Second)
	defer cancel()
	o.sent = time.Now()
	o.err = c.exchange(ctx, client, o)
	o.ended = time.Now()
	var dialling *net.OpError
	o.connected = !errors.As(o.err, &dialling) || dialling.Op != "dial"
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
}

func (c *caller) exchange(ctx context.Context, client *http.Client, o *outcome) error {
	body := []byte("body of " + o.id)
	method, content := http.MethodPost, io.Reader(bytes.NewReader(body))
	if o.path == readPath {
		method, content, body = http.MethodGet, http.NoBody, nil
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+o.entry+o.path+o.id, content)
	if err != nil {
		return err
	}
	r.GetBody = nil // the library must not send a request again
	r.Host = host
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
		return fmt.Errorf("%w: it names request %q", errWrong, got)
	}
	if o.status == http.StatusOK && o.path == streamPath {
		o.whole, err = readStream(resp.Body, o.id)
		return err
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil || o.status != http.StatusOK {
		return err
	}
	if want := answerTo(o.id, body); string(text) != want {
		return fmt.Errorf("%w: %q in place of %q", errWrong, text, want)
	}
	o.whole = true
	return nil
}

// readStream checks that each event comes once, in order and unchanged, and
// that a stream that was cut does not look whole.
func readStream(body io.Reader, id string) (whole bool, err error) {
	lines := bufio.NewScanner(body)
	n, data := 0, ""
	for lines.Scan() {
		switch line := lines.Text(); {
		case strings.HasPrefix(line, "id: "):
			got, err := strconv.Atoi(line[len("id: "):])
			if err != nil || got != n+1 {
				return false, fmt.Errorf("%w: event %q after event %d", errWrong, line, n)
			}
		case strings.HasPrefix(line, "data: "):
			data = line[len("data: "):]
		case line == "":
			n++
			if data != eventData(id, n) {
				return false, fmt.Errorf("%w: event %d holds %q", errWrong, n, data)
			}
		}
	}
	if err := lines.Err(); err != nil {
		return false, err
	}
	if n < streamEvents {
		return false, fmt.Errorf("%w: the stream ends like a whole one after %d of %d events", errWrong, n, streamEvents)
	}
	return true, nil
}
