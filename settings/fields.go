package settings

import (
	"net/netip"
	"net/url"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// requirement says when a key must be present.
type requirement uint8

const (
	optional requirement = iota
	alwaysRequired
	// requiredWithoutStore keys are required unless the section [store] names a
	// store, requiredWithStore keys if it does.
	requiredWithoutStore
	requiredWithStore
)

// field describes one key of the file; expected completes error messages, and
// set parses the value into the settings.
type field struct {
	section     string
	key         string
	requirement requirement
	expected    string
	set         func(s *Settings, text string) error
}

// maxExtraRatio is the greatest part of the requests that may have a copy: more would
// be a load of its own.
const maxExtraRatio = 0.2

var errInvalidValue = errors.New("value out of range")

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

var fields = []field{
	{"host", "name", alwaysRequired, "a name of 1 to 63 letters, digits, dots, dashes", name(func(s *Settings) *string { return &s.Host.Name })},
	{"host", "failure_domain", alwaysRequired, "a name of 1 to 63 letters, digits, dots, dashes", name(func(s *Settings) *string { return &s.Host.FailureDomain })},
	{"host", "regions", optional, "DOMAIN:REGION, ..., each failure domain once", regions},
	{"host", "handoff", optional, "true or false", boolean(func(s *Settings) *bool { return &s.Host.Handoff })},
	{"host", "quarantine", optional, "true or false", boolean(func(s *Settings) *bool { return &s.Host.Quarantine })},
	{"host", "strength", optional, "a number from 0 to 10000", number(10_000, func(s *Settings) *float64 { return &s.Host.Strength })},
	{"host", "first_start", optional, "true or false", boolean(func(s *Settings) *bool { return &s.Host.FirstStart })},
	{"listen", "callers", alwaysRequired, "IP:PORT", addr(func(s *Settings) *netip.AddrPort { return &s.Listen.Callers })},
	{"listen", "ready", requiredWithStore, "IP:PORT", addr(func(s *Settings) *netip.AddrPort { return &s.Listen.Ready })},
	{"store", "address", optional, "IP:PORT", addr(func(s *Settings) *netip.AddrPort { return &s.Store.Address })},
	{"bounds", "retry_ratio", optional, "a number from 0 to 1", number(1, func(s *Settings) *float64 { return &s.Bounds.RetryRatio })},
	{"bounds", "retry_slack", optional, "a number from 0 to 1000000", number(1_000_000, func(s *Settings) *float64 { return &s.Bounds.RetrySlack })},
	{"bounds", "probes_per_second", optional, "a number from 0 to 10000", number(10_000, func(s *Settings) *float64 { return &s.Bounds.ProbesPerSecond })},
	{"extra_attempts", "ratio", optional, "a number from 0 to 0.2", number(maxExtraRatio, func(s *Settings) *float64 { return &s.ExtraAttempts.Ratio })},
	{"extra_attempts", "per_second", optional, "a number from 0 to 1000000", number(1_000_000, func(s *Settings) *float64 { return &s.ExtraAttempts.PerSecond })},
	{"bounds", "stop_grace", optional, "a duration from 1s to 1h", duration(time.Second, time.Hour, func(s *Settings) *time.Duration { return &s.Bounds.StopGrace })},
	{"limits", "memory_bytes", optional, "a number from 0 to 1099511627776", integer(0, 1<<40, func(s *Settings) *int { return &s.Limits.MaxMemoryBytes })},
	{"listen", "admin", requiredWithoutStore, "IP:PORT", addr(func(s *Settings) *netip.AddrPort { return &s.Listen.Admin })},
	{"listen", "peers", alwaysRequired, "IP:PORT", addr(func(s *Settings) *netip.AddrPort { return &s.Listen.Peers })},
	{"listen", "relay", optional, "IP:PORT", addr(func(s *Settings) *netip.AddrPort { return &s.Listen.Relay })},
	{"platform", "table", requiredWithoutStore, "http://IP:PORT or https://IP:PORT", baseURL(func(s *Settings) *string { return &s.Platform.Table })},
	{"platform", "objects", requiredWithoutStore, "http://IP:PORT or https://IP:PORT", baseURL(func(s *Settings) *string { return &s.Platform.Objects })},
	{"platform", "hosts", optional, "http://IP:PORT or https://IP:PORT", baseURL(func(s *Settings) *string { return &s.Platform.Hosts })},
	{"admin", "token", optional, "a token of any printable characters", text(func(s *Settings) *string { return &s.Admin.Token })},
	{"admin", "tls_cert", optional, "a PEM file", text(func(s *Settings) *string { return &s.Admin.Cert })},
	{"admin", "tls_key", optional, "a PEM file", text(func(s *Settings) *string { return &s.Admin.Key })},
	{"admin", "tls_ca", optional, "a PEM file", text(func(s *Settings) *string { return &s.Admin.CA })},
	{"peers", "token", optional, "a token of any printable characters", text(func(s *Settings) *string { return &s.Peers.Token })},
	{"peers", "tls_cert", optional, "a PEM file", text(func(s *Settings) *string { return &s.Peers.Cert })},
	{"peers", "tls_key", optional, "a PEM file", text(func(s *Settings) *string { return &s.Peers.Key })},
	{"peers", "tls_ca", optional, "a PEM file", text(func(s *Settings) *string { return &s.Peers.CA })},
	{"peers", "seeds", optional, "IP:PORT, IP:PORT, ...", addrList(func(s *Settings) *[]netip.AddrPort { return &s.Peers.Seeds })},
	{"limits", "drain_timeout", optional, "a duration from 0s to 1h, such as 30s", duration(0, time.Hour, func(s *Settings) *time.Duration { return &s.Limits.DrainTimeout })},
	{"limits", "header_timeout", optional, "a duration from 100ms to 10m", duration(100*time.Millisecond, 10*time.Minute, func(s *Settings) *time.Duration { return &s.Limits.HeaderTimeout })},
	{"limits", "max_header_bytes", optional, "a number from 1024 to 1048576", integer(1<<10, 1<<20, func(s *Settings) *int { return &s.Limits.MaxHeaderBytes })},
	{"limits", "max_keyed_body_bytes", optional, "a number from 1024 to 67108864", integer(1<<10, 64<<20, func(s *Settings) *int { return &s.Limits.MaxKeyedBodyBytes })},
	{"limits", "body_buffer_bytes", optional, "a number from 0 to 1073741824", integer(0, 1<<30, func(s *Settings) *int { return &s.Limits.UploadBufferBytes })},
	{"limits", "max_caller_connections", optional, "a number from 1 to 1000000", integer(1, 1_000_000, func(s *Settings) *int { return &s.Limits.MaxCallerConnections })},
	{"log", "level", optional, "debug, info, warn or error", level},
}

func text(dest func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		*dest(s) = v
		return nil
	}
}

