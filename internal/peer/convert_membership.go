package peer

import (
	"time"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/claim"
	"github.com/primrosewell/primrosewell/internal/distribution"
	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/membership"
	pb "github.com/primrosewell/primrosewell/internal/peer/peerv1"
	"github.com/primrosewell/primrosewell/internal/quarantine"
)

func heartbeatToProto(h membership.Heartbeat) *pb.HeartbeatMessage {
	return &pb.HeartbeatMessage{
		Sender:      factToProto(h.Sender),
		Facts:       convert(h.Updates, factToProto),
		Unreachable: h.Unreachable,
		Quarantine:  convert(h.Payload.Quarantine, quarantineToProto),
		Running:     convert(h.Payload.Running, runningToProto),
		Restate:     h.Payload.Restate,
		Superseded:  h.Superseded,

		Introduction:      h.FullSync,
		QuarantineVersion: h.Payload.QuarantineVersion,
		QuarantineAck:     h.Payload.QuarantineAck,
	}
}

func heartbeatFromProto(h *pb.HeartbeatMessage) membership.Heartbeat {
	return membership.Heartbeat{
		Sender:      factFromProto(h.GetSender()),
		Updates:     convert(h.GetFacts(), factFromProto),
		Unreachable: h.GetUnreachable(),
		Payload: membership.Payload{
			Quarantine:        convert(h.GetQuarantine(), quarantineFromProto),
			QuarantineVersion: h.GetQuarantineVersion(),
			QuarantineAck:     h.GetQuarantineAck(),
			Running:           convert(h.GetRunning(), runningFromProto),
			Restate:           h.GetRestate(),
		},
		Superseded: h.GetSuperseded(),

		FullSync: h.GetIntroduction(),
	}
}

var stateToProto = map[membership.State]pb.MemberState{
	membership.Live:      pb.MemberState_MEMBER_STATE_LIVE,
	membership.Leaving:   pb.MemberState_MEMBER_STATE_LEAVING,
	membership.Suspected: pb.MemberState_MEMBER_STATE_SUSPECTED,
}

func stateFromProto(s pb.MemberState) membership.State {
	switch s {
	case pb.MemberState_MEMBER_STATE_LIVE:
		return membership.Live
	case pb.MemberState_MEMBER_STATE_LEAVING:
		return membership.Leaving
	default:
		return membership.Suspected
	}
}

func factToProto(f membership.MemberUpdate) *pb.Member {
	return &pb.Member{
		Id:           f.Member.ID,
		Incarnation:  f.Member.Incarnation,
		PeerAddress:  f.Member.PeerAddress,
		AdminAddress: f.Member.AdminAddress,
		DataCentre:   f.Member.DataCentre,
		State:        stateToProto[f.Member.State],
		Revision:     f.Member.Revision,
		ConfigDigest: f.Member.ConfigDigest,
		Sequence:     f.Sequence,
	}
}

func factFromProto(m *pb.Member) membership.MemberUpdate {
	return membership.MemberUpdate{
		Sequence: m.GetSequence(),
		Member: membership.Member{
			ID:           m.GetId(),
			Incarnation:  m.GetIncarnation(),
			PeerAddress:  m.GetPeerAddress(),
			AdminAddress: m.GetAdminAddress(),
			DataCentre:   m.GetDataCentre(),
			State:        stateFromProto(m.GetState()),
			Revision:     m.GetRevision(),
			ConfigDigest: m.GetConfigDigest(),
		},
	}
}

func quarantineToProto(e quarantine.Entry) *pb.QuarantineEntry {
	return &pb.QuarantineEntry{
		Digest:      e.Digest,
		State:       string(e.State),
		ExpiresInMs: e.ExpiresIn.Milliseconds(),
		Crashes: convert(e.Crashes, func(c quarantine.Crash) *pb.Crash {
			return &pb.Crash{Endpoint: c.Endpoint, Seen: c.Total, Forgiven: c.Cleared}
		}),
	}
}

func quarantineFromProto(e *pb.QuarantineEntry) quarantine.Entry {
	return quarantine.Entry{
		Digest:    e.GetDigest(),
		State:     quarantine.State(e.GetState()),
		ExpiresIn: time.Duration(e.GetExpiresInMs()) * time.Millisecond,
		Crashes: convert(e.GetCrashes(), func(c *pb.Crash) quarantine.Crash {
			return quarantine.Crash{Endpoint: c.GetEndpoint(), Total: c.GetSeen(), Cleared: c.GetForgiven()}
		}),
	}
}

func runningToProto(r membership.RunningDigest) *pb.RunningDigest {
	return &pb.RunningDigest{Pool: r.Pool, Count: uint32(max(r.Count, 0)), Digest: r.Digest}
}

func runningFromProto(r *pb.RunningDigest) membership.RunningDigest {
	return membership.RunningDigest{Pool: r.GetPool(), Count: int(r.GetCount()), Digest: r.GetDigest()}
}

func deltaToProto(d distribution.Delta) *pb.FetchConfigResponse {
	out := &pb.FetchConfigResponse{Revision: d.Revision, Full: d.Full}
	for _, r := range d.Records {
		out.Records = append(out.Records, &pb.Record{
			Kind: string(r.Kind), Name: r.Name, Version: r.Version,
			ChangeId: r.ChangeID, ChangedBy: r.ChangedBy, Spec: r.Spec,
		})
	}
	for _, t := range d.Deleted {
		out.Records = append(out.Records, &pb.Record{Kind: string(t.Kind), Name: t.Name, Version: t.Version, Deleted: true})
	}
	return out
}

func deltaFromProto(d *pb.FetchConfigResponse) distribution.Delta {
	out := distribution.Delta{Revision: d.GetRevision(), Full: d.GetFull()}
	for _, r := range d.GetRecords() {
		if r.GetDeleted() {
			out.Deleted = append(out.Deleted, distribution.Tombstone{Kind: catalog.Kind(r.GetKind()), Name: r.GetName(), Version: r.GetVersion()})
			continue
		}
		out.Records = append(out.Records, catalog.Record{
			Kind: catalog.Kind(r.GetKind()), Name: r.GetName(), Version: r.GetVersion(),
			ChangeID: r.GetChangeId(), ChangedBy: r.GetChangedBy(), Spec: r.GetSpec(),
		})
	}
	return out
}

func claimToProto(c claim.Claim) *pb.Claim {
	return &pb.Claim{
		Workspace: c.Workspace, Key: c.Key, Digest: c.Digest,
		RequestId: c.RequestID, Daemon: c.Daemon, Incarnation: c.Incarnation, Nonce: c.Nonce,
	}
}

func claimFromProto(c *pb.Claim) claim.Claim {
	return claim.Claim{
		Workspace: c.GetWorkspace(), Key: c.GetKey(), Digest: c.GetDigest(),
		RequestID: c.GetRequestId(), Daemon: c.GetDaemon(), Incarnation: c.GetIncarnation(), Nonce: c.GetNonce(),
	}
}

func claimResultToProto(r ClaimResult) *pb.ClaimResult {
	return &pb.ClaimResult{
		Verdict: string(r.Outcome),
		Holder:  claimToProto(r.Holder),
		Failure: failureToProto(failure.From(r.Err)),
	}
}

func claimResultFromProto(r *pb.ClaimResult) ClaimResult {
	out := ClaimResult{Outcome: claim.Outcome(r.GetVerdict()), Holder: claimFromProto(r.GetHolder())}
	if r.GetFailure() != nil {
		out.Err = failureFromProto(r.GetFailure())
	}
	return out
}
