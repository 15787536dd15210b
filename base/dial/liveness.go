package dial

import (
	"time"

	"golang.org/x/sys/unix"
)

// checkInterval is the time between two checks of a connection while a Read waits.
const checkInterval = UserTimeout / 4

// Liveness follows whether a peer acknowledges what it is sent. The zero value has seen
// nothing.
//
// The kernel's TCP_USER_TIMEOUT doesn't tell a peer that is gone from one that reads nothing
// for a while: it also ends a connection whose receive window stays closed, though the peer
// acknowledges each probe of the window.
type Liveness struct {
	// Segments is how many segments were in flight, and Received how many had come from the
	// peer, at the last change of either. Since is when that was.
	Segments, Received uint32
	Since              time.Time
}

// Lost records the state of the connection, and reports whether segments have been in flight
// for UserTimeout while nothing came from the peer.
func (l *Liveness) Lost(now time.Time, info *unix.TCPInfo) bool {
	if info.Unacked == 0 || info.Unacked != l.Segments || info.Segs_in != l.Received || l.Since.IsZero() {
		*l = Liveness{Segments: info.Unacked, Received: info.Segs_in, Since: now}
		return false
	}
	return now.Sub(l.Since) >= UserTimeout
}
