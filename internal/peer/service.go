package peer

import (
	"context"

	"connectrpc.com/connect"
	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/failure"
	pb "github.com/primrosewell/primrosewell/internal/peer/peerv1"
)

// service implements the generated handler on top of Handlers.
type service struct {
	handlers Handlers
}

func absent(part string) error {
	return toConnect(failure.New(failure.NotFound, "this daemon does not answer for "+part))
}

// Heartbeat implements PeerService.
func (s *service) Heartbeat(ctx context.Context, r *connect.Request[pb.HeartbeatMessage]) (*connect.Response[pb.HeartbeatMessage], error) {
	if s.handlers.Members == nil {
		return nil, absent("membership")
	}
	reply, err := s.handlers.Members.Receive(ctx, heartbeatFromProto(r.Msg))
	if err != nil {
		return nil, toConnect(err)
	}
	return connect.NewResponse(heartbeatToProto(reply)), nil
}

// FetchConfig implements PeerService.
func (s *service) FetchConfig(ctx context.Context, r *connect.Request[pb.FetchConfigRequest]) (*connect.Response[pb.FetchConfigResponse], error) {
	if s.handlers.Config == nil {
		return nil, absent("configuration")
	}
	delta, err := s.handlers.Config.FetchConfig(ctx, r.Msg.GetSince())
	if err != nil {
		return nil, toConnect(err)
	}
	return connect.NewResponse(deltaToProto(delta)), nil
}

// Acquire implements PeerService.
func (s *service) Acquire(ctx context.Context, r *connect.Request[pb.AcquireRequest]) (*connect.Response[pb.AcquireResponse], error) {
	if s.handlers.Pools == nil {
		return nil, absent("pools")
	}
	grant, err := s.handlers.Pools.AcquireFor(ctx, askFromProto(r.Msg.GetAsk()))
	if err != nil {
		return nil, toConnect(err)
	}
	return connect.NewResponse(&pb.AcquireResponse{Grant: grantToProto(grant)}), nil
}

// Release implements PeerService.
func (s *service) Release(ctx context.Context, r *connect.Request[pb.ReleaseRequest]) (*connect.Response[pb.ReleaseResponse], error) {
	if s.handlers.Pools == nil {
		return nil, absent("pools")
	}
	if err := s.handlers.Pools.ReleaseFor(ctx, convert(r.Msg.GetReports(), reportFromProto)); err != nil {
		return nil, toConnect(err)
	}
	return connect.NewResponse(&pb.ReleaseResponse{}), nil
}

// Progress implements PeerService.
func (s *service) Progress(ctx context.Context, r *connect.Request[pb.ProgressRequest]) (*connect.Response[pb.ProgressResponse], error) {
	if s.handlers.Pools == nil {
		return nil, absent("pools")
	}
	running := convert(r.Msg.GetRunning(), progressFromProto)
	if err := s.handlers.Pools.ProgressFor(ctx, r.Msg.GetDaemon(), r.Msg.GetPool(), running); err != nil {
		return nil, toConnect(err)
	}
	return connect.NewResponse(&pb.ProgressResponse{}), nil
}

// FetchAnswer implements PeerService.
func (s *service) FetchAnswer(ctx context.Context, r *connect.Request[pb.FetchAnswerRequest]) (*connect.Response[pb.FetchAnswerResponse], error) {
	if s.handlers.StoredResponses == nil {
		return nil, absent("answers")
	}
	answer, found, err := s.handlers.StoredResponses(ctx, r.Msg.GetWorkspace(), r.Msg.GetKey())
	if err != nil {
		return nil, toConnect(err)
	}
	return connect.NewResponse(&pb.FetchAnswerResponse{Found: found, Answer: answer}), nil
}

// ForwardClaims implements PeerService.
func (s *service) ForwardClaims(ctx context.Context, r *connect.Request[pb.ForwardClaimsRequest]) (*connect.Response[pb.ForwardClaimsResponse], error) {
	if s.handlers.Claims == nil {
		return nil, absent("claims")
	}
	results := s.handlers.Claims(ctx, convert(r.Msg.GetClaims(), claimFromProto))
	return connect.NewResponse(&pb.ForwardClaimsResponse{Results: convert(results, claimResultToProto)}), nil
}

// Status implements PeerService.
func (s *service) Status(ctx context.Context, _ *connect.Request[pb.StatusRequest]) (*connect.Response[pb.StatusResponse], error) {
	if s.handlers.Status == nil {
		return nil, absent("status")
	}
	status, err := s.handlers.Status(ctx)
	if err != nil {
		return nil, toConnect(err)
	}
	return connect.NewResponse(&pb.StatusResponse{Status: status}), nil
}

func convert[A, B any](in []A, f func(A) B) []B {
	if len(in) == 0 {
		return nil
	}
	return lo.Map(in, func(a A, _ int) B { return f(a) })
}
