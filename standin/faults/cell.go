// Package faults runs the fault matrix on real processes: each fault at each named
// fault point, under load. It checks the system's guarantees from outside by
// comparing what callers observed with what the stand-ins executed.
package faults

import (
	"fmt"
	"math/rand/v2"
)

// Role selects the process that a fault affects: one that has this role when the
// fault is injected.
type Role string

// Roles of processes.
const (
	ControlLeader   Role = "control-leader"
	ControlFollower Role = "control-follower"
	Entry           Role = "entry"
	Owner           Role = "owner" // the entry instance that owns the engines' shard
	Engine          Role = "engine"
	Service         Role = "service"
)

// Fault is a kind of fault.
type Fault string

// Kinds of faults.
const (
	Kill     Fault = "kill"      // kill the process, then restart it
	LoseDisk Fault = "lose-disk" // kill the process, empty its data directory, then restart it
	Freeze   Fault = "freeze"    // stop the process with SIGSTOP for longer than any lease, then continue it with SIGCONT
	CutSend  Fault = "cut-send"  // the process's calls to its peers are silently dropped
	CutBoth  Fault = "cut-both"  // the process's calls to its peers and theirs to it are silently dropped
	CutReply Fault = "cut-reply" // the process's calls to its peers are executed, but the responses are silently dropped
	Slow     Fault = "slow"      // each call of the process to a peer takes 100 ms longer
	Fail     Fault = "fail"      // the fault point returns an error (torn write, full disk, failed call)
	Swallow  Fault = "swallow"   // the target's open connections stay silent permanently
	Break    Fault = "break"     // the target's streams and responses break their protocol
	Stop     Fault = "stop"      // stop the process gracefully with SIGTERM, then restart it
)

// Cell is one cell of the fault matrix: a fault of one role at one fault point, which
// is a named place in a program at which a fault can be injected.
type Cell struct {
	Role  Role
	Fault Fault
	// Point is the fault point; if empty, the seed determines when the fault is injected.
	Point string
}

// Name returns ROLE/FAULT or ROLE/FAULT@POINT, the form that -cell accepts.
func (c Cell) Name() string {
	if c.Point == "" {
		return fmt.Sprintf("%s/%s", c.Role, c.Fault)
	}
	return fmt.Sprintf("%s/%s@%s", c.Role, c.Fault, c.Point)
}

// Fault points of the programs by role. A test compares them with the source.
var (
	walPoints = []string{"wal.before_write", "wal.before_sync", "wal.after_sync"}
	// entryPoints are the fault points of protected writes and generations.
	entryPoints = []string{
		"write.before_begin", "write.after_begin", "write.before_send", "write.after_send",
		"write.before_end", "write.after_end", "generation.permit_granted", "generation.before_start",
	}
)

// Cells returns all cells of the matrix.
func Cells() []Cell {
	var out []Cell
	add := func(r Role, fs ...Fault) {
		for _, f := range fs {
			out = append(out, Cell{Role: r, Fault: f})
		}
	}
	add(ControlLeader, Kill, LoseDisk, Freeze, CutSend, CutReply, CutBoth, Slow, Stop)
	add(ControlFollower, Kill, LoseDisk, Freeze, CutSend, CutReply, CutBoth, Slow, Stop)
	add(Entry, Kill, Freeze, CutSend, CutReply, CutBoth, Slow, Stop)
	add(Owner, Kill, Freeze, CutSend, CutReply, CutBoth, Slow, Stop)
	add(Engine, Kill, Freeze, Swallow, Break, Stop)
	add(Service, Kill, Freeze, Swallow, Break, Stop)
	for _, r := range []Role{ControlLeader, ControlFollower} {
		for _, p := range walPoints {
			for _, f := range []Fault{Kill, LoseDisk, Freeze, Fail} {
				out = append(out, Cell{Role: r, Fault: f, Point: p})
			}
		}
	}
	for _, p := range entryPoints {
		for _, f := range []Fault{Kill, Freeze, Fail} {
			out = append(out, Cell{Role: Entry, Fault: f, Point: p})
		}
	}
	return out
}

// RandomPair returns two different random cells, whose faults are to hit the same
// deployment at once or shortly after one another.
func RandomPair(rng *rand.Rand) [2]Cell {
	all := Cells()
	first := all[rng.IntN(len(all))]
	for {
		second := all[rng.IntN(len(all))]
		if second != first && !bothLoseDisk(first, second) {
			return [2]Cell{first, second}
		}
	}
}

// bothLoseDisk reports whether both cells lose a disk. If two of the three control
// instances lose their disks at once, fewer voters than a quorum still have their
// data, so by design the control group cannot continue.
func bothLoseDisk(a, b Cell) bool { return a.Fault == LoseDisk && b.Fault == LoseDisk }
