package agreement

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/endivetrack/endivetrack/internal/faultpoint"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/wal"
	"github.com/endivetrack/endivetrack/internal/wal/waltest"
)

const (
	simStep      = 5 * time.Millisecond
	rampDuration = time.Second
)

// simCommand sets the register Key to Value.
type simCommand struct{ Key, Value int }

// simMachine is a set of registers and a hash chain of all applied commands.
type simMachine struct {
	Chain       uint64
	Registers   map[int]int
	indexOffset uint64
}

func (m *simMachine) Apply(index uint64, command []byte) any {
	var c simCommand
	if err := json.Unmarshal(command, &c); err != nil {
		return err
	}
	m.Registers[c.Key] = c.Value
	m.Chain = simHash(m.Chain, index+m.indexOffset, command)
	return nil
}

func (m *simMachine) Snapshot() ([]byte, error) { return json.Marshal(m) }

func (m *simMachine) Restore(data []byte) error {
	*m = simMachine{}
	return json.Unmarshal(data, m)
}

func simHash(parts ...any) uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, parts...)
	return h.Sum64()
}

// simNode is one simulated node. Its name and address are fixed, but its process
// may restart and its disk may be replaced.
type simNode struct {
	name           string
	address        string // its name if empty
	diskless       bool
	disk           *waltest.MemFS
	up             bool
	restartAt      time.Time
	protocol       replica
	machine        *simMachine
	applier        *applier
	schedule       schedule
	checkedIndex   uint64 // commit index up to which the log was checked
	waiters        map[uint64]*simOperation
	readers        map[uint64]*simOperation
	faultCountdown int // number of fault points to reach until one fails; 0 if none fails
	loseDiskAgain  bool

	frozenUntil      time.Time
	dropsWhileFrozen bool // whether messages that arrive while the node is frozen are lost
	crashAfterVote   bool
	voted            bool // whether the node granted a vote since its last flush began
}

// simOperation is one client call.
type simOperation struct {
	client    int
	write     bool
	command   simCommand
	start     time.Time
	term      uint64
	readIndex uint64 // log index that must be applied before a read returns
	node      *simNode
	done      bool
}

// simCommit is a committed entry and the current term of the node on which it
// was first seen committed.
type simCommit struct{ index, term, seenInTerm uint64 }

type simMessage struct {
	Message
	deliverAt time.Time
	from      *simNode
}

// simWorld simulates a group in virtual time. Its behavior is fully determined
// by the seed and the plan.
type simWorld struct {
	rng              *rand.Rand
	now              time.Time
	nodes            []*simNode
	bootstrap        []Member
	messages         []simMessage
	loss             float64
	duplicate        float64
	blockedUntil     map[[2]string]time.Time // by link: time until which nothing is delivered
	slowUntil        map[[2]string]time.Time // by link: time until which delays are long
	rampStart        map[[2]string]time.Time // by link: time from which delays grow, for rampDuration
	blockedInterval  map[[2]string][2]time.Time
	changeRules      func(*rules)
	wrapStore        func(*simNode, storage) storage
	newIncarnation   func(*simNode) string
	incarnationCount int
	divergentMachine bool // whether one node's state machine deliberately behaves differently from the others
	callsPaused      bool // whether clients start no new calls
	autoMembership   bool // whether the leader promotes and removes voters by itself

	failure            error // first failed check
	leaders            map[uint64]string
	electedAt          map[uint64]time.Time
	committedHashes    map[uint64]uint64 // by index: hash of the committed entry's term, type and data
	commits            []simCommit
	lastCommit         uint64
	entryHashes        map[[2]uint64]uint64 // by index and term: hash of the entry
	chainAt            map[uint64]uint64
	votes              map[string]string // by incarnation and term of the voter: the candidate that got the vote
	listedIncarnations map[string]bool   // incarnations that any membership has listed
	lostIncarnations   map[string]bool   // incarnations whose disk was lost

	clients        []*simOperation // the unfinished call of each client, or nil
	nextClient     int
	nextValue      int
	history        []porcupine.Operation
	completedCalls int
	counts         map[string]int
}

