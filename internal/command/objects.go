package command

import (
	"context"
	"flag"
	"fmt"
	"strconv"

	"github.com/google/subcommands"

	"github.com/primrosewell/primrosewell/internal/admin"
	"github.com/primrosewell/primrosewell/internal/catalog"
)

// objectGroups returns one group of commands for each kind of object.
func objectGroups(std streams) []subcommands.Command {
	var groups []subcommands.Command
	for _, kind := range catalog.Kinds {
		groups = append(groups, &group{
			name:     string(kind),
			synopsis: "apply, get, list or delete a " + string(kind),
			std:      std,
			members: []subcommands.Command{
				&applyCommand{std: std, kind: kind},
				&getCommand{std: std, kind: kind},
				&listCommand{std: std, kind: kind},
				&deleteCommand{std: std, kind: kind},
			},
		})
	}
	return groups
}

// anyVersion is the value of -if-version if the flag isn't given.
const anyVersion = -1

// getCommand prints one object as JSON.
type getCommand struct {
	std     streams
	kind    catalog.Kind
	connect adminFlags
}

// Name implements subcommands.Command.
func (*getCommand) Name() string { return "get" }

// Synopsis implements subcommands.Command.
func (c *getCommand) Synopsis() string { return "print one " + string(c.kind) }

// Usage implements subcommands.Command.
func (c *getCommand) Usage() string {
	return fmt.Sprintf("%[1]s get NAME: print the %[1]s as JSON, with its version and who changed it last.\n\nExample:\n  primrosewell %[1]s get example\n", c.kind)
}

// SetFlags implements subcommands.Command.
func (c *getCommand) SetFlags(f *flag.FlagSet) { c.connect.register(f) }

// Execute implements subcommands.Command.
func (c *getCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return c.std.usage(string(c.kind) + " get NAME")
	}
	client, err := c.connect.client()
	if err != nil {
		return c.std.fail(err)
	}
	record, err := client.Get(ctx, c.kind, f.Arg(0))
	if err != nil {
		return c.std.fail(err)
	}
	return c.std.printJSON(record)
}

// listCommand prints all objects of a kind.
type listCommand struct {
	std     streams
	kind    catalog.Kind
	connect adminFlags
	output  outputFlag
}

// Name implements subcommands.Command.
func (*listCommand) Name() string { return "list" }

// Synopsis implements subcommands.Command.
func (c *listCommand) Synopsis() string { return "list every " + string(c.kind) }

// Usage implements subcommands.Command.
func (c *listCommand) Usage() string {
	return fmt.Sprintf("%[1]s list [-o json]: list every %[1]s in force.\n\nExample:\n  primrosewell %[1]s list\n", c.kind)
}

// SetFlags implements subcommands.Command.
func (c *listCommand) SetFlags(f *flag.FlagSet) {
	c.connect.register(f)
	c.output.register(f)
}

// Execute implements subcommands.Command.
func (c *listCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if !c.output.valid() {
		return c.std.usage(outputUsage)
	}
	client, err := c.connect.client()
	if err != nil {
		return c.std.fail(err)
	}
	list, err := client.List(ctx, c.kind)
	if err != nil {
		return c.std.fail(err)
	}
	if c.output.format == "json" {
		return c.std.printJSON(list)
	}
	rows := make([][]string, 0, len(list.Items))
	for _, r := range list.Items {
		rows = append(rows, []string{r.Name, strconv.FormatInt(r.Version, 10), r.ChangedBy, string(r.Spec)})
	}
	c.std.printTable([]string{"NAME", "VERSION", "CHANGED BY", "SPEC"}, rows)
	return exitOK
}

// deleteCommand deletes one object.
type deleteCommand struct {
	std     streams
	kind    catalog.Kind
	connect adminFlags
	version int64
}

// Name implements subcommands.Command.
func (*deleteCommand) Name() string { return "delete" }

// Synopsis implements subcommands.Command.
func (c *deleteCommand) Synopsis() string { return "delete one " + string(c.kind) }

// Usage implements subcommands.Command.
func (c *deleteCommand) Usage() string {
	return fmt.Sprintf("%[1]s delete NAME [-if-version N]: delete the %[1]s, and report where that is in force.\n\nExample:\n  primrosewell %[1]s delete example\n", c.kind)
}

// SetFlags implements subcommands.Command.
func (c *deleteCommand) SetFlags(f *flag.FlagSet) {
	c.connect.register(f)
	f.Int64Var(&c.version, "if-version", anyVersion, "refuse unless the stored `version` is this")
}

// Execute implements subcommands.Command.
func (c *deleteCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return c.std.usage(string(c.kind) + " delete NAME")
	}
	client, err := c.connect.client()
	if err != nil {
		return c.std.fail(err)
	}
	var version *int64
	if c.version != anyVersion {
		version = &c.version
	}
	result, err := client.Delete(ctx, c.kind, f.Arg(0), version)
	if err != nil {
		return c.std.fail(err)
	}
	c.std.printChange(c.kind, "deleted", result)
	return inForceExit([]admin.ApplyResult{result})
}
