// Package faults runs the fault matrix on real processes: every fault at every
// named step, under load, with the promises checked from outside by what
// callers saw and what the stand-ins ran.
package faults

import (
	"fmt"
	"math/rand/v2"
)

// Role is the process that a fault hits.
type Role string

// Roles.
const (
	ControlLeader   Role = "control-leader"
	ControlFollower Role = "control-follower"
	Entry           Role = "entry"
	Owner           Role = "owner" // the entry instance that owns the engines' shard
	Engine          Role = "engine"
	Service         Role = "service"
)

// Fault is what happens to the process.
type Fault string

// Faults.
const (
	Kill     Fault = "kill"      // and start again
	LoseDisk Fault = "lose-disk" // kill, empty the data folder, start again
	Freeze   Fault = "freeze"    // longer than every lease, then continue
	CutSend  Fault = "cut-send"  // calls to peers vanish silently
	CutBoth  Fault = "cut-both"  // and answers too
	CutReply Fault = "cut-reply" // calls to peers run, their answers vanish
	Slow     Fault = "slow"      // each call to a peer takes 100 ms longer
	Fail     Fault = "fail"      // the step fails (torn write, full disk, broken call)
	Swallow  Fault = "swallow"   // open connections go silent for good
	Stop     Fault = "stop"      // planned stop, then start again
)

// Cell is one fault at one step of one role.
type Cell struct {
	Role  Role
	Fault Fault
	// Point is the named step; empty for a moment chosen by the seed.
	Point string
}

// Name identifies the cell, for -cell.
func (c Cell) Name() string {
	if c.Point == "" {
		return fmt.Sprintf("%s/%s", c.Role, c.Fault)
	}
	return fmt.Sprintf("%s/%s@%s", c.Role, c.Fault, c.Point)
}

// Points of the programs by role; a test compares them with the source.
var (
	walPoints = []string{"wal.before_write", "wal.before_sync", "wal.after_sync"}
	// entryPoints are the steps of a protected write and of a generation.
	entryPoints = []string{
		"write.before_begin", "write.after_begin", "write.before_send", "write.after_send",
		"write.before_end", "write.after_end", "generation.permit_granted", "generation.before_start",
	}
)

// Cells returns the whole matrix of single faults.
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
	add(Engine, Kill, Freeze, Swallow, Stop)
	add(Service, Kill, Freeze, Swallow, Stop)
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

// Pair draws two cells that hit at once or one after the other.
func Pair(rng *rand.Rand) [2]Cell {
	all := Cells()
	first := all[rng.IntN(len(all))]
	for {
		second := all[rng.IntN(len(all))]
		if second != first && !bothLoseDisk(first, second) {
			return [2]Cell{first, second}
		}
	}
}

// bothLoseDisk excludes the loss of two of three disks at once, after which no
// majority of the voters' disks is left and the group cannot go on by design.
func bothLoseDisk(a, b Cell) bool { return a.Fault == LoseDisk && b.Fault == LoseDisk }
