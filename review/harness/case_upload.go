package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() {
	cases["upload"], sizes["upload"] = caseUpload, [2]int{3, 2}
}

// route is a route of a manifest.
type route struct {
	prefix, kind, service string
	timeout, objective    int
	attempts              int
	resumable             bool
}

const host = "ficu95.example"

// manifest returns a manifest as PROTOCOL.md prints it.
func manifest(version int, routes []route, services []map[string]any, tenants []map[string]any) []byte {
	var list []map[string]any
	for i, r := range routes {
		list = append(list, map[string]any{
			"name": fmt.Sprintf("r-%d", i), "host": host, name("prefix"): r.prefix, name("route"): r.kind, "timeout_ms": r.timeout, "slo_ms": r.objective,
			"priority": 0, "service": r.service, "max_attempts": max(1, r.attempts), "public": false, "sticky": false, "resumable": r.resumable, "gap_slo_ms": 180, "allowed_regions": []string{},
		})
	}
	text, err := json.Marshal(map[string]any{
		"version": version, "routes": list, "services": services, "tenants": tenants,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		panic(err)
	}
	return text
}

func plainService(service string) map[string]any {
	return map[string]any{"name": service, "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false, "cold_start_s": 0, "cold_per_s": 0}
}

func tenant(n int, keys ...string) map[string]any {
	return map[string]any{"name": fmt.Sprintf("tenant-%d", n), name("keys"): keys, "priority": 1, "allowed_regions": []string{}}
}

// The rates of the sheet of bse-foin: 45.6 of 57.2 requests a second have a body.
var uploadMix = []struct {
	kind   string
	perS   float64
	method string
	path   string
	least  int
	most   int
}{
	{"lot-appraisal", 6.94, "POST", "/appraisal/2f", 2600, 3400},
	{"grade-check", 9.69, "POST", "/grade/2f", 2600, 3200},
	{"bid-record", 29, "POST", "/bid/2f", 1000, 3600},
	{"lot-lookup", 11.6, "GET", "/lot/2f", 0, 0},
}

// caseUpload: clients leave in the middle of a body that they send.
func caseUpload(d *deployment, trouble bool) int {
	r := d.record
	fail := func(err error) int { r.line("could not run: %v", err); return couldNot }
	if err := d.startAll(); err != nil {
		return fail(err)
	}
	o := d.operator()
	routes := []route{
		{prefix: "/appraisal/", kind: "streaming", service: "auction-core", timeout: 39000, objective: 1800},
		{prefix: "/grade/", kind: "streaming", service: "auction-core", timeout: 6000, objective: 1500, attempts: 2, resumable: true},
		{prefix: "/bid/", kind: "non_idempotent", service: "bids", timeout: 2500, objective: 150},
		{prefix: "/lot/", kind: "idempotent", service: "bids", timeout: 2500, objective: 150, attempts: 2},
	}
	text := manifest(7, routes, []map[string]any{plainService("auction-core"), plainService("bids")}, []map[string]any{tenant(1, "xd9dnn2ctnfzs989anu6")})
	by, err := o.order("PUT", "/config", text, 10*time.Second)
	if err != nil {
		return fail(err)
	}
	r.line("manifest 7 acknowledged by %s", by)
	for i, z := range d.zones {
		_, err := d.startServer(serverSpec{ID: fmt.Sprintf("i-a%d", i), Service: "auction-core", Zone: z, Address: fmt.Sprintf("%s.%d:%d", d.net, 200+i, portServer), Slots: 24, Events: 8, EventMs: 20})
		if err == nil {
			_, err = d.startServer(serverSpec{ID: fmt.Sprintf("i-b%d", i), Service: "bids", Zone: z, Address: fmt.Sprintf("%s.%d:%d", d.net, 210+i, portServer), Slots: 24, WorkMs: 15})
		}
		if err != nil {
			return fail(err)
		}
	}
	time.Sleep(4 * time.Second)
	c := newClient(host, "xd9dnn2ctnfzs989anu6")
	var t tally
	var wg sync.WaitGroup
	var left, leftBytes, noLeave atomic.Int64
	end := make(chan struct{})
	leaving := atomic.Bool{}
	addresses := d.resolve("dakar-a")
	if len(addresses) == 0 {
		return fail(fmt.Errorf("the directory names no address"))
	}
	r.line("the directory names %v", addresses)
	var current atomic.Value
	current.Store(addresses)
	go func() { // clients keep an answer of the directory for a second
		for {
			select {
			case <-end:
				return
			case <-time.After(time.Second):
			}
			if a := d.resolve("dakar-a"); len(a) > 0 {
				current.Store(a)
			}
		}
	}()
	pick := func() string { a := current.Load().([]string); return a[rand.IntN(len(a))] }
	for _, m := range uploadMix {
		wg.Go(func() {
			tick := time.NewTicker(time.Duration(float64(time.Second) / m.perS))
			defer tick.Stop()
			for {
				select {
				case <-end:
					return
				case <-tick.C:
				}
				// A fifth of the clients leave, in the middle of a body of up to max_body_bytes.
				if trouble && leaving.Load() && m.method == "POST" && rand.Float64() < 0.2 {
					size := int(math.Exp(math.Log(600) + rand.Float64()*math.Log(4194304.0/600)))
					if c.leave(pick(), m.path, size) == nil {
						left.Add(1)
						leftBytes.Add(int64(size))
					} else {
						noLeave.Add(1)
					}
					continue
				}
				wg.Go(func() {
					size := m.least
					if m.most > m.least {
						size += rand.IntN(m.most - m.least)
					}
					t.add(m.kind, c.send(pick(), m.method, m.path, bytes.Repeat([]byte("b"), size), 2500*time.Millisecond, nil, nil))
				})
			}
		})
	}
	began := time.Now()
	show := func(what string, from, to time.Time) (int, int) {
		ok, all, kinds := t.served(from, to)
		r.line("%s: %d of %d requests served; %v; bid-record ended %v", what, ok, all, kinds, t.statuses("bid-record", from, to))
		return ok, all
	}
	time.Sleep(8 * time.Second)
	show("first 8 s, no one leaves", began, time.Now())
	leaving.Store(true)
	for range 6 {
		from := time.Now()
		time.Sleep(5 * time.Second)
		show("next 5 s", from, time.Now())
	}
	leaving.Store(false)
	r.line("%d clients left, with bodies of %d bytes in all (%d found no channel)", left.Load(), leftBytes.Load(), noLeave.Load())
	// The final fault: one disk of the core is lost, all other machines that count go down.
	final := time.Now()
	for _, m := range d.controls {
		m.end(syscall.SIGKILL, time.Second)
	}
	if err := os.RemoveAll(d.controls[0].dataDir); err != nil {
		return fail(err)
	}
	r.line("final fault: the processes of the core are killed, %s loses its disk", d.controls[0].name)
	time.Sleep(600 * time.Millisecond)
	for _, m := range d.controls {
		if err := d.start(m, false); err != nil {
			return fail(err)
		}
	}
	back := time.Now()
	r.line("the machines are back")
	time.Sleep(12 * time.Second)
	from := time.Now()
	time.Sleep(10 * time.Second)
	to := time.Now()
	close(end)
	wg.Wait()
	t.dump(r)
	okBefore, allBefore := show("before the final fault", began, final)
	okAfter, allAfter := show(fmt.Sprintf("sent later than recover_s (12 s) after the machines were back at %.1f s", back.Sub(r.start).Seconds()), from, to)
	if allBefore == 0 || allAfter == 0 || float64(okBefore) < float64(allBefore)/4 {
		r.line("less than a quarter was served before the final fault: the rule does not apply")
		return couldNot
	}
	if float64(okAfter) < float64(allAfter)/4 {
		return broken
	}
	return held
}