func newSimWorld(seed uint64, voters int) *simWorld {
	w := &simWorld{
		rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0),
		blockedUntil: map[[2]string]time.Time{}, slowUntil: map[[2]string]time.Time{}, blockedInterval: map[[2]string][2]time.Time{}, rampStart: map[[2]string]time.Time{},
		leaders: map[uint64]string{}, electedAt: map[uint64]time.Time{},
		committedHashes: map[uint64]uint64{}, entryHashes: map[[2]uint64]uint64{},
		chainAt: map[uint64]uint64{}, votes: map[string]string{}, listedIncarnations: map[string]bool{}, lostIncarnations: map[string]bool{},
		clients: make([]*simOperation, 4), nextClient: 4, counts: map[string]int{},
	}
	w.newIncarnation = func(*simNode) string {
		w.incarnationCount++
		return fmt.Sprintf("i%d", w.incarnationCount)
	}
	for i := range voters {
		name := string(rune('a' + i))
		w.bootstrap = append(w.bootstrap, Member{Name: name, Address: name})
		w.nodes = append(w.nodes, &simNode{name: name, disk: waltest.NewMemFS()})
	}
	if w.rng.IntN(3) == 0 {
		w.nodes = append(w.nodes, &simNode{name: "z", diskless: true})
	}
	return w
}

func (w *simWorld) fail(check, format string, args ...any) {
	if w.failure == nil {
		w.failure = fmt.Errorf("%s: %s", check, fmt.Sprintf(format, args...))
	}
}

// failedCheck returns the name of the first check that failed.
func (w *simWorld) failedCheck() string {
	check, _, _ := strings.Cut(w.failure.Error(), ":")
	return check
}

// start starts a node's process with the contents of its disk.
func (w *simWorld) start(n *simNode) {
	if n.address == "" {
		n.address = n.name
	}
	self, dir := Member{Name: n.name, Address: n.address}, "disk"
	o := wal.Options{FS: n.disk, SegmentBytes: 2048}
	if n.diskless {
		dir = ""
	}
	if !n.diskless && n.disk.Bytes() == 0 && w.rng.IntN(6) == 0 {
		n.faultCountdown = 1 + w.rng.IntN(5) // let one of the node's first steps on an empty disk fail
	}
	defer w.armFaults(n)()
	store, state, self, err := openStorage(dir, o, self, func() string { return w.newIncarnation(n) })
	if err != nil {
		w.crashOnError(n, err)
		return
	}
	config, _ := Config{Name: n.name, Address: n.address, Bootstrap: w.bootstrap, KeepEntries: 8, ReplaceAfter: time.Second}.withDefaults()
	if w.autoMembership {
		w.configureAutoMembership(n, &config)
	}
	cc := config.core(self)
	if w.autoMembership {
		cc.RemoveAfter = 900 * time.Millisecond
	}
	cc.ChunkBytes, cc.MaxAppendBytes, cc.MaxInFlightBytes = 64, 200, 400
	c, err := newCore(cc, w.rng.Uint64(), w.now, state)
	if err != nil {
		w.fail("start", "%s: %v", n.name, err)
		return
	}
	if w.changeRules != nil {
		w.changeRules(&c.rules)
	}
	if w.wrapStore != nil {
		store = w.wrapStore(n, store)
	}
	n.machine = &simMachine{Registers: map[int]int{}}
	if state.Snapshot.Index > 0 {
		if err := n.machine.Restore(state.Snapshot.Data); err != nil {
			w.fail("start", "%v", err)
		}
	}
	if w.divergentMachine && n == w.nodes[1] {
		n.machine.indexOffset = 1
	}
	n.protocol = replica{core: c, store: &simStore{storage: store, w: w, n: n}}
	n.applier = &applier{machine: n.machine, store: store, applied: state.Snapshot.Index}
	n.schedule = schedule{scheduledIndex: state.Snapshot.Index, snapshotEntries: 20, snapshotBytes: 1 << 20}
	n.checkedIndex = state.Snapshot.Index
	n.waiters, n.readers = map[uint64]*simOperation{}, map[uint64]*simOperation{}
	n.up = true
}

// armFaults sets up the fault points for the running node. The returned
// function removes them.
func (w *simWorld) armFaults(n *simNode) func() {
	faultpoint.SetHook(func(p faultpoint.Point) error {
		if n.faultCountdown == 0 {
			return nil
		}
		if n.faultCountdown--; n.faultCountdown == 0 {
			w.counts["fault point "+string(p)]++
			return errors.New("injected at " + string(p))
		}
		return nil
	})
	return func() { faultpoint.SetHook(nil) }
}

