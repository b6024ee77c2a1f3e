package netrpc

import (
	"syscall"

	"github.com/pkg/errors"
)

// isRefused reports whether err proves that no process listens at the address.
func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
