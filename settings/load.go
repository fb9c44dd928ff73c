package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"github.com/samber/lo"
	"gopkg.in/ini.v1"
)

// Error describes one problem in a settings file. Section or Key is "" when the
// problem is not in a section or not about one key.
type Error struct {
	File     string
	Section  string
	Key      string
	Problem  string
	Expected string
}

// Error names the file, the section, the key, the problem and what was expected.
func (e *Error) Error() string {
	msg := fmt.Sprintf("%s: section [%s]", e.File, e.Section)
	if e.Key != "" {
		msg += fmt.Sprintf(" key %q", e.Key)
	}
	return fmt.Sprintf("%s: %s; expected %s", msg, e.Problem, e.Expected)
}

// Load reads and validates a settings file. It returns an *Error for the first
// invalid setting.
func Load(path string) (*Settings, error) {
	file, err := ini.LoadSources(ini.LoadOptions{
		AllowNonUniqueSections: true, AllowShadows: true,
		SkipUnrecognizableLines: false, SpaceBeforeInlineComment: true,
	}, path)
	if err != nil {
		return nil, errors.Wrapf(err, "%s: expected an INI file", path)
	}
	if err := checkSectionsAndKeys(path, file); err != nil {
		return nil, err
	}
	s := defaults()
	for _, f := range storeSectionFirst(fields) {
		if err := setField(path, file, f, s); err != nil {
			return nil, err
		}
	}
	s.Platform.Hosts = cmp.Or(s.Platform.Hosts, s.Platform.Objects)
	return s, checkCrossKeyRules(path, s)
}

// storeSectionFirst moves the fields of section [store] to the front, since it
// determines which other keys are required.
func storeSectionFirst(fields []field) []field {
	store, others := lo.FilterReject(fields, func(f field, _ int) bool { return f.section == "store" })
	return append(store, others...)
}

// isRequired reports whether the key must be present; store is true when the
// settings name a store.
func (f field) isRequired(store bool) bool {
	switch f.requirement {
	case alwaysRequired:
		return true
	case requiredWithStore:
		return store
	case requiredWithoutStore:
		return !store
	default:
		return false
	}
}

func defaults() *Settings {
	return &Settings{
		Host: Host{Handoff: true, Strength: 1},
		Limits: Limits{
			DrainTimeout: DefaultDrainTimeout, HeaderTimeout: DefaultHeaderTimeout,
			MaxHeaderBytes: DefaultMaxHeaderBytes, MaxKeyedBodyBytes: DefaultMaxKeyedBodyBytes,
			MaxCallerConnections: DefaultMaxCallerConnections,
		},
		Bounds: Bounds{RetryRatio: DefaultRetryRatio, RetrySlack: DefaultRetrySlack, ProbesPerSecond: DefaultProbesPerSecond, StopGrace: DefaultStopGrace},
		Log:    Log{Level: defaultLogLevel},
	}
}

// redactedKey is the key whose value must not appear in error messages.
const redactedKey = "token"

func setField(path string, file *ini.File, f field, s *Settings) error {
	section := file.Section(f.section)
	if !section.HasKey(f.key) {
		if f.isRequired(s.Store.Configured()) {
			return &Error{path, f.section, f.key, "the required key is missing", f.expected}
		}
		return nil
	}
	value := section.Key(f.key).String()
	if err := f.set(s, value); err != nil {
		problem := "the value can't be used"
		if f.key != redactedKey {
			problem = fmt.Sprintf("the value %q can't be used", value)
		}
		return &Error{path, f.section, f.key, problem, f.expected}
	}
	return nil
}

// checkSectionsAndKeys rejects unknown and repeated sections and keys.
func checkSectionsAndKeys(path string, file *ini.File) error {
	known := lo.GroupBy(fields, func(f field) string { return f.section })
	seen := map[string]bool{}
	for _, section := range file.Sections() {
		name := section.Name()
		if name == ini.DefaultSection {
			if len(section.Keys()) > 0 {
				return &Error{path, "", section.Keys()[0].Name(), "the key stands outside of any section", "a section before the first key"}
			}
			continue
		}
		if seen[name] {
			return &Error{path, name, "", "the section stands twice", "each section once"}
		}
		seen[name] = true
		if err := checkKeys(path, section, known[name]); err != nil {
			return err
		}
	}
	return nil
}

func checkKeys(path string, section *ini.Section, known []field) error {
	if len(known) == 0 {
		names := lo.Uniq(lo.Map(fields, func(f field, _ int) string { return f.section }))
		return &Error{path, section.Name(), "", "unknown section", "one of " + strings.Join(names, ", ")}
	}
	keys := lo.Map(known, func(f field, _ int) string { return f.key })
	for _, key := range section.Keys() {
		if !slices.Contains(keys, key.Name()) {
			return &Error{path, section.Name(), key.Name(), "unknown key", "one of " + strings.Join(keys, ", ")}
		}
		if len(key.ValueWithShadows()) > 1 {
			return &Error{path, section.Name(), key.Name(), "the key stands twice", "each key once"}
		}
	}
	return nil
}

// checkAuth checks that the certificate files of an address are either all set
// or all absent, and that they can be loaded.
func checkAuth(path, section string, a Auth) error {
	set := lo.CountBy([]string{a.Cert, a.Key, a.CA}, func(v string) bool { return v != "" })
	if set != 0 && set != 3 {
		return &Error{path, section, "tls_cert", "TLS is set in part", "tls_cert, tls_key and tls_ca, or none of them"}
	}
	if _, err := a.TLS(); err != nil {
		return &Error{path, section, "tls_cert", err.Error(), "PEM files: a certificate, its key, and a certificate authority"}
	}
	return nil
}

// checkCrossKeyRules checks the rules that involve several keys. They do not
// apply to settings that name a store.
func checkCrossKeyRules(path string, s *Settings) error {
	if s.ExtraAttempts.Ratio > 0 && s.ExtraAttempts.Ratio >= s.Bounds.RetryRatio {
		return &Error{path, "extra_attempts", "ratio", fmt.Sprintf("extra attempts and retries together exceed the retry_ratio of %g", s.Bounds.RetryRatio), "a number below retry_ratio, whose rest is left to retries"}
	}
	if s.ExtraAttempts.PerSecond > 0 && s.ExtraAttempts.Ratio <= 0 {
		return &Error{path, "extra_attempts", "per_second", "without a ratio, extra attempts are retries and per_second does not limit them", "a ratio above 0 beside per_second"}
	}
	if s.Store.Configured() {
		return nil
	}
	if err := checkAuth(path, "admin", s.Admin); err != nil {
		return err
	}
	if err := checkAuth(path, "peers", s.Peers.Auth); err != nil {
		return err
	}
	if !s.Listen.Admin.Addr().IsLoopback() && !s.Admin.RequiresAuth() {
		return &Error{path, "admin", "token", "the admin address is off loopback and unprotected", "a token or TLS with client certificates"}
	}
	if !s.Listen.Peers.Addr().IsLoopback() && !s.Peers.RequiresAuth() {
		return &Error{path, "peers", "token", "the peers address is off loopback and unprotected", "a token or TLS with client certificates"}
	}
	if s.Listen.Peers.Addr().IsUnspecified() {
		return &Error{path, "listen", "peers", "peers can't connect to this address", "the IP number that peers reach this host by"}
	}
	return nil
}
