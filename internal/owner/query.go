package owner

import (
	"context"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/session"
)

// ShardStatus returns the epoch, queue length and targets of a shard that this
// instance owns.
func (o *Owner) ShardStatus(_ context.Context, r *api.ShardStatusRequest) (*api.ShardStatusResponse, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	sh := o.ownedShard(session.KeyOf(r.GetShard()))
	if sh == nil {
		return &api.ShardStatusResponse{NotOwner: true}, nil
	}
	return &api.ShardStatusResponse{
		Epoch:       sh.epoch,
		QueueLength: uint32(sh.state.QueueLength()),
		Targets:     sh.state.Status(o.cfg.Clock.Now()),
	}, nil
}
