package main

import (
	"bytes"
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() {
	cases["unframed"], sizes["unframed"] = caseUnframed, [2]int{3, 2}
}

var eventID = regexp.MustCompile(`(?m)^id: (\d+)$`)

// eventsIn returns the numbers of the events in a body.
func eventsIn(body []byte) []int {
	var out []int
	for _, m := range eventID.FindAllSubmatch(body, -1) {
		n, _ := strconv.Atoi(string(m[1]))
		out = append(out, n)
	}
	return out
}

// caseUnframed: a server whose streams end with their channel crashes and comes back while the
// machine that relays its streams is frozen.
func caseUnframed(d *deployment, trouble bool) int {
	const events, eventMs, streams = 20, 200, 6
	r := d.record
	fail := func(err error) int { r.line("could not run: %v", err); return couldNot }
	if err := d.startAll(); err != nil {
		return fail(err)
	}
	o := d.operator()
	routes := []route{{prefix: "/appraisal/", kind: "streaming", service: "assistant-llm", timeout: 39000, objective: 1800}}
	if _, err := o.order("PUT", "/config", manifest(7, routes, []map[string]any{plainService("assistant-llm")}, []map[string]any{tenant(1, "xd9dnn2ctnfzs989anu6")}), 10*time.Second); err != nil {
		return fail(err)
	}
	spec := serverSpec{ID: "i-7f3a91c2", Service: "assistant-llm", Zone: "dakar-a", Address: fmt.Sprintf("%s.200:%d", d.net, portServer), Slots: 24, Events: events, EventMs: eventMs, Unframed: true}
	server, err := d.startServer(spec)
	if err != nil {
		return fail(err)
	}
	time.Sleep(4 * time.Second)
	edge := d.entries[0]
	c := newClient(host, "xd9dnn2ctnfzs989anu6")
	var t tally
	var wg sync.WaitGroup
	var begun atomic.Int64
	for range streams {
		wg.Go(func() {
			once := sync.Once{}
			a := c.send(fmt.Sprintf("%s:%d", edge.ip, portEntry), "POST", "/appraisal/2f", bytes.Repeat([]byte("b"), 3000), 39*time.Second, nil, func(body []byte) {
				if len(eventsIn(body)) >= 3 {
					once.Do(func() { begun.Add(1) })
				}
			})
			t.add("lot-appraisal", a)
		})
	}
	for until := time.Now().Add(10 * time.Second); begun.Load() < streams; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			return fail(fmt.Errorf("%d of %d streams began", begun.Load(), streams))
		}
	}
	r.line("%d streams have 3 events or more", streams)
	if trouble {
		edge.signal(syscall.SIGSTOP)
		r.line("%s freezes", edge.name)
		time.Sleep(500 * time.Millisecond)
		server.kill()
		r.line("server %s crashes; it had sent at most %d of %d events of each stream", spec.ID, 3+(500+200)/eventMs, events)
		time.Sleep(1500 * time.Millisecond)
		spec.ID = "i-9b04e6d1"
		if _, err := d.startServer(spec); err != nil {
			return fail(err)
		}
		r.line("it is back at its address as %s", spec.ID)
		time.Sleep(2 * time.Second)
		edge.signal(syscall.SIGCONT)
		r.line("%s wakes, 4 s after it froze", edge.name)
	}
	wg.Wait()
	t.dump(r)
	wrong := 0
	for _, a := range t.answers {
		got := eventsIn(a.body)
		last := 0
		if len(got) > 0 {
			last = got[len(got)-1]
		}
		early := a.complete && a.status == http.StatusOK && last < events
		if early {
			wrong++
		}
		r.line("stream %s: %d events, the last is %d of %d; complete answer: %t (status %d, error %v) %s", a.id, len(got), last, events, a.complete, a.status, a.err, map[bool]string{true: "ENDS AS COMPLETE BEFORE ITS LAST PIECE"}[early])
		if !trouble && (!a.complete || last != events) {
			return broken
		}
	}
	if wrong > 0 {
		return broken
	}
	return held
}
