// Package exit holds what both binaries' subcommands share: exit codes and how
// errors and results are printed.
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
	Failed      = subcommands.ExitFailure    // 1: it was tried and failed, or a check found faults
	Usage       = subcommands.ExitUsageError // 2: the command line is wrong
	Conflict    = subcommands.ExitStatus(3)  // 3: another operator was first; look and try again
	Unconfirmed = subcommands.ExitStatus(4)  // 4: it may or may not have taken effect; look before trying again
	NotFound    = subcommands.ExitStatus(5)  // 5: there is no such thing
)

// Error is an error with its exit code and what to do about it.
type Error struct {
	Code subcommands.ExitStatus
	Err  error
	Hint string
}

// Error writes the cause and what to do.
func (e *Error) Error() string {
	if e.Hint == "" {
		return e.Err.Error()
	}
	return e.Err.Error() + "; " + e.Hint
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Print writes err to w, as JSON when asked, and returns its exit code.
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