// crash kills a node's process, which restarts after the duration down. Unsynced
// data is lost.
func (w *simWorld) crash(n *simNode, down time.Duration) {
	n.up, n.restartAt, n.faultCountdown = false, w.now.Add(down), 0
	if n.disk != nil {
		n.disk.Crash(w.rng)
		n.disk.FreeBytes, n.disk.FailSyncs = -1, false
	}
	for _, op := range w.clients {
		if op != nil && op.node == n {
			w.abandonCall(op)
		}
	}
	w.counts["crash"]++
}

// crashOnError crashes a node after a fatal error. Any error except a disk
// fault fails the simulation.
func (w *simWorld) crashOnError(n *simNode, err error) {
	if code := resultcode.From(err).Code; code != resultcode.DiskFailed {
		w.fail("program", "%s: %v", n.name, err)
	}
	w.crash(n, w.randomMillis(100, 1500))
}

// loseDisk replaces a node's disk with an empty one, if the group can tolerate
// it: in every membership known to any node, a quorum must keep its disks. It
// reports whether it did.
func (w *simWorld) loseDisk(n *simNode) bool {
	if n.protocol.core == nil || n.diskless {
		return false
	}
	incarnation := n.protocol.core.cfg.Self.Incarnation
	for _, x := range w.nodes {
		if x.protocol.core == nil {
			return false
		}
		if !x.protocol.core.inGroup() {
			continue
		}
		voters, intact := x.protocol.core.members().voters(), 0
		for _, v := range voters {
			if v.Incarnation != incarnation && !w.lostIncarnations[v.Incarnation] {
				intact++
			}
		}
		if intact <= len(voters)/2 {
			return false
		}
	}
	w.crash(n, w.randomMillis(50, 1500))
	w.lostIncarnations[incarnation] = true
	n.disk = waltest.NewMemFS()
	w.counts["disk lost"]++
	return true
}

func (w *simWorld) randomMillis(lowest, highest int) time.Duration {
	return time.Duration(lowest+w.rng.IntN(highest-lowest+1)) * time.Millisecond
}

// send schedules the delivery of a message, with delays, losses and duplicates.
func (w *simWorld) send(from *simNode, m Message) {
	if m.Type == MsgVoteAnswer && !m.Reject {
		w.recordVote(m.From.Incarnation, m.Term, m.To)
		from.voted = true
	}
	for {
		link := [2]string{from.name, m.ToAddress}
		delay := w.randomMillis(1, 15)
		if w.rng.IntN(50) == 0 {
			delay += w.randomMillis(0, 700)
		}
		if w.now.Before(w.slowUntil[link]) {
			delay += w.randomMillis(250, 600)
		}
		if since := w.now.Sub(w.rampStart[link]); since < rampDuration {
			delay += since * 4 / 5
		}
		if w.rng.Float64() >= w.loss {
			w.messages = append(w.messages, simMessage{Message: m, deliverAt: w.now.Add(delay), from: from})
		}
		if w.rng.Float64() >= w.duplicate {
			return
		}
	}
}

// node returns the newest node at an address.
func (w *simWorld) node(address string) *simNode {
	for _, n := range slices.Backward(w.nodes) {
		if n.address == address {
			return n
		}
	}
	panic("no node has the address " + address)
}

// deliver delivers the messages that are due, in random order.
func (w *simWorld) deliver() {
	var due, later []simMessage
	for _, m := range w.messages {
		to := w.node(m.ToAddress)
		frozen := to.up && w.now.Before(to.frozenUntil)
		switch {
		case m.deliverAt.After(w.now) || (frozen && !to.dropsWhileFrozen):
			later = append(later, m)
		case !frozen:
			due = append(due, m)
		}
	}
	w.messages = later
	w.rng.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, m := range due {
		to := w.node(m.ToAddress)
		if !to.up || w.isBlocked([2]string{m.from.name, to.name}) {
			continue
		}
		if err := to.protocol.core.step(w.now, m.Message); err != nil && resultcode.From(err).Code == resultcode.InvariantViolation {
			w.fail("program", "%s: %v", to.name, err)
		}
	}
}

func (w *simWorld) isBlocked(link [2]string) bool {
	interval := w.blockedInterval[link]
	return w.now.Before(w.blockedUntil[link]) || (w.now.After(interval[0]) && w.now.Before(interval[1]))
}

