// Command review-case runs one case of the review: it starts the project's own programs with
// the commands of the deploy file and stand-ins for the platform, clients and servers.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

var cases = map[string]func(*deployment, bool) int{}

// sizes holds the number of control and entry machines of each case.
var sizes = map[string][2]int{}

func main() {
	if len(os.Args) == 3 && os.Args[1] == "server" {
		if err := runServer(os.Args[2]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(couldNot)
		}
		return
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-case CASE REPOSITORY RECORD")
		os.Exit(couldNot)
	}
	os.Exit(runCase(os.Args[1], os.Args[2], os.Args[3]))
}

func runCase(which, root, recordPath string) int {
	out, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer out.Close()
	r := &record{out: out, start: time.Now()}
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		r.line("could not run: %v", err)
		return couldNot
	}
	if keep := os.Getenv("KEEP"); keep == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("kept:", dir)
	}
	root, err = filepath.Abs(root)
	if err != nil {
		return couldNot
	}
	d, err := newDeployment(root, dir, sizes[which][0], sizes[which][1], r)
	if err != nil {
		r.line("could not run: %v", err)
		return couldNot
	}
	defer d.stop()
	trouble := os.Getenv("TROUBLE") != "0"
	r.line("case %s, disruption: %t", which, trouble)
	code := cases[which](d, trouble)
	for _, m := range d.all {
		m.mu.Lock()
		r.line("%s: most memory %d MB, ended by itself %d times", m.name, m.peakKB/1024, m.ends)
		m.mu.Unlock()
	}
	if runs, err := os.ReadFile(filepath.Join(dir, "runs.log")); err == nil {
		r.list("what the servers ran: Unix milliseconds, server, request")
		r.list("%s", strings.TrimRight(string(runs), "\n"))
	}
	defer r.end()
	r.line("exit code %d (0 held, 1 broken, 2 could not run)", code)
	return code
}

// startAll starts the machines and waits until the group answers.
func (d *deployment) startAll() error {
	for _, m := range append(append([]*machine{}, d.controls...), d.entries...) {
		if err := d.start(m, true); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) operator() *operator {
	return &operator{list: func() []*machine {
		d.mu.Lock()
		defer d.mu.Unlock()
		return append([]*machine{}, d.controls...)
	}, record: d.record}
}
