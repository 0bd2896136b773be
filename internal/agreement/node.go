package agreement

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/endivetrack/endivetrack/internal/peerauth"
	"github.com/endivetrack/endivetrack/internal/process"
	"github.com/endivetrack/endivetrack/internal/resultcode"
)

// Node is a running member. One goroutine owns the protocol state, a second one
// runs the state machine, and up to two per remote address send messages.
type Node struct {
	config    Config
	transport Transport
	env       *process.Env
	self      Member

	ctx     context.Context
	cancel  context.CancelFunc
	workers sync.WaitGroup
	done    chan struct{}

	inbox     chan Message
	proposals chan proposal
	loopCalls chan func()
	tasks     chan task
	results   chan taskResult

	// The run loop owns the following fields; only inboxBytes is shared.
	replica      replica
	schedule     schedule
	outboxes     *lru.LRU[outboxKey, *outbox]
	waiters      map[uint64]proposal
	pendingReads map[uint64]chan readResult
	lastReadID   uint64
	applied      uint64
	// waiterTerm is the term in which the commands in waiters were proposed.
	waiterTerm   uint64
	waitingBytes int // total bytes of the commands in waiters
	batchBytes   int // bytes of messages and commands handled since the last sync
	inboxBytes   atomic.Int64

	mu               sync.Mutex
	status           Status
	changed          chan struct{}
	publishedContact time.Time
	err              error
}

// proposal is a command whose caller waits for the outcome.
type proposal struct {
	command []byte
	term    uint64
	outcome chan proposalOutcome // has capacity 1, so that sending the outcome never blocks
}

type proposalOutcome struct {
	applied Applied
	err     error
}

// Start opens the data directory and runs a node until Stop is called or a
// fatal error occurs.
func Start(config Config, machine StateMachine, transport Transport, env *process.Env) (*Node, error) {
	config, err := config.withDefaults()
	if err != nil {
		return nil, err
	}
	self := Member{Name: config.Name, Address: config.Address}
	store, state, self, err := openStorage(config.DataDir, config.WAL, self, peerauth.NewKey)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	c, err := newCore(config.core(self), rand.Uint64(), time.Now(), state)
	if err == nil && state.Snapshot.Index > 0 {
		err = machine.Restore(state.Snapshot.Data)
	}
	if err != nil {
		return nil, trace.NewAggregate(err, store.Close())
	}
	n := newNode(config, self, transport, env)
	n.replica = replica{core: c, store: store}
	n.applied = state.Snapshot.Index
	n.schedule = schedule{scheduledIndex: n.applied, snapshotEntries: config.SnapshotEntries, snapshotBytes: config.SnapshotBytes}
	n.publish()
	n.workers.Add(1)
	go n.runApplier(&applier{machine: machine, store: store, applied: n.applied})
	go n.run()
	return n, nil
}

func newNode(config Config, self Member, transport Transport, env *process.Env) *Node {
	n := &Node{
		config:       config,
		transport:    transport,
		env:          env,
		self:         self,
		done:         make(chan struct{}),
		inbox:        make(chan Message, inboxMessages),
		proposals:    make(chan proposal, proposalQueueLength),
		loopCalls:    make(chan func(), proposalQueueLength),
		tasks:        make(chan task, 1),
		results:      make(chan taskResult, 1),
		outboxes:     newOutboxes(),
		waiters:      map[uint64]proposal{},
		pendingReads: map[uint64]chan readResult{},
		changed:      make(chan struct{}),
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	return n
}

// Incarnation returns the ID that the node got when its data directory was
// created, or at this start if it is diskless.
func (n *Node) Incarnation() string { return n.self.Incarnation }

// Done returns a channel that is closed when the node has stopped.
func (n *Node) Done() <-chan struct{} { return n.done }

// Err returns the error that stopped the node, or nil after Stop. After an
// error the process must exit: the contents of the disk are known only after a
// restart.
func (n *Node) Err() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.err
}

// Stop stops the node. A leader first tries to transfer its leadership to
// another voter, for at most two election timeouts. Handler must keep serving
// until Stop returns.
func (n *Node) Stop() {
	n.transferLeadership()
	n.cancel()
	<-n.done
}

func (n *Node) transferLeadership() {
	ctx, cancel := context.WithTimeout(n.ctx, 2*n.config.ElectionTimeout)
	defer cancel()
	started := make(chan bool, 1)
	if n.runInLoop(ctx, func() { started <- n.replica.core.transferLeadership() }) != nil {
		return
	}
	select {
	case ok := <-started:
		if ok {
			_ = n.WaitStatus(ctx, func(s Status) bool { return s.Role != Leader })
		}
	case <-ctx.Done():
	}
}

// Receive queues messages from the transport. It refuses messages for other
// incarnations and drops messages that exceed the queue's limits.
func (n *Node) Receive(messages []Message) error {
	var refusedErr error
	for _, m := range messages {
		if m.To != n.self.Incarnation && (m.To != "" || m.Type != MsgHello) {
			// Only this message is refused, because one request may contain
			// messages for an earlier incarnation and for the current one.
			n.count("agreement.identity_refused")
			refusedErr = resultcode.Newf(resultcode.IdentityMismatch, "message for incarnation %q reached %q", m.To, n.self.Incarnation)
			continue
		}
		size := int64(messageBytes(&m))
		if n.inboxBytes.Add(size) > maxInboxBytes {
			n.inboxBytes.Add(-size)
			n.count("agreement.inbox_full")
			continue
		}
		select {
		case n.inbox <- m:
		default:
			n.inboxBytes.Add(-size)
			n.count("agreement.inbox_full")
		}
	}
	return refusedErr
}

