package fleet

import (
	"context"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/endivetrack/endivetrack/api"
)

// backgroundCommits commits changes that nobody waits for, one list at a time. Whoever
// finds them due finds them again if they could not be committed.
type backgroundCommits struct {
	server *Server

	mu   sync.Mutex
	busy bool
}

// start commits the changes in a goroutine of its own, unless others are being committed.
func (c *backgroundCommits) start(ctx context.Context, changes []*api.FleetChange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy || len(changes) == 0 {
		return
	}
	c.busy = true
	go func() {
		c.commit(ctx, changes)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.busy = false
	}()
}

func (c *backgroundCommits) commit(ctx context.Context, changes []*api.FleetChange) {
	for _, change := range changes {
		command, err := proto.Marshal(change)
		if err != nil {
			c.server.metrics.Counter("fleet.change_not_encoded").Inc(1)
			continue
		}
		if err := c.server.Commit(ctx, command); err != nil {
			c.server.metrics.Counter("fleet.change_not_committed").Inc(1)
			return
		}
		c.server.logger.Info().Stringer("change", change).Msg("state changed")
	}
}
