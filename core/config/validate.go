package config

import (
	"regexp"
	"strings"
	"time"

	"lavenderpond/core"
)

// MaxExceptionDuration is the maximum time from now to the end of an exception.
const MaxExceptionDuration = 366 * 24 * time.Hour

var (
	namePattern     = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_.-]{0,63}$`)
	changeIDPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_.:-]{0,127}$`)
	digestPattern   = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// validate returns an error if a value of the change is not allowed.
func validate(c Change, id core.ChangeID, now time.Time) error {
	if !changeIDPattern.MatchString(string(id)) {
		return invalidValueError("change id", string(id), "letters, digits and _.:- up to 128")
	}
	if c.ChangedBy() == "" {
		return core.Errorf(core.CodeReasonMissing, "%s needs an author", Kind(c))
	}
	switch c := c.(type) {
	case SetTeam:
		return firstError(checkName("team", string(c.Team)),
			checkRange("share", c.Value.Share, MaxShare), checkRange("limit", int(c.Value.Limit), MaxLimit))
	case SetPool:
		return firstError(checkName("pool", string(c.Pool)), checkRange("max_unavailable", c.Value.MaxUnavailable, MaxUnavailable))
	case SetQueue:
		return firstError(checkName("queue", string(c.Queue)), checkName("pool", string(c.Value.Pool)),
			checkRange("max_queued", c.Value.MaxQueued, MaxQueued))
	case SetDefaults:
		return validateDefaults(c.Value)
	case AddException:
		return validateException(c, now)
	case RetireException:
		return firstError(checkName("exception", c.ID), checkReason(c, c.Reason))
	case GrantKey:
		return firstError(checkName("team", string(c.Team)), checkDigest(c.Digest))
	case WithdrawKey:
		return firstError(checkName("team", string(c.Team)), checkDigest(c.Digest))
	case AttestZone:
		return firstError(checkName("zone", string(c.Zone)), checkReason(c, c.Reason))
	default:
		return core.Errorf(core.CodeMalformed, "unknown change %T", c)
	}
}

func validateDefaults(d Defaults) error {
	return firstError(
		checkRange("share", d.Share, MaxShare),
		checkRange("limit", int(d.Limit), MaxLimit),
		checkRange("max_unavailable", d.MaxUnavailable, MaxUnavailable),
		checkRange("max_queued", d.MaxQueued, MaxQueued),
		checkRange("max_body", d.MaxBody, MaxBody))
}

func validateException(c AddException, now time.Time) error {
	if err := firstError(checkName("exception", c.ID), checkReason(c, c.Reason)); err != nil {
		return err
	}
	if c.End.IsZero() {
		return core.Errorf(core.CodeReasonMissing, "exception %s needs an end", c.ID)
	}
	if !c.End.After(now) || c.End.After(now.Add(MaxExceptionDuration)) {
		return invalidValueError("end", c.End.Format(time.RFC3339), "a time ahead, at most 366 days")
	}
	if len(c.Value) == 0 {
		return invalidValueError("value", "nothing", "at least one setting to replace")
	}
	switch kind, _ := splitKey(c.Scope); kind {
	case kindTeam:
		return checkFields(c.Value, teamFields)
	case kindPool:
		return checkFields(c.Value, poolFields)
	case kindQueue:
		return checkFields(c.Value, queueFields)
	case kindDefaults:
		return checkFields(c.Value, defaultsFields)
	default:
		return invalidValueError("scope", string(c.Scope), "the key of a team, pool, queue or defaults row")
	}
}

func checkFields[T any](values map[string]int, fields map[string]field[T]) error {
	for _, name := range sortedKeys(values) {
		f, ok := fields[name]
		if !ok {
			return invalidValueError("value", name, strings.Join(sortedKeys(fields), ", "))
		}
		if err := checkRange(name, values[name], f.max); err != nil {
			return err
		}
	}
	return nil
}

func checkName(setting, name string) error {
	if namePattern.MatchString(name) {
		return nil
	}
	return invalidValueError(setting, name, "letters, digits and _.- up to 64")
}

func checkRange(setting string, n, maxValue int) error {
	if n >= 0 && n <= maxValue {
		return nil
	}
	return core.Errorf(core.CodeInvalidSetting, "%s is %d; allowed is 0 to %d", setting, n, maxValue)
}

func checkReason(c Change, reason string) error {
	if reason != "" {
		return nil
	}
	return core.Errorf(core.CodeReasonMissing, "%s of %s needs a reason that the monitor can read", Kind(c), c.Key())
}

func checkDigest(d core.KeyDigest) error {
	if digestPattern.MatchString(string(d)) {
		return nil
	}
	// The message omits the value, because it could be the key itself.
	return core.Errorf(core.CodeInvalidSetting, "a key's digest is its SHA-256 in 64 hex digits")
}

func invalidValueError(setting, got, allowed string) error {
	return core.Errorf(core.CodeInvalidSetting, "%s is %q; allowed: %s", setting, got, allowed)
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
