package agreement

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/wal"
)

// Default values of Config fields.
const (
	DefaultElectionTimeout   = 300 * time.Millisecond
	DefaultHeartbeatInterval = 75 * time.Millisecond
	DefaultSnapshotEntries   = 4096
	DefaultSnapshotBytes     = 8 << 20
	DefaultKeepEntries       = 1024
	DefaultKeepBytes         = 4 << 20
	// DefaultReplaceAfter exceeds the duration of a process restart, so that a
	// restarting voter is not replaced.
	DefaultReplaceAfter = 5 * time.Second
)

// MaxCommandBytes is the maximum size of one command: the largest settings of a
// team (settings.MaxBytes, 1 MiB) plus 64 KiB for the rest of the command.
const MaxCommandBytes = 1<<20 + 64<<10

// Limits on replication, queues and batches.
const (
	maxAppendBytes      = 256 << 10 // bytes of entry data per append message; sending them takes 70 ms at 30 Mbit/s
	maxInFlightBytes    = 2 << 20
	chunkBytes          = 128 << 10
	maxLagEntries       = 256
	inboxMessages       = 2048
	proposalQueueLength = 1024
	maxWaiters          = 8192 // maximum number of proposed commands that are not applied yet
	maxBatchInputs      = 512  // maximum number of messages and commands processed between two disk syncs
	maxBatchInputBytes  = 8 << 20
	maxInboxBytes       = 64 << 20
	maxWaitingBytes     = 64 << 20
	applyBatchBytes     = 1 << 20
)

// Config configures a node.
type Config struct {
	// Name identifies the instance. It must be unique in the deployment.
	Name string
	// Address is the IP:port at which other members reach this node's Handler.
	Address string
	// DataDir is the directory of the log. If it is empty, the node is a
	// diskless learner: it persists nothing and never votes.
	DataDir string
	// Bootstrap lists the initial voters by name and address, identically on each
	// of them. It must be empty on a node that joins an existing group.
	Bootstrap []Member
	// Seeds lists additional addresses that a node without a log asks to join a
	// group. It always asks the Bootstrap addresses as well.
	Seeds []string
	// ElectionTimeout is the minimum time without a leader before an election.
	// The actual timeout is random and less than twice that. Default 300 ms.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between two heartbeat rounds. Default
	// 75 ms.
	HeartbeatInterval time.Duration
	// Tick is the interval at which timeouts are checked. Default one fifth of
	// HeartbeatInterval.
	Tick time.Duration
	// A snapshot is taken after SnapshotEntries entries or SnapshotBytes bytes
	// were applied since the last one. Default 4096 entries, 8 MiB.
	SnapshotEntries uint64
	SnapshotBytes   int
	// KeepEntries is the number of entries covered by a snapshot that stay in
	// the log for followers that lag, as far as their data does not exceed KeepBytes.
	// Default 1024 entries, 4 MiB.
	KeepEntries uint64
	KeepBytes   int
	// MaxSnapshotBytes is the maximum size of a snapshot received from the
	// leader. Default wal.MaxRecordBytes.
	MaxSnapshotBytes uint64
	// RefuseUnknown prevents the leader from adding nodes that ask to join; an
	// operator then adds them with AddLearner. By default they are added as
	// learners, which gives them no vote.
	RefuseUnknown bool
	// ReplaceAfter is how long a voter must be out of contact before a learner
	// of the same name with a disk replaces it. Default 5 s; negative: never.
	ReplaceAfter time.Duration
	// PromoteLearners makes the leader manage the voters. It promotes caught-up
	// learners that have a disk while the group has fewer than maxAutoVoters
	// voters in contact, and removes a voter that stays out of contact if the
	// others can lose one more. By default an operator manages the voters.
	PromoteLearners bool
	// WAL holds the options of the log; tests use it to replace the file system.
	WAL wal.Options
}

func (c Config) withDefaults() (Config, error) {
	setDefault(&c.ElectionTimeout, DefaultElectionTimeout)
	setDefault(&c.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&c.Tick, c.HeartbeatInterval/5)
	setDefault(&c.SnapshotEntries, DefaultSnapshotEntries)
	setDefault(&c.SnapshotBytes, DefaultSnapshotBytes)
	setDefault(&c.KeepEntries, DefaultKeepEntries)
	setDefault(&c.KeepBytes, DefaultKeepBytes)
	setDefault(&c.MaxSnapshotBytes, wal.MaxRecordBytes)
	setDefault(&c.ReplaceAfter, DefaultReplaceAfter)
	switch {
	case c.Name == "" || c.Address == "":
		return c, invalidConfigError("a node needs a name and an address")
	case c.ElectionTimeout < 2*c.HeartbeatInterval:
		return c, invalidConfigError("the election timeout must be at least two heartbeat intervals")
	case len(c.Bootstrap) > maxVoters:
		return c, invalidConfigError("at most 7 voters are supported")
	}
	for _, b := range c.Bootstrap {
		if b.Name == "" || b.Address == "" {
			return c, invalidConfigError("an initial voter needs a name and an address")
		}
	}
	return c, nil
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

func invalidConfigError(message string) error {
	return trace.Wrap(resultcode.Newf(resultcode.SettingsInvalid, "agreement: %s", message))
}

func (c Config) core(self Member) coreConfig {
	return coreConfig{
		Self:              self,
		Bootstrap:         c.Bootstrap,
		Seeds:             c.Seeds,
		ElectionTimeout:   c.ElectionTimeout,
		HeartbeatInterval: c.HeartbeatInterval,
		ReplaceAfter:      c.ReplaceAfter,
		PromoteLearners:   c.PromoteLearners,
		RemoveAfter:       defaultRemoveAfter,
		AdmitLearners:     !c.RefuseUnknown,
		MaxAppendBytes:    maxAppendBytes,
		MaxInFlightBytes:  maxInFlightBytes,
		ChunkBytes:        chunkBytes,
		MaxSnapshotSize:   c.MaxSnapshotBytes,
		MaxLagEntries:     maxLagEntries,
	}
}
