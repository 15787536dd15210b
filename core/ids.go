package core

// RouterID identifies an entry instance.
type RouterID string

// UpstreamID identifies an engine or an application instance.
type UpstreamID string

// Account is the name of a client account.
type Account string

// Pool is the name of a set of upstreams that serve the same requests.
type Pool string

// DataCentre is the name of a data centre.
type DataCentre string

// Incarnation identifies a process of a router by its start time in milliseconds
// since the Unix epoch. It increases with each restart.
type Incarnation uint64

// Seat is the position, counted from one, of an entry instance among those of
// its data centre. Zero stands for a router of another data centre.
type Seat int

// Digest is a 64-bit hash of a chat key, a request body or a caller's key.
type Digest uint64

// Offset is the position of a record in a stream of the platform's log. The
// first record has offset 1; zero means no record.
type Offset uint64
