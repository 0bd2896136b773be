package agreement

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/wal"
)

// Defaults of Config.
const (
	DefaultElectionTimeout   = 300 * time.Millisecond
	DefaultHeartbeatInterval = 75 * time.Millisecond
	DefaultSnapshotEntries   = 4096
	DefaultSnapshotBytes     = 16 << 20
	DefaultKeepEntries       = 1024
	// DefaultReplaceAfter is longer than a process restart, so that a voter
	// that only restarts is not replaced.
	DefaultReplaceAfter = 5 * time.Second
)

// MaxCommandBytes bounds one command: a team's settings of the greatest size
// (settings.MaxBytes, 1 MiB) with their envelope.
const MaxCommandBytes = 1<<20 + 64<<10

// Bounds of replication.
const (
	maxAppendBytes      = 256 << 10 // of one append message; 70 ms at 30 Mbit/s
	maxInFlightBytes    = 2 << 20
	chunkBytes          = 128 << 10
	maxLagEntries       = 256
	inboxMessages       = 2048
	proposalQueueLength = 1024
	maxWaiters          = 8192 // commands proposed and not yet applied
	maxBatchInputs      = 512  // inputs taken between two syncs
	maxBatchInputBytes  = 8 << 20
	maxInboxBytes       = 64 << 20
	maxWaitingBytes     = 64 << 20
	applyBatchBytes     = 1 << 20
)

// Config of a node.
type Config struct {
	// Name identifies the instance; unique over the deployment.
	Name string
	// Address is where other members reach this node's Handler (IP:port).
	Address string
	// DataDir keeps the log. Empty: a learner that keeps nothing and never
	// votes.
	DataDir string
	// Bootstrap are the first voters of the group, by name and address, the
	// same at each of them. Empty for a node that joins an existing group.
	Bootstrap []Member
	// Seeds are further addresses at which a node without a log asks for
	// entry. The addresses of Bootstrap are always asked.
	Seeds []string
	// ElectionTimeout is the least time without a leader before an election;
	// the greatest is twice that. Default 300 ms.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between two heartbeat rounds. Default
	// 75 ms.
	HeartbeatInterval time.Duration
	// Tick is how often time limits are checked. Default a fifth of the
	// heartbeat interval.
	Tick time.Duration
	// SnapshotEntries and SnapshotBytes are how much is applied between two
	// snapshots. Default 4096 entries, 16 MiB.
	SnapshotEntries uint64
	SnapshotBytes   int
	// KeepEntries are kept in the log behind a snapshot for followers that lag.
	// Default 1024.
	KeepEntries uint64
	// MaxSnapshotBytes bounds a snapshot received from the leader. Default
	// wal.MaxRecordBytes.
	MaxSnapshotBytes uint64
	// RefuseUnknown stops the leader from adding nodes that ask for entry as
	// learners; an operator then adds them with AddLearner. Default: they are
	// added, which gives them no vote.
	RefuseUnknown bool
	// ReplaceAfter is how long a voter must be silent before a learner of the
	// same name with a disk takes its place. Default 5 s; negative: never.
	ReplaceAfter time.Duration
	// PromoteLearners makes the leader promote every learner with a disk that
	// has caught up while the group has fewer than maxAutoVoters voters, and
	// remove a voter that stays silent once others make up the group. Default:
	// an operator decides.
	PromoteLearners bool
	// WAL sets the file system of the log for tests.
	WAL wal.Options
}

func (c Config) withDefaults() (Config, error) {
	setDefault(&c.ElectionTimeout, DefaultElectionTimeout)
	setDefault(&c.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&c.Tick, c.HeartbeatInterval/5)
	setDefault(&c.SnapshotEntries, DefaultSnapshotEntries)
	setDefault(&c.SnapshotBytes, DefaultSnapshotBytes)
	setDefault(&c.KeepEntries, DefaultKeepEntries)
	setDefault(&c.MaxSnapshotBytes, wal.MaxRecordBytes)
	setDefault(&c.ReplaceAfter, DefaultReplaceAfter)
	switch {
	case c.Name == "" || c.Address == "":
		return c, invalidConfig("a node needs a name and an address")
	case c.ElectionTimeout < 2*c.HeartbeatInterval:
		return c, invalidConfig("the election timeout must be at least two heartbeat intervals")
	case len(c.Bootstrap) > maxVoters:
		return c, invalidConfig("at most 7 voters are supported")
	}
	for _, b := range c.Bootstrap {
		if b.Name == "" || b.Address == "" {
			return c, invalidConfig("a first voter needs a name and an address")
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

func invalidConfig(message string) error {
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
		MaxSnapshotBytes:  c.MaxSnapshotBytes,
		MaxLagEntries:     maxLagEntries,
	}
}
