// Package settings reads and validates the INI settings file of one entry host,
// a process that load-balances callers' requests. Errors name the file, the
// section, the key and what was expected. Unknown keys and invalid values are
// errors; they are never replaced by defaults.
package settings

import (
	"crypto/tls"
	"net/netip"
	"time"
)

// Settings are the validated settings of one entry host.
type Settings struct {
	Host     Host
	Listen   Listen
	Platform Platform
	Admin    Auth
	Peers    Peers
	Limits   Limits
	Log      Log
	// Store is set when targets and tables come from a store in which targets
	// register; the services of Platform are then not used.
	Store         Store
	Bounds        Bounds
	ExtraAttempts ExtraAttempts
}

// Store locates the store in which targets register and operators keep the
// tables.
type Store struct {
	// Address is the store's IP:PORT; the zero value means that there is none.
	Address netip.AddrPort
}

// Configured reports whether targets and tables come from a store.
func (s Store) Configured() bool { return s.Address.IsValid() }

// Bounds are the limits that the deployment guarantees to its callers and
// upstreams.
type Bounds struct {
	// RetryRatio is the fraction (0 to 1) of requests that may be sent to a
	// further target, all hosts together.
	RetryRatio float64
	// RetrySlack is the burst of further attempts beyond the ratio that one pool
	// may get in a short time, all hosts together.
	RetrySlack float64
	// ProbesPerSecond is the maximum number of probes per second to one target,
	// all hosts together.
	ProbesPerSecond float64
	// StopGrace is the time from the signal of a graceful stop until the process
	// is killed.
	StopGrace time.Duration
}

// ExtraAttempts is the limit on copies of idempotent requests that are sent to cut the
// slowest responses, over all hosts together. Without a ratio, copies are part of the
// retries.
type ExtraAttempts struct {
	// Ratio is the part of the requests to a pool that may have a copy.
	Ratio float64
	// PerSecond is the greatest number of copies a second to a pool; 0 sets none.
	PerSecond float64
}

// Host describes this entry host.
type Host struct {
	// Name is unique among the entry hosts.
	Name string
	// FailureDomain is the failure domain in which the host runs.
	FailureDomain string
	// Regions are the regions of failure domains, by failure domain. One that is
	// missing belongs to no region.
	Regions map[string]string
	// Strength is the host's processor capacity in cores. Hosts use it as the
	// weight when they divide the tasks that one host does for all.
	Strength float64
	// FirstStart says that the whole deployment starts for the first time: there
	// are no callers yet, and hosts may wait for each other.
	FirstStart bool
	// Handoff makes the host hand requests over to the hosts that own the groups
	// of targets; a host without it sends all requests to targets itself.
	Handoff bool
	// Quarantine makes a host without a store refuse requests that end targets, and
	// share with the others what it knows of them by UDP at the address for peers.
	// Hosts with a store always do.
	Quarantine bool
}

// Listen holds the addresses that the host binds.
type Listen struct {
	Callers netip.AddrPort
	// Ready serves the readiness check and the metrics when targets and tables
	// come from a store.
	Ready netip.AddrPort
	Admin netip.AddrPort
	Peers netip.AddrPort
	// Relay takes the requests of hosts that don't reach the targets; the zero value
	// takes none. Its IP is that of Peers.
	Relay netip.AddrPort
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	Table   string
	Objects string
	// Hosts is the base URL of the host list; it defaults to Objects.
	Hosts string
}

// Auth configures the authentication on one address: by a token, by client
// certificates, or both.
type Auth struct {
	// Token is the bearer token that requests must carry; "" disables the check.
	// It must never be logged.
	Token string
	// Cert, Key and CA are paths of PEM files; all or none are set.
	Cert string
	Key  string
	CA   string
}

// Peers configures the communication between hosts: its authentication and the
// first peers to contact.
type Peers struct {
	Auth
	// Seeds are the addresses of peers to contact when the membership can't be
	// read from the table service.
	Seeds []netip.AddrPort
}

// Limits bound the resources that one host uses.
type Limits struct {
	// DrainTimeout bounds a graceful stop.
	DrainTimeout time.Duration
	// MaxHeaderBytes bounds the header of a request.
	MaxHeaderBytes int
	// MaxKeyedBodyBytes bounds the body of a request with an idempotency key.
	MaxKeyedBodyBytes int
	// UploadBufferBytes is the memory in which bodies of uploads are received whole
	// before a target is chosen; 0 streams them.
	UploadBufferBytes int
	// HeaderTimeout bounds the time a caller takes to send a header.
	HeaderTimeout time.Duration
	// MaxMemoryBytes bounds the memory of the process; 0 means no limit.
	MaxMemoryBytes int
	// MaxCallerConnections bounds the number of connections of all callers.
	MaxCallerConnections int
}

// Log configures the log.
type Log struct {
	// Level is debug, info, warn or error.
	Level string
}

// Defaults of optional settings.
const (
	DefaultDrainTimeout         = 30 * time.Second
	DefaultMaxHeaderBytes       = 16 << 10
	DefaultMaxKeyedBodyBytes    = 1 << 20
	DefaultHeaderTimeout        = 10 * time.Second
	DefaultMaxCallerConnections = 10_000
	DefaultRetryRatio           = 0.1
	DefaultRetrySlack           = 36.0
	DefaultProbesPerSecond      = 10.0
	DefaultStopGrace            = 30 * time.Second
	defaultLogLevel             = "info"
)

// TLS loads the certificates of an address. It returns nil when none are set.
func (a Auth) TLS() (*tls.Config, error) {
	if a.Cert == "" {
		return nil, nil
	}
	return loadTLS(a)
}

// RequiresAuth reports whether requests must be authenticated.
func (a Auth) RequiresAuth() bool { return a.Token != "" || a.CA != "" }