func name(dest func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		if !namePattern.MatchString(v) {
			return errInvalidValue
		}
		*dest(s) = v
		return nil
	}
}

// regions parses the regions of failure domains. An empty text names none, as a
// deployment without failure domains writes it.
func regions(s *Settings, v string) error {
	s.Host.Regions = map[string]string{}
	if strings.TrimSpace(v) == "" {
		return nil
	}
	for _, one := range strings.Split(v, ",") {
		domain, region, _ := strings.Cut(strings.TrimSpace(one), ":")
		_, twice := s.Host.Regions[domain]
		if twice || !namePattern.MatchString(domain) || !namePattern.MatchString(region) {
			return errInvalidValue
		}
		s.Host.Regions[domain] = region
	}
	return nil
}

func addr(dest func(*Settings) *netip.AddrPort) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		a, err := netip.ParseAddrPort(v)
		if err != nil {
			return err
		}
		*dest(s) = a
		return nil
	}
}

func addrList(dest func(*Settings) *[]netip.AddrPort) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		for _, one := range strings.Split(v, ",") {
			a, err := netip.ParseAddrPort(strings.TrimSpace(one))
			if err != nil {
				return err
			}
			*dest(s) = append(*dest(s), a)
		}
		return nil
	}
}

func baseURL(dest func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		u, err := url.Parse(v)
		if err != nil {
			return err
		}
		if u.Scheme != "http" && u.Scheme != "https" {
			return errInvalidValue
		}
		if _, err := netip.ParseAddrPort(u.Host); err != nil {
			return err
		}
		if (u.Path != "" && u.Path != "/") || u.RawQuery != "" || u.User != nil {
			return errInvalidValue
		}
		*dest(s) = u.Scheme + "://" + u.Host
		return nil
	}
}

func duration(minimum, maximum time.Duration, dest func(*Settings) *time.Duration) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		d, err := time.ParseDuration(v)
		if err != nil {
			return err
		}
		if d < minimum || d > maximum {
			return errInvalidValue
		}
		*dest(s) = d
		return nil
	}
}

func integer(minimum, maximum int, dest func(*Settings) *int) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		n, err := strconv.Atoi(v)
		if err != nil {
			return err
		}
		if n < minimum || n > maximum {
			return errInvalidValue
		}
		*dest(s) = n
		return nil
	}
}

func number(maximum float64, dest func(*Settings) *float64) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		f, err := strconv.ParseFloat(v, 64)
		if err != nil {
			return err
		}
		if !(f >= 0 && f <= maximum) {
			return errInvalidValue
		}
		*dest(s) = f
		return nil
	}
}

func boolean(dest func(*Settings) *bool) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		b, err := strconv.ParseBool(v)
		if err != nil {
			return err
		}
		*dest(s) = b
		return nil
	}
}

func level(s *Settings, v string) error {
	switch v {
	case "debug", "info", "warn", "error":
		s.Log.Level = v
		return nil
	default:
		return errInvalidValue
	}
}
