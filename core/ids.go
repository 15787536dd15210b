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

// Incarnation identifies a process of an entry instance by its start time in
// milliseconds since the Unix epoch. It increases with each restart.
type Incarnation uint64

// Seat is the number, counted from one, of an entry instance among those of its
// data centre. Zero means none, as in a permit.Request from another data centre.
type Seat int

// Digest is a 64-bit hash, for example of a chat's key, a part of a prompt, or the
// body of a request or an answer.
type Digest uint64

// Offset is the position of a record in a stream of the platform's log. The
// first record has offset 1; zero means no record.
type Offset uint64