// run advances virtual time by d.
func (w *simWorld) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end) && w.failure == nil; {
		w.now = w.now.Add(simStep)
		w.deliver()
		for _, n := range w.nodes {
			if !n.up && !w.now.Before(n.restartAt) {
				w.start(n)
			}
			if n.up && !w.now.Before(n.frozenUntil) {
				w.runNode(n)
			}
		}
		w.runClients()
		w.checkContact()
	}
}

func (w *simWorld) runNode(n *simNode) {
	defer w.armFaults(n)()
	// The core's tick is sometimes skipped, because a node's run loop may
	// process messages before it checks the time, especially after the process
	// was frozen.
	if w.now.Sub(n.frozenUntil) >= 2*simStep && w.rng.IntN(4) > 0 {
		n.protocol.core.tick(w.now)
	}
	n.voted = false
	result, err := n.protocol.flush(func(m Message) { w.send(n, m) })
	if err != nil {
		w.crashOnError(n, err)
		return
	}
	if n.voted && n.crashAfterVote {
		n.crashAfterVote = false
		w.counts["crash after vote"]++
		w.crash(n, w.randomMillis(5, 40))
		return
	}
	if result.receivedSnapshot != nil {
		n.schedule.scheduleRestore(result.receivedSnapshot)
		w.counts["snapshot installed"]++
	}
	for _, r := range result.reads {
		w.handleReadResult(n, r)
	}
	w.checkNode(n)
	for t, ok := n.schedule.next(n.protocol.core); ok; t, ok = n.schedule.next(n.protocol.core) {
		if err := w.handleTaskResult(n, n.applier.run(t)); err != nil {
			w.crashOnError(n, err)
			return
		}
	}
}

func (w *simWorld) handleTaskResult(n *simNode, r taskResult) error {
	n.schedule.busy = false
	if r.err != nil {
		return r.err
	}
	for _, ar := range r.results {
		if op, ok := n.waiters[ar.index]; ok && op.term == ar.term && !op.done {
			w.completeCall(op, 0)
		}
		delete(n.waiters, ar.index)
	}
	if old, ok := w.chainAt[r.applied]; ok && old != n.machine.Chain {
		w.fail("state machine equality", "%s differs at %d", n.name, r.applied)
	}
	w.chainAt[r.applied] = n.machine.Chain
	if r.snapshot != nil {
		return n.protocol.store.Compact(n.protocol.core.compact(*r.snapshot, 8, DefaultKeepBytes))
	}
	return nil
}

// simStore checks everything that becomes durable against the data of other
// nodes.
type simStore struct {
	storage
	w *simWorld
	n *simNode
}

func (s *simStore) Append(h wal.HardState, entries []wal.Entry) error {
	for _, e := range entries {
		key, hash := [2]uint64{e.Index, e.Term}, simHash(e.Type, string(e.Data), s.n.protocol.core.log.term(e.Index-1))
		if old, ok := s.w.entryHashes[key]; ok && old != hash && s.n.protocol.core.log.baseIndex != e.Index-1 {
			s.w.fail("log matching", "%s has another entry %d of term %d", s.n.name, e.Index, e.Term)
		}
		if s.n.protocol.core.log.baseIndex != e.Index-1 {
			s.w.entryHashes[key] = hash
		}
		if m, err := decodeMembership(e.Index, e.Data); e.Type == wal.EntryMembership && err == nil {
			for _, x := range m.Members {
				s.w.listedIncarnations[x.Incarnation] = true
			}
		}
	}
	err := s.storage.Append(h, entries)
	if err == nil && h.Vote != "" {
		// A vote counts once it is durable; a crash before that revokes it.
		s.w.recordVote(s.n.protocol.core.cfg.Self.Incarnation, h.Term, h.Vote)
	}
	return err
}

func (w *simWorld) recordVote(incarnation string, term uint64, candidate string) {
	key := fmt.Sprint(incarnation, "/", term)
	switch old, ok := w.votes[key]; {
	case w.lostIncarnations[incarnation]:
		w.fail("old identity", "%s voted in term %d after its disk was lost", incarnation, term)
	case !w.listedIncarnations[incarnation]:
		w.fail("old identity", "%s voted in term %d and was never a member", incarnation, term)
	case ok && old != candidate:
		w.fail("one vote per term", "%s voted for %s and %s in term %d", incarnation, old, candidate, term)
	}
	w.votes[key] = candidate
}

