// Package bench measures the routing decisions: the real decision code against
// small modelled endpoints on a virtual clock, with fixed seeds. It drives the
// decision functions only and simulates no cluster. docs/design/decision-bench.md
// describes the model and holds the figures.
package bench

import (
	"strings"

	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/failure"
)

// Options selects one run. Empty fields take their defaults.
type Options struct {
	// Scenario is one of Names. Default "steady".
	Scenario string
	// Policy is one of Names. Default "broker".
	Policy string
	// Size is "caledonian" or "siamseal". Default "caledonian".
	Size string
	// Seed fixes the arrivals, the lengths and every random choice. Default 1.
	Seed uint64
}

func (o Options) withDefaults() Options {
	if o.Scenario == "" {
		o.Scenario = "steady"
	}
	if o.Policy == "" {
		o.Policy = "broker"
	}
	if o.Size == "" {
		o.Size = "caledonian"
	}
	if o.Seed == 0 {
		o.Seed = 1
	}
	return o
}

// Names lists the scenarios and the policies in the order of the tables.
func Names() (scenarioNames, policyNames []string) {
	scenarioNames = lo.Map(scenarios, func(s scenarioSpec, _ int) string { return s.name })
	policyNames = lo.Map(policies, func(p policySpec, _ int) string { return p.name })
	return scenarioNames, policyNames
}

// Sizes lists the deployments.
func Sizes() []string { return []string{"caledonian", "siamseal"} }

// Run plays one scenario under one policy. The same options give the same report.
func Run(options Options) (Report, error) {
	options = options.withDefaults()
	scenario, ok := scenarioNamed(options.Scenario)
	if !ok {
		return Report{}, unknownName("scenario", options.Scenario, lo.Map(scenarios, func(s scenarioSpec, _ int) string { return s.name }))
	}
	policy, ok := policyNamed(options.Policy)
	if !ok {
		return Report{}, unknownName("policy", options.Policy, lo.Map(policies, func(p policySpec, _ int) string { return p.name }))
	}
	size, ok := sizes[options.Size]
	if !ok {
		return Report{}, unknownName("size", options.Size, Sizes())
	}
	s := newSimulation(size, scenario, policy, options.Seed)
	s.run()
	return measure(s, options), nil
}

func unknownName(kind, name string, known []string) error {
	return failure.New(failure.InvalidRequest, "unknown "+kind+" "+name+"; known: "+strings.Join(known, ", "))
}
