// Package exit has the exit codes that the subcommands of both binaries share, and prints
// their errors.
package exit

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/google/subcommands"
)

// Exit codes, as documented in docs/operators/commands.md.
const (
	OK          = subcommands.ExitSuccess    // 0
	Failed      = subcommands.ExitFailure    // 1: the operation failed, or a check found faults
	Usage       = subcommands.ExitUsageError // 2: the command line is invalid
	Conflict    = subcommands.ExitStatus(3)  // 3: another operator's change came first; look at it before trying again
	Unconfirmed = subcommands.ExitStatus(4)  // 4: the change may or may not have taken effect; check before trying again
	NotFound    = subcommands.ExitStatus(5)  // 5: what the command names does not exist
)

// Error is an error with its exit code and a hint for the operator.
type Error struct {
	Code subcommands.ExitStatus
	Err  error
	Hint string // what the operator can do about it; "": no hint
}

// Error returns the cause and the hint.
func (e *Error) Error() string {
	if e.Hint == "" {
		return e.Err.Error()
	}
	return e.Err.Error() + "; " + e.Hint
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Print writes err to w, as a JSON object if asJSON is set, and returns its exit code: OK
// without an error, and Failed if it is not an Error.
func Print(w io.Writer, asJSON bool, err error) subcommands.ExitStatus {
	if err == nil {
		return OK
	}
	code := Failed
	var e *Error
	if errors.As(err, &e) {
		code = e.Code
	}
	if asJSON {
		_ = json.NewEncoder(w).Encode(map[string]any{"error": err.Error(), "exit": int(code)})
		return code
	}
	_, _ = fmt.Fprintln(w, "error:", err)
	return code
}
