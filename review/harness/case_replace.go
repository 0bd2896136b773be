package main

import (
	"fmt"
	"net/url"
	"syscall"
	"time"
)

func init() {
	cases["replace"], sizes["replace"] = caseReplace, [2]int{3, 1}
}

// caseReplace: the machines of the core are replaced one after the other, each by an empty one
// at another address that starts first. One machine of the core stays.
func caseReplace(d *deployment, trouble bool) int {
	r := d.record
	fail := func(err error) int { r.line("could not run: %v", err); return couldNot }
	if err := d.startAll(); err != nil {
		return fail(err)
	}
	o := d.operator()
	routes := []route{{prefix: "/lot/", kind: "idempotent", service: "bids", timeout: 2500, objective: 150, attempts: 2}}
	change := func(version int, within time.Duration) (string, error) {
		return o.order("PUT", "/config", manifest(version, routes, []map[string]any{plainService("bids")}, nil), within)
	}
	if _, err := change(1, 10*time.Second); err != nil {
		return fail(err)
	}
	time.Sleep(2 * time.Second)
	by, err := change(2, 10*time.Second)
	if err != nil {
		return fail(err)
	}
	u, err := url.Parse(by)
	if err != nil {
		return fail(err)
	}
	var others []*machine
	var stays *machine
	for _, m := range d.controls {
		if m.ip == u.Hostname() {
			stays = m
		} else {
			others = append(others, m)
		}
	}
	if stays == nil {
		return fail(fmt.Errorf("no machine has the address %s", by))
	}
	r.line("manifest 2 acknowledged by %s, which stays", stays.name)
	replacements := 0
	if trouble {
		replacements = setting("REPLACEMENTS", 42)
	}
	acknowledged := 2
	began := time.Now()
	for n := range replacements {
		old := others[0]
		fresh := d.newControl(3 + n)
		fresh.zone = old.zone
		cycle := time.Now()
		if err := d.start(fresh, false); err != nil {
			return fail(err)
		}
		d.mu.Lock()
		d.controls = append(d.controls, fresh)
		d.mu.Unlock()
		time.Sleep(time.Second) // the new one first
		go old.end(syscall.SIGTERM, 8*time.Second)
		others = append(others[1:], fresh)
		d.mu.Lock()
		d.controls = append([]*machine{stays}, others...)
		d.seeds = d.controls // as the operator's list stands now
		d.mu.Unlock()
		time.Sleep(time.Until(cycle.Add(time.Duration(setting("PACE_MS", 2250)) * time.Millisecond)))
		if n%3 == 2 {
			started := time.Now()
			if _, err := change(acknowledged+1, 5*time.Second); err != nil {
				r.line("after %d replacements: change %d: %v", n+1, acknowledged+1, err)
				break
			}
			acknowledged++
			r.line("after %d replacements: change %d acknowledged after %.2f s", n+1, acknowledged, time.Since(started).Seconds())
		}
	}
	r.line("%.1f s for the replacements; three machines of the core run", time.Since(began).Seconds())
	if !trouble {
		time.Sleep(5 * time.Second)
	}
	time.Sleep(4 * time.Second) // contact_ms
	version, err := o.readVersion(8 * time.Second)
	r.line("read back: version %d (%v)", version, err)
	if version < acknowledged {
		return broken
	}
	return held
}
