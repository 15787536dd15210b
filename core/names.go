package core

// RouterID names one entry instance.
type RouterID string

// UpstreamID names one engine or one application instance.
type UpstreamID string

// Account names a client account.
type Account string

// Pool names a set of upstreams that serve the same requests.
type Pool string

// DataCentre names a data centre.
type DataCentre string

// Incarnation names one process of a router: its start in milliseconds since
// the Unix epoch. A restart has a higher one.
type Incarnation uint64

// Seat is the place of an entry instance, counted from one, among those of its
// data centre. Zero stands for a router of another data centre.
type Seat int

// Digest is a 64-bit hash of a chat key, a request body or a caller's key.
type Digest uint64

// Offset is the position of a record in a stream of the platform's log.
// The first record has offset 1; zero means no record.
type Offset uint64
