package control

import (
	"context"

	"github.com/endivetrack/endivetrack/api"
)

// BeginWrite commits the intent to dispatch a protected write.
func (s *Server) BeginWrite(ctx context.Context, req *api.BeginWriteRequest) (*api.BeginWriteResponse, error) {
	return atLeader(ctx, s, req, s.beginWrite, func(leader Calls) func(context.Context, *api.BeginWriteRequest) (*api.BeginWriteResponse, error) {
		return leader.BeginWrite
	})
}

func (s *Server) beginWrite(ctx context.Context, _ *term, req *api.BeginWriteRequest) (*api.BeginWriteResponse, error) {
	return proposeFor[*api.BeginWriteResponse](ctx, s, &api.StateCommand{Body: &api.StateCommand_BeginWrite{BeginWrite: req}})
}

// EndWrite commits the answer of a protected write, or that it did not run.
func (s *Server) EndWrite(ctx context.Context, req *api.EndWriteRequest) (*api.EndWriteResponse, error) {
	return atLeader(ctx, s, req, s.endWrite, func(leader Calls) func(context.Context, *api.EndWriteRequest) (*api.EndWriteResponse, error) {
		return leader.EndWrite
	})
}

func (s *Server) endWrite(ctx context.Context, _ *term, req *api.EndWriteRequest) (*api.EndWriteResponse, error) {
	return proposeFor[*api.EndWriteResponse](ctx, s, &api.StateCommand{Body: &api.StateCommand_EndWrite{EndWrite: req}})
}

// AcquireLoad takes or refreshes a slot for loading weights.
func (s *Server) AcquireLoad(ctx context.Context, req *api.AcquireLoadRequest) (*api.AcquireLoadResponse, error) {
	return atLeader(ctx, s, req, s.acquireLoad, func(leader Calls) func(context.Context, *api.AcquireLoadRequest) (*api.AcquireLoadResponse, error) {
		return leader.AcquireLoad
	})
}

func (s *Server) acquireLoad(ctx context.Context, _ *term, req *api.AcquireLoadRequest) (*api.AcquireLoadResponse, error) {
	return proposeFor[*api.AcquireLoadResponse](ctx, s, &api.StateCommand{Body: &api.StateCommand_AcquireLoad{AcquireLoad: req}})
}

// ReleaseLoad frees a slot.
func (s *Server) ReleaseLoad(ctx context.Context, req *api.ReleaseLoadRequest) (*api.ReleaseLoadResponse, error) {
	return atLeader(ctx, s, req, s.releaseLoad, func(leader Calls) func(context.Context, *api.ReleaseLoadRequest) (*api.ReleaseLoadResponse, error) {
		return leader.ReleaseLoad
	})
}

func (s *Server) releaseLoad(ctx context.Context, _ *term, req *api.ReleaseLoadRequest) (*api.ReleaseLoadResponse, error) {
	return proposeFor[*api.ReleaseLoadResponse](ctx, s, &api.StateCommand{Body: &api.StateCommand_ReleaseLoad{ReleaseLoad: req}})
}
