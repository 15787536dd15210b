// Package setup defines the settings file of the router in package app, its rules
// and its defaults.
package setup

import "time"

// Settings is the content of the router's settings file.
type Settings struct {
	Router   Router   `ini:"router"`
	Platform Platform `ini:"platform"`
	Limits   Limits   `ini:"limits"`
	Log      Log      `ini:"log"`
}

// Router holds the router's identity, the addresses on which it listens, and how it
// places requests.
type Router struct {
	ID         string `ini:"id" validate:"required"`
	DataCentre string `ini:"datacentre" validate:"required"`
	// Seat is the number of this instance among the routers of its data centre.
	Seat int `ini:"seat" validate:"min=1,max=64"`
	// Listen is the address for callers.
	Listen string `ini:"listen" validate:"required,hostname_port"`
	// Peer is the address for other routers.
	Peer string `ini:"peer" validate:"required,hostname_port,nefield=Listen"`
	// Operator is the address for operators and for metrics.
	Operator string `ini:"operator" validate:"required,hostname_port,nefield=Listen,nefield=Peer"`
	// Workers is the number of workers that probe upstreams; zero means
	// DefaultWorkers.
	Workers int `ini:"workers" validate:"min=0,max=1024"`
	// Policy selects how chats are placed on upstreams; empty means FleetPolicy.
	Policy string `ini:"policy" validate:"omitempty,oneof=fleet oracle random robin rendezvous bounded"`
	// LeaseLength is how long units leased to a coordinator stay with it; zero means
	// permit.DefaultLeaseLength.
	LeaseLength time.Duration `ini:"lease" validate:"omitempty,min=200ms,max=60s"`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	// Log is the address of the log service, List that of the instance list.
	Log  string `ini:"log" validate:"required,hostname_port"`
	List string `ini:"list" validate:"required,hostname_port"`
	// PollInterval is the time between two reads of the instance list; zero means
	// DefaultPollInterval.
	PollInterval time.Duration `ini:"poll" validate:"omitempty,min=50ms"`
}

// Limits holds bounds on requests and on waiting.
type Limits struct {
	// MaxBodyBytes bounds a request's body; zero means DefaultMaxBodyBytes.
	MaxBodyBytes int `ini:"body" validate:"min=0,max=1073741824"`
	// MemoryMB is the memory of the machine in megabytes of 2^20 bytes; zero stands for that of
	// the control group, or else of the machine.
	MemoryMB float64 `ini:"memory" empty:"zero" validate:"min=0"`
	// Descriptors is the number of files and connections that may be open; zero stands for the
	// limit of the process.
	Descriptors int `ini:"descriptors" empty:"zero" validate:"min=0"`
	// StreamIdleTimeout bounds the time without data in a stream; zero means
	// DefaultStreamIdleTimeout.
	StreamIdleTimeout time.Duration `ini:"stall" validate:"min=0"`
	// CachedUpstreamWait is how long a request waits for the upstream that has its
	// chat cached before it goes to another; zero means DefaultCachedUpstreamWait.
	CachedUpstreamWait time.Duration `ini:"home" validate:"min=0,max=10s"`
	// ShutdownTimeout is how long requests may keep running after SIGTERM; zero
	// means DefaultShutdownTimeout.
	ShutdownTimeout time.Duration `ini:"shutdown" validate:"min=0"`
}

// Log holds the settings of the process's own log, not of the log service.
type Log struct {
	Level string `ini:"level" validate:"omitempty,oneof=debug info warn error"`
}

// Defaults of settings that are missing or zero.
const (
	DefaultWorkers            = 8
	DefaultPollInterval       = 500 * time.Millisecond
	DefaultMaxBodyBytes       = 4 << 20
	DefaultStreamIdleTimeout  = 15 * time.Second
	DefaultShutdownTimeout    = 60 * time.Second
	DefaultCachedUpstreamWait = 40 * time.Millisecond
	// FleetPolicy is the placement policy that requires a permit for each attempt.
	FleetPolicy = "fleet"
)

// WithDefaults returns the settings with each zero value replaced by its default.
// LeaseLength stays as it is: package permit replaces zero.
func (s Settings) WithDefaults() Settings {
	s.Router.Workers = orDefault(s.Router.Workers, DefaultWorkers)
	s.Router.Policy = orDefault(s.Router.Policy, FleetPolicy)
	s.Platform.PollInterval = orDefault(s.Platform.PollInterval, DefaultPollInterval)
	s.Limits.MaxBodyBytes = orDefault(s.Limits.MaxBodyBytes, DefaultMaxBodyBytes)
	s.Limits.StreamIdleTimeout = orDefault(s.Limits.StreamIdleTimeout, DefaultStreamIdleTimeout)
	s.Limits.CachedUpstreamWait = orDefault(s.Limits.CachedUpstreamWait, DefaultCachedUpstreamWait)
	s.Limits.ShutdownTimeout = orDefault(s.Limits.ShutdownTimeout, DefaultShutdownTimeout)
	return s
}

// orDefault returns value, or fallback if value is zero.
func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