func (n *Node) runApplier(a *applier) {
	defer n.workers.Done()
	for {
		select {
		case <-n.ctx.Done():
			return
		case t := <-n.tasks:
			n.results <- a.run(t)
		}
	}
}

// run is the loop that owns the protocol state.
func (n *Node) run() {
	ticker := time.NewTicker(n.config.Tick)
	defer ticker.Stop()
	var err error
	for err == nil && n.ctx.Err() == nil {
		tick := false
		select {
		case <-n.ctx.Done():
		case <-ticker.C:
			tick = true
		case m := <-n.inbox:
			n.step(m)
		case p := <-n.proposals:
			n.propose(p)
		case f := <-n.loopCalls:
			f()
		case r := <-n.results:
			err = n.handleTaskResult(r)
		}
		n.handleQueuedInputs()
		// Timeouts are checked after the queued messages: a heartbeat that
		// arrived during a long sync must not count as missed.
		if tick {
			n.replica.core.tick(time.Now())
		}
		if err == nil {
			err = n.flush()
		}
		n.publish()
	}
	n.shutdown(err)
}

// handleQueuedInputs processes the inputs that are already queued, so that one
// sync covers all of them.
func (n *Node) handleQueuedInputs() {
	for i := 0; i < maxBatchInputs && n.batchBytes < maxBatchInputBytes; i++ {
		select {
		case m := <-n.inbox:
			n.step(m)
		case p := <-n.proposals:
			n.propose(p)
		case f := <-n.loopCalls:
			f()
		default:
			return
		}
	}
}

func (n *Node) step(m Message) {
	size := messageBytes(&m)
	n.inboxBytes.Add(int64(-size))
	n.batchBytes += size
	if err := n.replica.core.step(time.Now(), m); err != nil {
		n.count("agreement.message_refused")
	}
}

// flush persists and sends what the core has produced, completes reads and
// passes the next task to the applier.
func (n *Node) flush() error {
	n.batchBytes = 0
	result, err := n.replica.flush(n.enqueue)
	if err != nil {
		return err
	}
	for _, ev := range result.events {
		n.record(ev)
	}
	for _, r := range result.reads {
		n.pendingReads[r.id] <- r
		delete(n.pendingReads, r.id)
	}
	if result.receivedSnapshot != nil {
		n.schedule.scheduleRestore(result.receivedSnapshot)
	}
	if c := n.replica.core; c.role != Leader || c.state.Term != n.waiterTerm {
		n.failWaiters(ErrOutcomeUnknown)
	}
	if t, ok := n.schedule.next(n.replica.core); ok {
		n.tasks <- t
	}
	return n.replica.core.violation
}

// handleTaskResult processes a result from the applier.
func (n *Node) handleTaskResult(r taskResult) error {
	n.schedule.busy = false
	if r.err != nil {
		return r.err
	}
	for _, ar := range r.results {
		if p, ok := n.waiters[ar.index]; ok && p.term == ar.term {
			p.outcome <- proposalOutcome{applied: Applied{Index: ar.index, Result: ar.result}}
			n.waitingBytes -= len(p.command)
			delete(n.waiters, ar.index)
		}
	}
	if r.applied < n.applied {
		n.replica.core.setViolation("applied index decreases from %d to %d", n.applied, r.applied)
	}
	n.applied = r.applied
	if r.snapshotErr != nil {
		n.event("agreement.snapshot_failed", "reason", r.snapshotErr.Error())
	}
	if r.snapshot != nil {
		n.event("agreement.snapshot")
		return n.replica.store.Compact(n.replica.core.compact(*r.snapshot, n.config.KeepEntries, n.config.KeepBytes))
	}
	return nil
}

func (n *Node) failWaiters(err error) {
	for index, p := range n.waiters {
		p.outcome <- proposalOutcome{err: err}
		delete(n.waiters, index)
	}
	n.waitingBytes = 0
}

// shutdown stops the goroutines and fails all waiting callers.
func (n *Node) shutdown(err error) {
	n.cancel()
	if err != nil {
		n.recordFatalError(err)
	}
	n.failWaiters(ErrOutcomeUnknown)
	for id, ch := range n.pendingReads {
		ch <- readResult{id: id, err: ErrStopped}
	}
	n.workers.Wait()
	closeErr := n.replica.store.Close()
	n.mu.Lock()
	if err != nil {
		n.err = errors.Join(err, closeErr)
	}
	n.publishedContact = time.Time{}
	n.status.Role = Follower
	close(n.changed)
	n.changed = make(chan struct{})
	n.mu.Unlock()
	close(n.done)
}

func (n *Node) recordFatalError(err error) {
	code := resultcode.From(err).Code
	if code == resultcode.InvariantViolation {
		n.count("agreement.invariant_violation")
	}
	n.count("agreement.fatal")
	if n.env != nil {
		n.env.Log.Error().Int("code", int(code)).Err(err).Msg("agreement node stops")
		n.env.Timeline.Record("agreement.fatal", "code", code.String())
	}
}

func (n *Node) count(name string) {
	if n.env != nil {
		n.env.Metrics.Counter(name).Inc(1)
	}
}

func (n *Node) event(kind string, fields ...string) {
	n.record(event{kind: kind, fields: fields})
}

func (n *Node) record(e event) {
	n.count(e.kind)
	if n.env != nil {
		n.env.Timeline.Record(e.kind, e.fields...)
	}
}
