package command

import (
	"encoding/json"
	"flag"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/google/subcommands"
)

// outputFlag is the -o flag of commands that print a table or JSON.
type outputFlag struct{ format string }

func (o *outputFlag) register(f *flag.FlagSet) {
	f.StringVar(&o.format, "o", "table", "output `format`: table or json")
}

func (o *outputFlag) valid() bool { return o.format == "table" || o.format == "json" }

const outputUsage = "-o: allowed: table or json"

// printJSON prints v as indented JSON.
func (s streams) printJSON(v any) subcommands.ExitStatus {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return s.fail(err)
	}
	fmt.Fprintln(s.out, string(data))
	return exitOK
}

// printTable prints a header and rows in aligned columns.
func (s streams) printTable(header []string, rows [][]string) {
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	_ = w.Flush()
}
