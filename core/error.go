package core

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Error is an error with a numbered code. It is used for everything other than
// answers to requests: operators' changes, settings and table transactions.
type Error struct {
	Code   Code
	Detail string
	// ComeBackAt is the earliest time at which a retry may succeed. It is zero if
	// a retry can't succeed.
	ComeBackAt time.Time
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%d): %s", e.Code, uint16(e.Code), e.Detail)
}

// Errorf returns an Error with the given code and a formatted detail.
func Errorf(code Code, format string, args ...any) error {
	return &Error{Code: code, Detail: fmt.Sprintf(format, args...)}
}

// ErrorCode returns the code of the first Error in err's chain, or CodeInternal if
// there is none.
func ErrorCode(err error) Code {
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return CodeInternal
}
