package command

import (
	"fmt"

	"github.com/google/subcommands"

	"github.com/primrosewell/primrosewell/internal/failure"
)

// Exit codes of the process by kind of failure; the help of apply documents them.
const (
	exitOK          = 0
	exitOther       = 1
	exitUsage       = 2
	exitRefused     = 3
	exitConflict    = 4
	exitUnknown     = 5
	exitUnreachable = 6
	exitNotInForce  = 7
)

// exitCodes maps failure codes to exit codes; codes not listed give exitOther.
var exitCodes = map[failure.Code]int{
	failure.InvalidRequest:      exitRefused,
	failure.InvalidObject:       exitRefused,
	failure.Unauthenticated:     exitRefused,
	failure.Forbidden:           exitRefused,
	failure.NotFound:            exitRefused,
	failure.Conflict:            exitConflict,
	failure.ResultUnknown:       exitUnknown,
	failure.Unreachable:         exitUnreachable,
	failure.PlatformUnavailable: exitUnreachable,
}

// fail prints err and returns its exit code. If the connection broke after a change may
// have been accepted, it says so and returns exitUnknown instead of exitUnreachable.
func (s streams) fail(err error) subcommands.ExitStatus {
	f := failure.From(err)
	fmt.Fprintln(s.err, "error:", f.Error())
	if f.RetryAfter > 0 {
		fmt.Fprintln(s.err, "try again in", f.RetryAfter)
	}
	if f.Code == failure.Unreachable && f.Outcome == failure.Unknown {
		fmt.Fprintln(s.err, "the change may have been accepted; read the object before trying again")
		return exitUnknown
	}
	if code, ok := exitCodes[f.Code]; ok {
		return subcommands.ExitStatus(code)
	}
	return exitOther
}

// usage reports invalid arguments and returns exitUsage.
func (s streams) usage(message string) subcommands.ExitStatus {
	fmt.Fprintln(s.err, "usage:", message)
	return exitUsage
}
