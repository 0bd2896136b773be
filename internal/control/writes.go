package control

import (
	"context"

	"github.com/endivetrack/endivetrack/api"
)

// BeginWrite commits the intent to dispatch a protected write, a call that runs
// at most once. The outcome in the response says whether the caller may
// dispatch it.
func (s *Server) BeginWrite(ctx context.Context, req *api.BeginWriteRequest) (*api.BeginWriteResponse, error) {
	return runOnLeader(ctx, s, req, s.beginWrite, func(leader API) func(context.Context, *api.BeginWriteRequest) (*api.BeginWriteResponse, error) {
		return leader.BeginWrite
	})
}

func (s *Server) beginWrite(ctx context.Context, _ *term, req *api.BeginWriteRequest) (*api.BeginWriteResponse, error) {
	return proposeAs[*api.BeginWriteResponse](ctx, s, &api.StateCommand{Body: &api.StateCommand_BeginWrite{BeginWrite: req}})
}

// EndWrite commits the stored answer of a protected write, or that the write did
// not run.
func (s *Server) EndWrite(ctx context.Context, req *api.EndWriteRequest) (*api.EndWriteResponse, error) {
	return runOnLeader(ctx, s, req, s.endWrite, func(leader API) func(context.Context, *api.EndWriteRequest) (*api.EndWriteResponse, error) {
		return leader.EndWrite
	})
}

func (s *Server) endWrite(ctx context.Context, _ *term, req *api.EndWriteRequest) (*api.EndWriteResponse, error) {
	return proposeAs[*api.EndWriteResponse](ctx, s, &api.StateCommand{Body: &api.StateCommand_EndWrite{EndWrite: req}})
}

// AcquireLoad acquires or refreshes a slot for loading model weights.
func (s *Server) AcquireLoad(ctx context.Context, req *api.AcquireLoadRequest) (*api.AcquireLoadResponse, error) {
	return runOnLeader(ctx, s, req, s.acquireLoad, func(leader API) func(context.Context, *api.AcquireLoadRequest) (*api.AcquireLoadResponse, error) {
		return leader.AcquireLoad
	})
}

func (s *Server) acquireLoad(ctx context.Context, _ *term, req *api.AcquireLoadRequest) (*api.AcquireLoadResponse, error) {
	return proposeAs[*api.AcquireLoadResponse](ctx, s, &api.StateCommand{Body: &api.StateCommand_AcquireLoad{AcquireLoad: req}})
}

// ReleaseLoad releases a slot acquired by AcquireLoad.
func (s *Server) ReleaseLoad(ctx context.Context, req *api.ReleaseLoadRequest) (*api.ReleaseLoadResponse, error) {
	return runOnLeader(ctx, s, req, s.releaseLoad, func(leader API) func(context.Context, *api.ReleaseLoadRequest) (*api.ReleaseLoadResponse, error) {
		return leader.ReleaseLoad
	})
}

func (s *Server) releaseLoad(ctx context.Context, _ *term, req *api.ReleaseLoadRequest) (*api.ReleaseLoadResponse, error) {
	return proposeAs[*api.ReleaseLoadResponse](ctx, s, &api.StateCommand{Body: &api.StateCommand_ReleaseLoad{ReleaseLoad: req}})
}
