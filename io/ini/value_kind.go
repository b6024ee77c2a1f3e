package ini

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"lavenderpond/core"
)

// valueKind describes and parses the values of a setting.
type valueKind struct {
	// allowed describes the allowed values, for error messages and documentation.
	allowed string
	// parse stores the value v in s. It returns false if v is not allowed. In that
	// case s may have changed too.
	parse func(s *Settings, v string) bool
}

// maxNameLen is the maximum length of the name of an entry or zone, in bytes.
const maxNameLen = 63

// isValidName reports whether s can be the name of an entry or zone. Such names are
// parts of row keys, entry ids and request ids, whose separators are "/", "#" and "~".
func isValidName(s string) bool {
	return s != "" && len(s) <= maxNameLen &&
		strings.Trim(s, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789.-_") == ""
}

func nameKind[T ~string](field func(*Settings) *T) valueKind {
	return valueKind{"letters, digits, '.', '-' and '_', at most 63 of them", func(s *Settings, v string) bool {
		*field(s) = T(v)
		return isValidName(v)
	}}
}

func zoneListKind(field func(*Settings) *[]core.ZoneID) valueKind {
	return valueKind{"names of zones, separated by commas, each once", func(s *Settings, v string) bool {
		seen := map[string]bool{}
		for _, name := range splitList(v) {
			if !isValidName(name) || seen[name] {
				return false
			}
			seen[name] = true
			*field(s) = append(*field(s), core.ZoneID(name))
		}
		return len(seen) > 0
	}}
}

func addressKind(field func(*Settings) *netip.AddrPort) valueKind {
	return valueKind{"an IP number and a port, as in 10.0.0.1:7001; no host name", func(s *Settings, v string) bool {
		a, err := netip.ParseAddrPort(v)
		*field(s) = a
		return err == nil
	}}
}

// dialableAddressKind is the kind of an address that other entries connect to.
func dialableAddressKind(field func(*Settings) *netip.AddrPort) valueKind {
	k := addressKind(field)
	return valueKind{"an IP number and a port that others can connect to; not 0.0.0.0, no host name",
		func(s *Settings, v string) bool { return k.parse(s, v) && isDialable(*field(s)) }}
}

// isDialable reports whether a is a concrete address and port.
func isDialable(a netip.AddrPort) bool { return !a.Addr().IsUnspecified() && a.Port() != 0 }

func addressListKind(field func(*Settings) *[]netip.AddrPort) valueKind {
	return valueKind{"IP numbers with ports, separated by commas, or nothing", func(s *Settings, v string) bool {
		for _, part := range splitList(v) {
			a, err := netip.ParseAddrPort(part)
			if err != nil || !isDialable(a) {
				return false
			}
			*field(s) = append(*field(s), a)
		}
		return true
	}}
}

func durationKind(low, high time.Duration, field func(*Settings) *time.Duration) valueKind {
	return valueKind{fmt.Sprintf("a time from %v to %v, as in 250ms, 10s or 5m", low, high), func(s *Settings, v string) bool {
		d, err := time.ParseDuration(v)
		*field(s) = d
		return err == nil && d >= low && d <= high
	}}
}

func intKind[T ~int | ~uint32](low, high int, field func(*Settings) *T) valueKind {
	return valueKind{fmt.Sprintf("a whole number from %d to %d", low, high), func(s *Settings, v string) bool {
		n, err := strconv.Atoi(v)
		if err != nil || n < low || n > high {
			return false
		}
		*field(s) = T(n)
		return true
	}}
}

func urlKind(field func(*Settings) *string) valueKind {
	return valueKind{"http:// or https://, an IP number and a port, as in http://10.0.0.9:8080", func(s *Settings, v string) bool {
		u, err := url.Parse(v)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.User != nil || u.RawQuery != "" {
			return false
		}
		_, err = netip.ParseAddrPort(u.Host)
		*field(s) = strings.TrimRight(v, "/")
		return err == nil
	}}
}

func digestKind(field func(*Settings) *core.KeyDigest) valueKind {
	return valueKind{"the SHA-256 of the operator key in 64 lower-case hex digits", func(s *Settings, v string) bool {
		raw, err := hex.DecodeString(v)
		*field(s) = core.KeyDigest(v)
		return err == nil && len(raw) == 32 && v == strings.ToLower(v)
	}}
}

// logLevels are the allowed values of log.level.
var logLevels = []zerolog.Level{zerolog.DebugLevel, zerolog.InfoLevel, zerolog.WarnLevel, zerolog.ErrorLevel}

func levelKind(field func(*Settings) *zerolog.Level) valueKind {
	names := make([]string, len(logLevels))
	for i, l := range logLevels {
		names[i] = l.String()
	}
	return valueKind{"one of " + strings.Join(names, ", "), func(s *Settings, v string) bool {
		for i, name := range names {
			if name == v {
				*field(s) = logLevels[i]
				return true
			}
		}
		return false
	}}
}

// splitList splits a comma-separated list. It returns nil for an empty value.
func splitList(v string) []string {
	if strings.TrimSpace(v) == "" {
		return nil
	}
	parts := strings.Split(v, ",")
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
	}
	return parts
}

func itoa(n int) string { return strconv.Itoa(n) }
