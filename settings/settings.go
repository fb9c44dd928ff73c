// Package settings reads the INI settings of one entry host. Every problem is
// reported with file, section, key and what was expected; nothing is guessed.
package settings

import (
	"crypto/tls"
	"net/netip"
	"time"
)

// Settings are the checked settings of one entry host.
type Settings struct {
	Host     Host
	Listen   Listen
	Platform Platform
	Admin    Access
	Peers    Peers
	Limits   Limits
	Log      Log
	// Store is set where targets and tables come from a store in which targets
	// register; the services of Platform are not used there.
	Store  Store
	Bounds Bounds
}

// Store is where targets register and operators leave the tables.
type Store struct {
	// Address is IP:PORT; the zero value stands for none.
	Address netip.AddrPort
}

// Used reports whether targets and tables come from a store.
func (s Store) Used() bool { return s.Address.IsValid() }

// Bounds are what the deployment promises its callers and upstreams.
type Bounds struct {
	// RetryRatio is the share of requests that may be sent to a further
	// target, all hosts together.
	RetryRatio float64
	// RetrySlack is the number of further attempts beyond the ratio that one
	// pool may get in a short time, all hosts together.
	RetrySlack float64
	// ProbesPerSecond is the number of probes a second that one target may get,
	// all hosts together.
	ProbesPerSecond float64
	// StopGrace is the time from a planned stop's signal to the kill.
	StopGrace time.Duration
}

// Host names this entry host.
type Host struct {
	// Name is unique among the entry hosts.
	Name string
	// FailureDomain is where the host stands.
	FailureDomain string
	// Strength is the part of a processor core that the host has, by which hosts
	// divide what one of them does for all.
	Strength float64
	// FirstStart says that the whole deployment starts for the first time: there
	// are no callers yet, and hosts may wait for each other.
	FirstStart bool
	// Handoff makes the host hand requests over to the owners of groups; a
	// host without it always dispatches directly.
	Handoff bool
}

// Listen holds the addresses that the host binds.
type Listen struct {
	Callers netip.AddrPort
	// Ready answers whether the host takes callers, and serves the metrics,
	// where targets and tables come from a store.
	Ready netip.AddrPort
	Admin netip.AddrPort
	Peers netip.AddrPort
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	Table   string
	Objects string
	// Hosts is the base URL of the host list; it defaults to Objects.
	Hosts string
}

// Access protects one address by a token, by client certificates, or both.
type Access struct {
	// Token is compared with the bearer token of requests; "" switches the
	// check off. It must never be logged.
	Token string
	// Cert, Key and CA are PEM files; all or none are set.
	Cert string
	Key  string
	CA   string
}

// Peers protects the exchange between hosts and says where it begins.
type Peers struct {
	Access
	// Seeds are addresses of peers to ask when the table service can't say
	// who they are.
	Seeds []netip.AddrPort
}

// Limits bound what one host takes on.
type Limits struct {
	// DrainTimeout bounds a planned stop.
	DrainTimeout time.Duration
	// MaxHeaderBytes bounds the header of a request.
	MaxHeaderBytes int
	// MaxKeyedBodyBytes bounds the body of a request with an idempotency key.
	MaxKeyedBodyBytes int
	// HeaderTimeout bounds the time a caller takes to send a header.
	HeaderTimeout time.Duration
	// MemoryBytes is the memory that the process may take; 0 sets no limit.
	MemoryBytes int
	// MaxCallerConnections bounds the connections of all callers.
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

// TLS loads the certificates of an address; it returns nil when none are set.
func (a Access) TLS() (*tls.Config, error) {
	if a.Cert == "" {
		return nil, nil
	}
	return loadTLS(a)
}

// Protected reports whether requests must prove who they are.
func (a Access) Protected() bool { return a.Token != "" || a.CA != "" }
