package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/google/subcommands"

	"github.com/primrosewell/primrosewell/internal/admin"
	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/failure"
)

// applyCommand creates or changes the objects in a file.
type applyCommand struct {
	std     streams
	kind    catalog.Kind
	connect adminFlags
	output  outputFlag
	file    string
	version int64
}

// Name implements subcommands.Command.
func (*applyCommand) Name() string { return "apply" }

// Synopsis implements subcommands.Command.
func (c *applyCommand) Synopsis() string { return "create or change a " + string(c.kind) }

// Usage implements subcommands.Command.
func (c *applyCommand) Usage() string {
	return fmt.Sprintf(`%[1]s apply -f FILE [-if-version N]: create or change objects, and report where they are in force.

FILE holds one JSON object, or a list of them; - reads standard input. What get prints may be
edited and applied; its version binds only if it is named with -if-version.
Exit codes: 0 in force everywhere, 2 usage, 3 refused, 4 conflict, 5 result unknown, 6 unreachable,
7 accepted but not in force everywhere yet.

Examples:
  primrosewell %[1]s apply -f %[1]s.json
  primrosewell %[1]s apply -f %[1]s.json -if-version 0    # only if it does not exist yet
`, c.kind)
}

// SetFlags implements subcommands.Command.
func (c *applyCommand) SetFlags(f *flag.FlagSet) {
	c.connect.register(f)
	c.output.register(f)
	f.StringVar(&c.file, "f", "", "`file` with the object or objects")
	f.Int64Var(&c.version, "if-version", anyVersion, "refuse unless the stored `version` is this; 0: must not exist")
}

// Execute implements subcommands.Command.
func (c *applyCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.file == "" {
		return c.std.usage(string(c.kind) + " apply -f FILE")
	}
	if !c.output.valid() {
		return c.std.usage(outputUsage)
	}
	specs, err := readSpecs(c.file, c.std.in)
	if err != nil {
		return c.std.fail(err)
	}
	client, err := c.connect.client()
	if err != nil {
		return c.std.fail(err)
	}
	var results []admin.ApplyResult
	for _, spec := range specs {
		result, err := c.apply(ctx, client, spec)
		if err != nil {
			c.print(results)
			return c.std.fail(err)
		}
		results = append(results, result)
	}
	return c.print(results)
}

// apply validates the spec locally before it sends it, so that an invalid object is
// reported without a call to the daemon.
func (c *applyCommand) apply(ctx context.Context, client *admin.Client, spec []byte) (admin.ApplyResult, error) {
	spec, err := c.extractSpec(spec)
	if err != nil {
		return admin.ApplyResult{}, err
	}
	name, canonical, err := catalog.Decode(c.kind, spec)
	if err != nil {
		return admin.ApplyResult{}, err
	}
	var version *int64
	if c.version != anyVersion {
		version = &c.version
	}
	return client.Apply(ctx, c.kind, name, canonical, version)
}

// extractSpec returns the spec of a record as printed by get. Any other data is returned
// unchanged, as a spec.
func (c *applyCommand) extractSpec(data []byte) ([]byte, error) {
	var record catalog.Record
	readable := json.Unmarshal(data, &record) == nil
	if !readable || record.Kind == "" || len(record.Spec) == 0 {
		return data, nil // catalog.Decode reports what is invalid.
	}
	if record.Kind != c.kind {
		return nil, failure.New(failure.InvalidObject, fmt.Sprintf("%s is a %s, not a %s", record.Name, record.Kind, c.kind))
	}
	return record.Spec, nil
}

func (c *applyCommand) print(results []admin.ApplyResult) subcommands.ExitStatus {
	if c.output.format == "json" {
		c.std.printJSON(results)
		return inForceExit(results)
	}
	for _, r := range results {
		c.std.printChange(c.kind, "accepted", r)
	}
	return inForceExit(results)
}

// printChange prints the revision of a change and the members that it is in force on.
func (s streams) printChange(kind catalog.Kind, verb string, r admin.ApplyResult) {
	fmt.Fprintf(s.out, "%s %s: %s at revision %d, in force on %d of %d", kind, r.Name, verb, r.Revision, r.InForce, r.Members)
	if len(r.Missing) > 0 {
		fmt.Fprintf(s.out, "; missing: %s", strings.Join(r.Missing, ", "))
	}
	fmt.Fprintln(s.out)
}

// inForceExit returns exitNotInForce if a change is not in force on every member yet.
func inForceExit(results []admin.ApplyResult) subcommands.ExitStatus {
	for _, r := range results {
		if r.InForce < r.Members {
			return exitNotInForce
		}
	}
	return exitOK
}

// readSpecs reads a JSON object or an array of them.
func readSpecs(file string, stdin io.Reader) ([]json.RawMessage, error) {
	data, err := readInput(file, stdin)
	if err != nil {
		return nil, failure.New(failure.InvalidRequest, "-f: "+err.Error())
	}
	if !strings.HasPrefix(strings.TrimSpace(string(data)), "[") {
		return []json.RawMessage{data}, nil
	}
	var list []json.RawMessage
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, failure.New(failure.InvalidObject, file+": "+catalog.DescribeJSON(err))
	}
	return list, nil
}

// readInput reads the file, or standard input if its name is "-".
func readInput(file string, stdin io.Reader) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(stdin)
	}
	return os.ReadFile(file)
}
