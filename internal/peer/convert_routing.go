package peer

import (
	"time"

	"github.com/primrosewell/primrosewell/internal/catalog"
	pb "github.com/primrosewell/primrosewell/internal/peer/peerv1"
	"github.com/primrosewell/primrosewell/internal/routing"
)

// micros returns a duration of n microseconds.
func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

func permitRequestToProto(a routing.PermitRequest) *pb.Ask {
	return &pb.Ask{
		Id:                    a.ID,
		RequestId:             a.RequestID,
		Daemon:                a.Daemon,
		Pool:                  a.Pool,
		Workspace:             a.Workspace,
		Weight:                int32(a.Weight),
		Profile:               a.Profile,
		Class:                 a.Class,
		Tier:                  int32(a.Tier),
		FloorPercent:          a.FloorPercent,
		WaitedUs:              a.Waited.Microseconds(),
		TargetFirstTokenMs:    int32(a.Target.FirstTokenMS),
		TargetBetweenTokensMs: int32(a.Target.BetweenTokensMS),
		TargetCompleteMs:      int32(a.Target.CompleteMS),
		MaxWaitUs:             a.MaxWait.Microseconds(),
		PromptTokens:          int32(a.PromptTokens),
		MaxOutputTokens:       int32(a.MaxOutputTokens),
		Prefix:                a.Prefix,
		Digest:                a.Digest,
		Repeatable:            a.Repeatable,
		Suspect:               a.Suspect,
		Avoid:                 a.Avoid,
		Attempt:               int32(a.Attempt),
	}
}

func permitRequestFromProto(a *pb.Ask) routing.PermitRequest {
	return routing.PermitRequest{
		ID:           a.GetId(),
		RequestID:    a.GetRequestId(),
		Daemon:       a.GetDaemon(),
		Pool:         a.GetPool(),
		Workspace:    a.GetWorkspace(),
		Weight:       int(a.GetWeight()),
		Profile:      a.GetProfile(),
		Class:        a.GetClass(),
		Tier:         catalog.Tier(a.GetTier()),
		FloorPercent: a.GetFloorPercent(),
		Waited:       micros(a.GetWaitedUs()),
		Target: catalog.Target{
			FirstTokenMS:    int(a.GetTargetFirstTokenMs()),
			BetweenTokensMS: int(a.GetTargetBetweenTokensMs()),
			CompleteMS:      int(a.GetTargetCompleteMs()),
		},
		MaxWait:         micros(a.GetMaxWaitUs()),
		PromptTokens:    int(a.GetPromptTokens()),
		MaxOutputTokens: int(a.GetMaxOutputTokens()),
		Prefix:          a.GetPrefix(),
		Digest:          a.GetDigest(),
		Repeatable:      a.GetRepeatable(),
		Suspect:         a.GetSuspect(),
		Avoid:           a.GetAvoid(),
		Attempt:         int(a.GetAttempt()),
	}
}

func grantToProto(g routing.Grant) *pb.Grant {
	return &pb.Grant{
		AskId: g.AttemptID,
		Endpoint: &pb.Endpoint{
			Name:          g.Endpoint.Name,
			Service:       g.Endpoint.Service,
			Address:       g.Endpoint.Address,
			DataCentre:    g.Endpoint.DataCentre,
			MaxConcurrent: int32(g.Endpoint.MaxConcurrent),
			Leaving:       g.Endpoint.Leaving,
		},
		Priority:     int32(g.Priority),
		Broker:       g.Broker,
		QueueWaitUs:  g.QueueWait.Microseconds(),
		Alternatives: int32(g.Alternatives),
		Reason:       g.Reason,
		HedgeAfterUs: g.HedgeAfter.Microseconds(),
	}
}

func grantFromProto(g *pb.Grant) routing.Grant {
	e := g.GetEndpoint()
	return routing.Grant{
		AttemptID: g.GetAskId(),
		Endpoint: catalog.Endpoint{
			Name:          e.GetName(),
			Service:       e.GetService(),
			Address:       e.GetAddress(),
			DataCentre:    e.GetDataCentre(),
			MaxConcurrent: int(e.GetMaxConcurrent()),
			Leaving:       e.GetLeaving(),
		},
		Priority:     int(g.GetPriority()),
		Broker:       g.GetBroker(),
		QueueWait:    micros(g.GetQueueWaitUs()),
		Alternatives: int(g.GetAlternatives()),
		Reason:       g.GetReason(),
		HedgeAfter:   micros(g.GetHedgeAfterUs()),
	}
}

func reportToProto(r routing.Report) *pb.Report {
	return &pb.Report{
		AskId:        r.AttemptID,
		RequestId:    r.RequestID,
		Pool:         r.Pool,
		Endpoint:     r.Endpoint,
		Workspace:    r.Workspace,
		Profile:      r.Profile,
		Class:        r.Class,
		Result:       string(r.Result),
		Digest:       r.Digest,
		FirstTokenUs: r.FirstToken.Microseconds(),
		GapUs:        r.TokenGap.Microseconds(),
		ElapsedUs:    r.Elapsed.Microseconds(),
		PromptTokens: int32(r.PromptTokens),
		OutputTokens: int32(r.OutputTokens),
		CachedTokens: int32(r.CachedTokens),
	}
}

func reportFromProto(r *pb.Report) routing.Report {
	return routing.Report{
		AttemptID:    r.GetAskId(),
		RequestID:    r.GetRequestId(),
		Pool:         r.GetPool(),
		Endpoint:     r.GetEndpoint(),
		Workspace:    r.GetWorkspace(),
		Profile:      r.GetProfile(),
		Class:        r.GetClass(),
		Result:       routing.Result(r.GetResult()),
		Digest:       r.GetDigest(),
		FirstToken:   micros(r.GetFirstTokenUs()),
		TokenGap:     micros(r.GetGapUs()),
		Elapsed:      micros(r.GetElapsedUs()),
		PromptTokens: int(r.GetPromptTokens()),
		OutputTokens: int(r.GetOutputTokens()),
		CachedTokens: int(r.GetCachedTokens()),
	}
}

func progressToProto(p routing.Progress) *pb.Progress {
	return &pb.Progress{
		AskId:        p.AttemptID,
		Endpoint:     p.Endpoint,
		ElapsedUs:    p.Elapsed.Microseconds(),
		OutputTokens: int32(p.OutputTokens),
		Ask:          permitRequestToProto(p.Request),
	}
}

func progressFromProto(p *pb.Progress) routing.Progress {
	return routing.Progress{
		AttemptID:    p.GetAskId(),
		Endpoint:     p.GetEndpoint(),
		Elapsed:      micros(p.GetElapsedUs()),
		OutputTokens: int(p.GetOutputTokens()),
		Request:      permitRequestFromProto(p.GetAsk()),
	}
}
