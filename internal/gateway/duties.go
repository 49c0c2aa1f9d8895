package gateway

import (
	"context"
	"slices"
	"strings"

	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"

	"github.com/primrosewell/primrosewell/internal/adapter"
	"github.com/primrosewell/primrosewell/internal/duty"
	"github.com/primrosewell/primrosewell/internal/platform"
	"github.com/primrosewell/primrosewell/internal/telemetry"
)

// dutyKinds are the duties that the settings name and the platform has; none without duties.
type dutyKinds []adapter.DutyKind

// newDutyKinds leaves out what can't be used and logs it.
func (g *Gateway) newDutyKinds(do.Injector) (dutyKinds, error) {
	d := g.settings.Duties
	if len(d.Names) == 0 {
		return nil, nil
	}
	if g.options.Adapter.Duties == nil {
		g.log.WithFields(logrus.Fields{"event": "duties_refused", "names": d.Names}).Error("the platform has no duties; this gateway serves without them")
		return nil, nil
	}
	if problems := d.Problems(); len(problems) > 0 {
		g.log.WithFields(logrus.Fields{"event": "duties_refused", "names": d.Names, "error": problems.Err("settings of the duties refused")}).Error("the settings of the duties are invalid; this gateway serves without them")
		return nil, nil
	}
	var kinds dutyKinds
	for _, name := range d.Names {
		kind, known := g.options.Adapter.Duties.Kind(name)
		if !known {
			g.log.WithFields(logrus.Fields{"event": "duty_unknown", "name": telemetry.Shorten(name)}).Error("the settings name an unknown duty; it is left out")
			continue
		}
		if !slices.Contains(kinds, kind) {
			kinds = append(kinds, kind)
		}
	}
	return kinds, nil
}

// newDutyAgent returns nil without duties.
func (g *Gateway) newDutyAgent(i do.Injector) (*duty.Agent, error) {
	kinds, err := do.Invoke[dutyKinds](i)
	if err != nil || len(kinds) == 0 {
		return nil, err
	}
	client, err := do.Invoke[*platform.Client](i)
	if err != nil {
		return nil, err
	}
	metrics, err := do.Invoke[*telemetry.Metrics](i)
	if err != nil {
		return nil, err
	}
	d := g.settings.Duties
	holderHeader, epochHeader := g.options.Adapter.Duties.HeaderNames()
	return duty.New(duty.Options{
		Store: client, VM: g.settings.VM.ID, Lease: d.Lease, Address: strings.TrimPrefix(d.URL, "http://"), CallsPerSecond: d.CallsPerSecond,
		Kinds: kinds, HolderHeader: holderHeader, EpochHeader: epochHeader,
		Candidate: g.announces,
		Clock:     bootTime, Log: g.log, Scope: metrics.Scope.SubScope("duty"),
	}), nil
}

// newDutyLease returns the lease of all duties, or nil without duties.
func (g *Gateway) newDutyLease(i do.Injector) (duty.Lease, error) {
	agent, err := do.Invoke[*duty.Agent](i)
	if agent == nil {
		return nil, err
	}
	return agent, nil
}

// newDutyCaller returns the caller of all duties, or nil without duties.
func (g *Gateway) newDutyCaller(i do.Injector) (duty.Caller, error) {
	agent, err := do.Invoke[*duty.Agent](i)
	if agent == nil {
		return nil, err
	}
	return agent, nil
}

func (g *Gateway) startDuties(ctx context.Context) {
	if agent := do.MustInvoke[*duty.Agent](g.injector); agent != nil {
		go agent.Run(ctx)
	}
}

// resignDuties gives the duties up, so that another gateway needn't wait for the end of the lease.
func (g *Gateway) resignDuties(ctx context.Context) {
	if agent := do.MustInvoke[*duty.Agent](g.injector); agent != nil {
		agent.Resign(ctx)
	}
}