// checkNode checks a node's state against what was seen on any node before.
func (w *simWorld) checkNode(n *simNode) {
	c := n.protocol.core
	for i := n.checkedIndex + 1; i <= c.commit; i++ {
		if i <= c.log.baseIndex {
			continue // a snapshot covers the entry; the state machines are compared instead
		}
		e := c.log.entriesFrom(i, 0)[0]
		hash := simHash(e.Term, e.Type, string(e.Data))
		if old, ok := w.committedHashes[i]; ok && old != hash {
			w.fail("committed entries", "%s committed another entry %d", n.name, i)
		}
		if i > w.lastCommit {
			w.lastCommit = i
			w.commits = append(w.commits, simCommit{index: i, term: e.Term, seenInTerm: c.state.Term})
		}
		w.committedHashes[i] = hash
	}
	n.checkedIndex = c.commit
	if c.role == Leader && w.leaders[c.state.Term] != c.cfg.Self.Incarnation {
		w.checkElected(n)
	}
	w.loseRepairedDisks(n)
}

// checkElected checks that a newly elected leader is the only one of its term and
// has the committed entries.
func (w *simWorld) checkElected(n *simNode) {
	c := n.protocol.core
	if other := w.leaders[c.state.Term]; other != "" {
		w.fail("one leader per term", "%s and %s lead in term %d", other, c.cfg.Self.Incarnation, c.state.Term)
	}
	w.leaders[c.state.Term], w.electedAt[c.state.Term] = c.cfg.Self.Incarnation, w.now
	w.counts["election"]++
	// A node may still win a delayed election of an old term. Such a leader
	// need not have the entries committed in later terms.
	for _, e := range slices.Backward(w.commits) {
		if e.seenInTerm < c.state.Term {
			if e.index > c.log.baseIndex && c.log.term(e.index) != e.term {
				w.fail("committed entries", "%s leads term %d without entry %d", n.name, c.state.Term, e.index)
			}
			return
		}
	}
}

// loseRepairedDisks makes nodes marked with loseDiskAgain lose their disk right
// after they have become voters again.
func (w *simWorld) loseRepairedDisks(n *simNode) {
	m := n.protocol.core.members()
	if m.Index > n.protocol.core.commit || !slices.ContainsFunc(w.nodes, func(x *simNode) bool { return x.loseDiskAgain }) {
		return
	}
	for _, v := range m.voters() {
		if x := w.node(v.Address); x.loseDiskAgain && x.up && x.protocol.core.cfg.Self.Incarnation == v.Incarnation && x != n {
			if w.loseDisk(x) {
				x.loseDiskAgain = false
				w.counts["disk lost again"]++
			}
		}
	}
}

// checkContact checks that no leader claims a quorum contact after the election
// of a later leader.
func (w *simWorld) checkContact() {
	for _, n := range w.nodes {
		if !n.up || n.protocol.core.role != Leader {
			continue
		}
		for term, electedAt := range w.electedAt {
			if term > n.protocol.core.state.Term && n.protocol.core.quorumContact.After(electedAt) {
				w.fail("quorum contact", "%s of term %d claims contact after the election of term %d", n.name, n.protocol.core.state.Term, term)
			}
		}
	}
}

// runClients starts calls for clients without an open one, completes reads and
// abandons calls that take too long.
func (w *simWorld) runClients() {
	for i, op := range w.clients {
		switch {
		case op == nil:
			if !w.callsPaused && w.rng.IntN(8) == 0 {
				w.startCall(i)
			}
		case op.readIndex > 0 && op.node.applier.applied >= op.readIndex:
			w.completeCall(op, op.node.machine.Registers[op.command.Key])
		case w.now.Sub(op.start) > time.Second:
			w.abandonCall(op)
		}
	}
}

func (w *simWorld) startCall(slot int) {
	var leaders []*simNode
	for _, n := range w.nodes {
		if n.up && n.protocol.core.role == Leader && n.protocol.core.transferTarget == "" {
			leaders = append(leaders, n)
		}
	}
	if len(leaders) == 0 {
		return
	}
	n := leaders[w.rng.IntN(len(leaders))]
	w.nextValue++
	op := &simOperation{client: w.nextClient + slot, start: w.now, node: n, write: w.rng.IntN(2) == 0}
	op.command = simCommand{Key: w.rng.IntN(3), Value: w.nextValue}
	w.clients[slot] = op
	if !op.write {
		n.readers[uint64(w.nextValue)] = op
		n.protocol.core.requestRead(uint64(w.nextValue))
		return
	}
	data, _ := json.Marshal(op.command)
	op.term = n.protocol.core.state.Term
	n.waiters[n.protocol.core.appendEntry(wal.EntryCommand, data)] = op
}

