package command

import (
	"context"
	"flag"
	"fmt"
	"strings"

	"github.com/google/subcommands"
	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/bench"
)

// benchGroup returns the commands "bench decisions", "bench rounds" and "bench day".
func benchGroup(std streams) subcommands.Command {
	return &group{
		name:     "bench",
		synopsis: "measure the decisions, and show measured rounds",
		std:      std,
		members:  []subcommands.Command{&benchDecisions{std: std}, &roundsCommand{std: std}, &dayCommand{std: std}},
	}
}

// allNames selects every scenario or policy.
const allNames = "all"

// benchDecisions runs the benchmark of the routing decisions.
type benchDecisions struct {
	std       streams
	output    outputFlag
	scenarios string
	policies  string
	size      string
	seed      uint64
	plot      string
}

// Name implements subcommands.Command.
func (*benchDecisions) Name() string { return "decisions" }

// Synopsis implements subcommands.Command.
func (*benchDecisions) Synopsis() string {
	return "compare policies under bursts, stragglers, crashes and late reports"
}

// Usage implements subcommands.Command.
func (*benchDecisions) Usage() string {
	scenarios, policies := bench.Names()
	return fmt.Sprintf(`bench decisions [-scenarios A,B] [-policies A,B] [-size NAME] [-seed N] [-plot FILE.png] [-o json]:
run the decision code against model endpoints on a virtual clock. The same seed gives the same figures.

Scenarios: %s
Policies: %s

Example:
  primrosewell bench decisions -scenarios burst-low -policies broker,round-robin -seed 1 -plot burst.png
`, strings.Join(scenarios, ", "), strings.Join(policies, ", "))
}

// SetFlags implements subcommands.Command.
func (c *benchDecisions) SetFlags(f *flag.FlagSet) {
	c.output.register(f)
	f.StringVar(&c.scenarios, "scenarios", allNames, "comma-separated `names`, or all")
	f.StringVar(&c.policies, "policies", allNames, "comma-separated `names`, or all")
	f.StringVar(&c.size, "size", "caledonian", "deployment: caledonian or siamseal")
	f.Uint64Var(&c.seed, "seed", 1, "random `seed`")
	f.StringVar(&c.plot, "plot", "", "write a plot to this PNG `file`")
}

// Execute implements subcommands.Command.
func (c *benchDecisions) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if !c.output.valid() {
		return c.std.usage(outputUsage)
	}
	allScenarios, allPolicies := bench.Names()
	scenarios, err := selectNames("-scenarios", c.scenarios, allScenarios)
	if err != nil {
		return c.std.usage(err.Error())
	}
	policies, err := selectNames("-policies", c.policies, allPolicies)
	if err != nil {
		return c.std.usage(err.Error())
	}
	reports, err := c.runAll(scenarios, policies)
	if err != nil {
		return c.std.fail(err)
	}
	return c.print(reports)
}

// runAll runs every combination of scenario and policy.
func (c *benchDecisions) runAll(scenarios, policies []string) ([]bench.Report, error) {
	var reports []bench.Report
	for _, scenario := range scenarios {
		for _, policy := range policies {
			report, err := bench.Run(bench.Options{Scenario: scenario, Policy: policy, Seed: c.seed, Size: c.size})
			if err != nil {
				return nil, err
			}
			reports = append(reports, report)
		}
	}
	return reports, nil
}

func (c *benchDecisions) print(reports []bench.Report) subcommands.ExitStatus {
	if c.output.format == "json" {
		c.std.printJSON(reports)
	} else {
		bench.WriteTable(c.std.out, reports)
	}
	if c.plot == "" {
		return exitOK
	}
	if err := bench.WritePlot(c.plot, reports); err != nil {
		return c.std.fail(err)
	}
	return exitOK
}

// selectNames splits a comma-separated list, or returns all known names for "all". It
// fails if a name isn't known.
func selectNames(flagName, list string, known []string) ([]string, error) {
	if list == allNames {
		return known, nil
	}
	names := strings.Split(list, ",")
	if unknown, _ := lo.Difference(names, known); len(unknown) > 0 {
		return nil, &unknownNamesError{flag: flagName, unknown: unknown, known: known}
	}
	return names, nil
}

// unknownNamesError lists the names that a flag doesn't accept, and those that it does.
type unknownNamesError struct {
	flag    string
	unknown []string
	known   []string
}

// Error implements error.
func (e *unknownNamesError) Error() string {
	return fmt.Sprintf("%s: found %s; allowed: %s, or all", e.flag, strings.Join(e.unknown, ", "), strings.Join(e.known, ", "))
}
