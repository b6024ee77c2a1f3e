package core

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Error is a refusal with a numbered code, for everything that isn't the answer
// to a request: operators' changes, settings, table transactions.
type Error struct {
	Code   Code
	Detail string
	// ComeBackAt is when a new try has a chance; zero if there is no point.
	ComeBackAt time.Time
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%d): %s", e.Code, uint16(e.Code), e.Detail)
}

// Errorf returns an Error with the given code.
func Errorf(code Code, format string, args ...any) error {
	return &Error{Code: code, Detail: fmt.Sprintf(format, args...)}
}

// ErrorCode returns the code of the first Error in err's chain, or CodeInternal.
func ErrorCode(err error) Code {
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return CodeInternal
}