func (w *simWorld) handleReadResult(n *simNode, r readResult) {
	op := n.readers[r.id]
	delete(n.readers, r.id)
	if op == nil || op.done {
		return
	}
	if r.err != nil {
		w.abandonCall(op)
		return
	}
	op.readIndex = r.index
}

func (w *simWorld) endCall(op *simOperation) {
	op.done = true
	w.clients[slices.Index(w.clients, op)] = nil
	w.nextClient += len(w.clients) // a call with an unknown outcome stays open, so each call gets a new client ID
}

func (w *simWorld) completeCall(op *simOperation, value int) {
	w.endCall(op)
	w.completedCalls++
	w.history = append(w.history, porcupine.Operation{
		ClientId: op.client, Input: *op, Call: op.start.UnixNano(), Output: value, Return: w.now.UnixNano(),
	})
}

// abandonCall ends a call without an answer. A write may still take effect at
// any later time; a read has no effect.
func (w *simWorld) abandonCall(op *simOperation) {
	w.endCall(op)
	if op.write {
		w.history = append(w.history, porcupine.Operation{
			ClientId: op.client, Input: *op, Call: op.start.UnixNano(), Output: 0, Return: w.now.Add(time.Hour).UnixNano(),
		})
	}
}

// registerModel models independent registers; each key is checked separately.
var registerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[int][]porcupine.Operation{}
		for _, o := range history {
			key := o.Input.(simOperation).command.Key
			byKey[key] = append(byKey[key], o)
		}
		var out [][]porcupine.Operation
		for _, part := range byKey {
			out = append(out, part)
		}
		return out
	},
	Init: func() any { return 0 },
	Step: func(state, input, output any) (bool, any) {
		op := input.(simOperation)
		if op.write {
			return true, op.command.Value
		}
		return output.(int) == state.(int), state
	},
}

// waitConverged ends all faults and waits until every node has applied new
// commands.
func (w *simWorld) waitConverged() {
	w.loss, w.duplicate = 0, 0
	clear(w.blockedUntil)
	clear(w.slowUntil)
	clear(w.blockedInterval)
	clear(w.rampStart)
	for _, n := range w.nodes {
		n.loseDiskAgain, n.faultCountdown, n.crashAfterVote, n.frozenUntil = false, 0, false, time.Time{}
		if n.disk != nil {
			n.disk.FreeBytes, n.disk.FailSyncs = -1, false
		}
	}
	// Clients pause, because nodes must also catch up without new commands.
	w.callsPaused = true
	target, finished := w.lastCommit, w.completedCalls
	for range 400 {
		w.run(100 * time.Millisecond)
		w.callsPaused = w.callsPaused && !w.allApplied(target)
		if w.failure != nil || (w.completedCalls > finished+2 && w.allApplied(target)) {
			return
		}
	}
	w.fail("convergence", "no progress on all nodes after the faults ended:\n%s", w.describe())
}

func (w *simWorld) allApplied(index uint64) bool {
	return !slices.ContainsFunc(w.nodes, func(n *simNode) bool { return !n.up || n.applier.applied < index })
}

func (w *simWorld) describe() string {
	out := ""
	for _, n := range w.nodes {
		if c := n.protocol.core; c != nil {
			out += fmt.Sprintf("%s up=%v %s %s term=%d vote=%s commit=%d last=%d base=%d members=%+v\n", n.name, n.up,
				c.cfg.Self.Incarnation, c.role, c.state.Term, c.state.Vote, c.commit, c.log.lastIndex(), c.log.baseIndex, c.members().Members)
		}
	}
	return out
}

// checkHistory checks that the client calls were linearizable.
func (w *simWorld) checkHistory() {
	if w.failure != nil {
		return
	}
	for _, op := range w.clients {
		if op != nil {
			w.abandonCall(op) // keep the unfinished write in the history, because it may have taken effect
		}
	}
	if r := porcupine.CheckOperationsTimeout(registerModel, w.history, 20*time.Second); r != porcupine.Ok {
		w.fail("linearizability", "%d operations: %s", len(w.history), r)
	}
}
