package main

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/pkg/errors"

	"lavenderpond/core"
	"lavenderpond/io/operator"
)

// exitCode is the exit status of the command. docs/operators/command-line.md lists the
// same codes.
type exitCode int

// The exit codes.
const (
	exitDone            exitCode = 0
	exitInternal        exitCode = 1
	exitUsage           exitCode = 2
	exitNotRun          exitCode = 3
	exitOutcomeUnknown  exitCode = 4
	exitConflict        exitCode = 5
	exitNotAuthorized   exitCode = 6
	exitUnreachable     exitCode = 7
	exitPartlyConfirmed exitCode = 8
	exitPending         exitCode = 9
	exitRefused         exitCode = 10
)

// exitTable names and explains the exit codes. The index of a row is its code.
var exitTable = []struct {
	code          exitCode
	name, meaning string
}{
	{exitDone, "done", "What was asked for is done."},
	{exitInternal, "internal", "A fault of lavenderpond, or standard input or output failed."},
	{exitUsage, "usage", "The command line is wrong, see --help; or a key file or body file can't be read."},
	{exitNotRun, "not_run", "The request did not run and won't. The detail says when to come back, if there is a point."},
	{exitOutcomeUnknown, "outcome_unknown", "The request may have run, or the change may have taken effect. Fetch the request by its id; repeat the change with the same --change-id."},
	{exitConflict, "conflict", "Another change came first, or the state of the VM, pool or zone doesn't allow this one. Read again, then repeat under a new change id."},
	{exitNotAuthorized, "not_authorized", "The operator key or team key is missing, wrong or withdrawn."},
	{exitUnreachable, "unreachable", "The platform's table is down or no entry was reached. Nothing was changed, nothing ran."},
	{exitPartlyConfirmed, "partly_confirmed", "Done where it could be confirmed; the report names the zones and entries where it can't be."},
	{exitPending, "pending", "The request is queued or running; fetch it again later."},
	{exitRefused, "refused", "The change or the settings file is outside what is allowed: a reason is missing, a value is wrong, a budget is spent, a name is unknown, the settings file can't be read."},
}

// exitOf returns the exit code of a result code.
func exitOf(c core.Code) exitCode {
	switch c {
	case core.CodeDone:
		return exitDone
	case core.CodePending:
		return exitPending
	case core.CodeBadKey, core.CodeKeyWithdrawn, core.CodeNotAuthorized:
		return exitNotAuthorized
	case core.CodeConflict:
		return exitConflict
	case core.CodePlatformDown:
		return exitUnreachable
	case core.CodeChangeUnknown:
		return exitOutcomeUnknown
	case core.CodeReasonMissing, core.CodeBudgetSpent, core.CodeInvalidSetting, core.CodeMalformed, core.CodeNotFound:
		return exitRefused
	case core.CodeInternal:
		return exitInternal
	}
	switch c.Info().Outcome {
	case "not_run":
		return exitNotRun
	case "outcome_unknown":
		return exitOutcomeUnknown
	default:
		return exitInternal
	}
}

// exitError is an error with an explicit exit code.
type exitError struct {
	exit exitCode
	error
}

// Unwrap returns the error without its exit code.
func (f *exitError) Unwrap() error { return f.error }

// failf returns an error with the given exit code.
func failf(exit exitCode, format string, args ...any) error {
	return &exitError{exit, errors.Errorf(format, args...)}
}

// errorOutput is an error in the form in which it is printed.
type errorOutput struct {
	Exit       int    `json:"exit_code"`
	Name       string `json:"exit_name"`
	Code       int    `json:"code,omitempty"`
	CodeName   string `json:"code_name,omitempty"`
	Detail     string `json:"detail"`
	ComeBackAt string `json:"come_back_at,omitempty"`
}

func newErrorOutput(err error) errorOutput {
	p := errorOutput{Exit: int(exitInternal), Detail: err.Error()}
	var f *exitError
	var coreErr *core.Error
	if errors.As(err, &coreErr) {
		p.Exit, p.Code, p.CodeName, p.Detail = int(exitOf(coreErr.Code)), int(coreErr.Code), coreErr.Code.String(), coreErr.Detail
		if !coreErr.ComeBackAt.IsZero() {
			p.ComeBackAt = coreErr.ComeBackAt.UTC().Format(timeLayout)
		}
	}
	if errors.As(err, &f) {
		p.Exit = int(f.exit)
	}
	p.Name = exitTable[p.Exit].name
	return p
}

// show writes p to w, as text or as a line of JSON.
func (p errorOutput) show(w io.Writer, asJSON bool) {
	if asJSON {
		// Encoding can't fail, since an errorOutput holds only strings and numbers.
		data, _ := json.Marshal(p)
		_, _ = fmt.Fprintf(w, "%s\n", data)
		return
	}
	code := ""
	if p.CodeName != "" {
		code = fmt.Sprintf("%s (%d): ", p.CodeName, p.Code)
	}
	_, _ = fmt.Fprintf(w, "lavenderpond: %s: %s%s\n", p.Name, code, p.Detail)
	if p.ComeBackAt != "" {
		_, _ = fmt.Fprintf(w, "come back at %s\n", p.ComeBackAt)
	}
}

// entryError returns the numbered error that the entry sent, or err itself if it doesn't
// come from an entry.
func entryError(err error) error {
	if e, ok := operator.FromConnect(err); ok {
		return e
	}
	return err
}
