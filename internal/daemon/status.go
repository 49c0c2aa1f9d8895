package daemon

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/admin"
	"github.com/primrosewell/primrosewell/internal/broker"
	"github.com/primrosewell/primrosewell/internal/distribution"
	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/membership"
	"github.com/primrosewell/primrosewell/internal/peer"
	"github.com/primrosewell/primrosewell/internal/quarantine"
	"github.com/primrosewell/primrosewell/internal/scheduling"
)

// peerStatusTimeout bounds the status call to each peer.
const peerStatusTimeout = time.Second

// brokerStatus describes the pools that one daemon brokers; peers exchange it as JSON.
type brokerStatus struct {
	Pools     []admin.PoolStatus     `json:"pools"`
	Endpoints []admin.EndpointStatus `json:"endpoints"`
}

// status describes this daemon and collects the state of the pools from their brokers.
func (d *Daemon) status(ctx context.Context) admin.Status {
	view := do.MustInvoke[*membership.Membership](d.injector)
	distributor := do.MustInvoke[*distribution.Distributor](d.injector)
	self := view.Self()
	out := admin.Status{
		VM:          self.ID,
		Incarnation: self.Incarnation,
		DataCentre:  self.DataCentre,
		Version:     d.options.Version,
		Revision:    distributor.Revision(),
		Ready:       d.Ready() == nil,
		Draining:    d.Draining(),
		InFlight:    d.InFlight(),
		Quarantine:  d.quarantineStatus(),
	}
	out.Members = lo.Map(view.Members(), func(m membership.Member, _ int) admin.MemberStatus {
		return admin.MemberStatus{
			ID:         m.ID,
			DataCentre: m.DataCentre,
			State:      string(m.State),
			Revision:   m.Revision,
			InForce:    m.Revision >= out.Revision,
		}
	})
	merged := d.gatherBrokerStatus(ctx, view.Members(), self.ID)
	out.Pools = merged.Pools
	out.Endpoints = merged.Endpoints
	return out
}

// gatherBrokerStatus fetches the pools brokered by each live member; a member that
// doesn't respond within peerStatusTimeout is left out.
func (d *Daemon) gatherBrokerStatus(ctx context.Context, members []membership.Member, self string) brokerStatus {
	merged := d.localBrokerStatus()
	var mu sync.Mutex
	var wg sync.WaitGroup
	client := do.MustInvoke[*peer.Client](d.injector)
	for _, m := range members {
		if m.ID == self || m.State == membership.Suspected {
			continue
		}
		wg.Go(func() {
			remote, ok := fetchBrokerStatus(ctx, client, m.PeerAddress)
			if !ok {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			merged.Pools = append(merged.Pools, remote.Pools...)
			merged.Endpoints = append(merged.Endpoints, remote.Endpoints...)
		})
	}
	wg.Wait()
	slices.SortFunc(merged.Pools, func(a, b admin.PoolStatus) int { return strings.Compare(a.Pool+a.Broker, b.Pool+b.Broker) })
	slices.SortFunc(merged.Endpoints, func(a, b admin.EndpointStatus) int {
		return strings.Compare(a.Service+"."+a.Name, b.Service+"."+b.Name)
	})
	return merged
}

func fetchBrokerStatus(ctx context.Context, client *peer.Client, address string) (brokerStatus, bool) {
	ctx, cancel := context.WithTimeout(ctx, peerStatusTimeout)
	defer cancel()
	var out brokerStatus
	data, err := client.Status(ctx, address)
	if err != nil || json.Unmarshal(data, &out) != nil {
		return brokerStatus{}, false
	}
	return out, true
}

// peerStatus handles a peer's request for the pools brokered here.
func (d *Daemon) peerStatus(context.Context) ([]byte, error) {
	data, err := json.Marshal(d.localBrokerStatus())
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "status could not be encoded")
	}
	return data, nil
}

func (d *Daemon) localBrokerStatus() brokerStatus {
	self := d.settings.VM.ID
	pools := do.MustInvoke[*broker.Broker](d.injector).Stats()
	factory := do.MustInvoke[*poolFactory](d.injector)
	var out brokerStatus
	for _, p := range pools {
		out.Pools = append(out.Pools, poolStatus(self, p))
		out.Endpoints = append(out.Endpoints, factory.endpointStatuses(p.Pool)...)
	}
	return out
}

func poolStatus(self string, p scheduling.Stats) admin.PoolStatus {
	return admin.PoolStatus{
		Pool:    p.Pool,
		Broker:  self,
		Waiting: p.Waiting,
		Running: p.Running,
		Classes: lo.Map(p.Classes, func(c scheduling.ClassStats, _ int) admin.ClassStatus {
			return admin.ClassStatus{
				Class:      c.Class,
				Tier:       c.Tier,
				Waiting:    c.Waiting,
				Running:    c.Running,
				Granted:    c.Granted,
				Refused:    c.Refused,
				OldestWait: c.OldestWait,
			}
		}),
	}
}

// quarantineStatus lists the digests that are not clear.
func (d *Daemon) quarantineStatus() []admin.DigestStatus {
	entries := do.MustInvoke[*quarantine.Register](d.injector).Entries(time.Now())
	reported := lo.Filter(entries, func(e quarantine.Entry, _ int) bool { return e.State != quarantine.Clear })
	return lo.Map(reported, func(e quarantine.Entry, _ int) admin.DigestStatus {
		return admin.DigestStatus{
			Digest:    e.Digest,
			State:     string(e.State),
			Endpoints: lo.Map(e.Crashes, func(c quarantine.Crash, _ int) string { return c.Endpoint }),
			ExpiresIn: e.ExpiresIn,
		}
	})
}
