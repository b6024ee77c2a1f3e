package operator

import (
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/types/known/timestamppb"

	"lavenderpond/core"
	"lavenderpond/core/table"
	pb "lavenderpond/io/gen/lavenderpond/v1"
)

// connectCodes maps numbered result codes to connect codes. A code that isn't listed maps
// to connect.CodeInternal.
var connectCodes = map[core.Code]connect.Code{
	core.CodeMalformed:      connect.CodeInvalidArgument,
	core.CodeNotFound:       connect.CodeNotFound,
	core.CodeKeyWithdrawn:   connect.CodeFailedPrecondition,
	core.CodeConflict:       connect.CodeAborted,
	core.CodeReasonMissing:  connect.CodeInvalidArgument,
	core.CodeBudgetSpent:    connect.CodeFailedPrecondition,
	core.CodeInvalidSetting: connect.CodeInvalidArgument,
	core.CodePlatformDown:   connect.CodeUnavailable,
	core.CodeChangeUnknown:  connect.CodeUnknown,
	core.CodeNotAuthorized:  connect.CodeUnauthenticated,
}

// toConnect converts err to a connect error that carries the numbered code as a detail.
func toConnect(err error) error {
	e := toCoreError(err)
	code, ok := connectCodes[e.Code]
	if !ok {
		code = connect.CodeInternal
	}
	ce := connect.NewError(code, e)
	m := &pb.ErrorDetail{Code: uint32(e.Code), CodeName: e.Code.String(), Detail: e.Detail, ComeBackAt: toTimestamp(e.ComeBackAt)}
	if detail, err := connect.NewErrorDetail(m); err == nil {
		ce.AddDetail(detail)
	}
	return ce
}

// toCoreError returns the numbered error in err, or wraps err in one.
func toCoreError(err error) *core.Error {
	var e *core.Error
	switch {
	case errors.As(err, &e):
		return e
	case errors.Is(err, table.ErrUnreachable):
		return &core.Error{Code: core.CodePlatformDown, Detail: err.Error()}
	default:
		return &core.Error{Code: core.CodeInternal, Detail: err.Error()}
	}
}

// FromConnect returns the numbered error that a client's call got from an entry. It
// returns false if err carries none: no entry answered, so the command may or may not
// have arrived.
func FromConnect(err error) (*core.Error, bool) {
	var ce *connect.Error
	if !errors.As(err, &ce) {
		return nil, false
	}
	for _, d := range ce.Details() {
		value, err := d.Value()
		if err != nil {
			continue
		}
		if m, ok := value.(*pb.ErrorDetail); ok {
			return &core.Error{Code: core.Code(m.Code), Detail: m.Detail, ComeBackAt: toTime(m.ComeBackAt)}, true
		}
	}
	return nil, false
}

// toTimestamp returns nil for the zero time.
func toTimestamp(t time.Time) *timestamppb.Timestamp {
	if t.IsZero() {
		return nil
	}
	return timestamppb.New(t)
}

// toTime returns the zero time for nil.
func toTime(t *timestamppb.Timestamp) time.Time {
	if t == nil {
		return time.Time{}
	}
	return t.AsTime()
}
