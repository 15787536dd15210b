// Package setup holds the settings of the router.
package setup

import "time"

// File is the router's settings file.
type File struct {
	Router   Router   `ini:"router"`
	Platform Platform `ini:"platform"`
	Limits   Limits   `ini:"limits"`
	Log      Log      `ini:"log"`
}

// Router says who the router is and where it listens.
type Router struct {
	ID         string `ini:"id" validate:"required"`
	DataCentre string `ini:"datacentre" validate:"required"`
	// Seat is the place of this instance among those of its data centre.
	Seat int `ini:"seat" validate:"min=1,max=64"`
	// Listen is the address for callers.
	Listen string `ini:"listen" validate:"required,hostname_port"`
	// Peer is the address for other routers.
	Peer string `ini:"peer" validate:"required,hostname_port,nefield=Listen"`
	// Operator is the address for operators and metrics.
	Operator string `ini:"operator" validate:"required,hostname_port,nefield=Listen,nefield=Peer"`
	// Workers is the number of workers; zero means DefaultWorkers.
	Workers int `ini:"workers" validate:"min=0,max=1024"`
	// Policy says how chats are placed; empty means "fleet".
	Policy string `ini:"policy" validate:"omitempty,oneof=fleet oracle random robin rendezvous bounded"`
	// Lease is how long lent units stay with a keeper; zero means the default.
	Lease time.Duration `ini:"lease" validate:"omitempty,min=200ms,max=60s"`
}

// Platform says where the platform's services are.
type Platform struct {
	Log  string `ini:"log" validate:"required,hostname_port"`
	List string `ini:"list" validate:"required,hostname_port"`
	// Poll is the interval at which the list is read; zero means DefaultPoll.
	Poll time.Duration `ini:"poll" validate:"omitempty,min=50ms"`
}

// Limits bound what callers may send and how long things take.
type Limits struct {
	// Body is the largest request body in bytes; zero means DefaultBody.
	Body int `ini:"body" validate:"min=0,max=1073741824"`
	// Stall is the longest silence in a stream; zero means DefaultStall.
	Stall time.Duration `ini:"stall" validate:"min=0"`
	// Home is how long a request waits for the upstream that has its chat
	// cached before it goes to another; zero means DefaultHome.
	Home time.Duration `ini:"home" validate:"min=0,max=10s"`
	// Shutdown is how long requests may go on after SIGTERM; zero means
	// DefaultShutdown.
	Shutdown time.Duration `ini:"shutdown" validate:"min=0"`
}

// Log says what is logged.
type Log struct {
	Level string `ini:"level" validate:"omitempty,oneof=debug info warn error"`
}

// Defaults of settings that are zero.
const (
	DefaultWorkers  = 8
	DefaultPoll     = 500 * time.Millisecond
	DefaultBody     = 4 << 20
	DefaultStall    = 15 * time.Second
	DefaultShutdown = 60 * time.Second
	DefaultHome     = 40 * time.Millisecond
	// FleetPolicy is the policy that asks for permits.
	FleetPolicy = "fleet"
)

// WithDefaults returns the settings with defaults in place of zeros.
func (f File) WithDefaults() File {
	f.Router.Workers = orDefault(f.Router.Workers, DefaultWorkers)
	f.Router.Policy = orDefault(f.Router.Policy, FleetPolicy)
	f.Platform.Poll = orDefault(f.Platform.Poll, DefaultPoll)
	f.Limits.Body = orDefault(f.Limits.Body, DefaultBody)
	f.Limits.Stall = orDefault(f.Limits.Stall, DefaultStall)
	f.Limits.Home = orDefault(f.Limits.Home, DefaultHome)
	f.Limits.Shutdown = orDefault(f.Limits.Shutdown, DefaultShutdown)
	return f
}

func orDefault[T comparable](value, instead T) T {
	var zero T
	if value == zero {
		return instead
	}
	return value
}
