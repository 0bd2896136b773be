package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["poison"], sizes["poison"] = casePoison, [2]int{3, 3}
}

func newOwn() string { return fmt.Sprintf("%08x", rand.Uint32()) }

// casePoison: one part of prompts crashes each server that begins to write an answer on it.
// Requests with that part come with one of two first parts, which sound requests have too.
func casePoison(d *deployment, trouble bool) int {
	const poison, firstQ, firstR, firstS = "91bd3f06", "5c1e07a2", "77aa01fe", "0b2d94c1"
	r := d.record
	fail := func(err error) int { r.line("could not run: %v", err); return couldNot }
	if err := d.startAll(); err != nil {
		return fail(err)
	}
	o := d.operator()
	service := plainService("assistant-llm")
	service["engine"] = map[string]any{"slots": 24, "kv_capacity": 34328, "kv_bytes": 18432, "link_mbps": 2700.0, "moves": false, "backups": false}
	routes := []route{{prefix: "/appraisal/", kind: "streaming", service: "assistant-llm", timeout: 39000, objective: 1800}}
	if _, err := o.order("PUT", "/config", manifest(7, routes, []map[string]any{service}, []map[string]any{tenant(1, "xd9dnn2ctnfzs989anu6")}), 10*time.Second); err != nil {
		return fail(err)
	}
	var serverNumber int
	var mu sync.Mutex
	var crashes []time.Time
	var startServer func(zone int) error
	startServer = func(zone int) error {
		mu.Lock()
		serverNumber++
		id := fmt.Sprintf("i-%s-%d", d.zones[zone], serverNumber)
		mu.Unlock()
		p, err := d.startServer(serverSpec{
			ID: id, Service: "assistant-llm", Zone: d.zones[zone], Address: fmt.Sprintf("%s.%d:%d", d.net, 200+zone, portServer), Slots: 24,
			Events: 10, EventMs: 30, BeginMs: 100, Poison: poison, PoisonBeginMs: 600,
		})
		if err != nil {
			return err
		}
		go func() { // a server that has crashed is back after some seconds
			<-p.done
			d.mu.Lock()
			stopped := d.stopped
			d.mu.Unlock()
			if stopped {
				return
			}
			mu.Lock()
			crashes = append(crashes, time.Now())
			r.line("server %s has crashed", id)
			mu.Unlock()
			time.Sleep(2 * time.Second)
			_ = startServer(zone)
		}()
		return nil
	}
	for zone := range d.zones {
		if err := startServer(zone); err != nil {
			return fail(err)
		}
	}
	time.Sleep(4 * time.Second)
	c := newClient(host, "xd9dnn2ctnfzs989anu6")
	var t tally
	var wg sync.WaitGroup
	entry := func(n int) string { return fmt.Sprintf("%s:%d", d.entries[n%3].ip, portEntry) }
	send := func(kind string, n int, own string, tokens int, parts ...string) {
		prefix := ""
		for _, p := range parts {
			prefix += p + ":150,"
		}
		prefix += fmt.Sprintf("%s:%d", own, tokens) // the last part belongs to the request itself or to its session
		header := map[string]string{name("parts"): prefix, name("model"): "m", name("tokens"): "400,80"}
		func() {
			a := c.send(entry(n), "POST", "/appraisal/2f", bytes.Repeat([]byte{byte('a' + rand.IntN(26))}, 1000+rand.IntN(2000)), 7*time.Second, header, nil)
			t.add(kind, a)
			if kind != "sound" {
				r.line("%s request %s at %s, parts %s, sent %.3f: status %d after %.2f s (%v)", kind, a.id, d.entries[n%3].name, prefix, a.sentAt.Sub(r.start).Seconds(), a.status, a.took.Seconds(), a.err)
			}
		}()
	}
	end := make(chan struct{})
	// Sound requests with the same key come at all machines, eight within a second, every four seconds. Some of those
	// before the disruption have the first parts that requests with the crashing part have.
	first := time.Now()
	began := first.Add(9600 * time.Millisecond)
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-end:
				return
			case <-time.After(time.Until(first.Add(time.Duration(n) * 4 * time.Second))):
			}
			for i := range 8 {
				wg.Go(func() { send("sound", i, newOwn(), 100, firstS, "e4402b7d") })
				time.Sleep(100 * time.Millisecond)
			}
			if n < 2 {
				wg.Go(func() { send("sound", n, newOwn(), 100, firstQ, "e4402b7d") })
				wg.Go(func() { send("sound", n, newOwn(), 100, firstR, "e4402b7d") })
			}
		}
	})
	time.Sleep(time.Until(began))
	if trouble {
		// Two sessions ask on, each with a new request as soon as the last one has failed. Both
		// begin at one machine.
		for n, first := range []string{firstQ, firstR} {
			own := newOwn()
			wg.Go(func() {
				for turn := 0; ; turn++ {
					send("poison", 0, own, 100+20*turn, first, poison)
					pause := 50 * time.Millisecond
					if turn >= 2 {
						pause = time.Duration(4+n) * time.Second
					}
					select {
					case <-end:
						return
					case <-time.After(pause):
					}
				}
			})
		}
	}
	time.Sleep(time.Until(began.Add(6 * time.Second)))
	mu.Lock()
	last := began.Add(4 * time.Second)
	if len(crashes) > 0 {
		last = crashes[min(len(crashes), 5)-1]
	}
	r.line("%d crashes", len(crashes))
	mu.Unlock()
	from := last.Add(8 * time.Second) // 2 x contact_ms
	time.Sleep(time.Until(from.Add(12 * time.Second)))
	to := from.Add(12 * time.Second)
	close(end)
	for i, e := range d.entries {
		client := &http.Client{Timeout: 2 * time.Second}
		resp, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", e.ip, portReady))
		status := 0
		if err == nil {
			status = resp.StatusCode
			resp.Body.Close()
		}
		r.line("machine %d, %s: ready answers %d (%v); resident %d MB; processor time %s", i, e.name, status, err, e.residentKB()/1024, e.processorTime())
	}
	wg.Wait()
	t.dump(r)
	okBefore, allBefore, _ := t.served(first, began)
	okAfter, allAfter, _ := t.served(from, to)
	r.line("sound requests of the key before: %d of %d began at the first attempt %v", okBefore, allBefore, t.statuses("sound", first, began))
	okSound, allSound := 0, 0
	for i, a := range t.answers {
		if t.kinds[i] == "sound" && !a.sentAt.Before(from) && a.sentAt.Before(to) {
			allSound++
			if a.complete && a.status == http.StatusOK {
				okSound++
			}
		}
	}
	_ = okAfter
	r.line("from 8 s after the last crash, while such requests come: %d of %d sound ones began (all: %d) %v", okSound, allSound, allAfter, t.statuses("sound", from, to))
	if allBefore < 20 || allSound < 20 {
		return couldNot
	}
	if float64(okSound)/float64(allSound) < float64(okBefore)/float64(allBefore)/2 {
		return broken
	}
	return held
}
