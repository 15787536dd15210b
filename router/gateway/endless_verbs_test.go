package gateway_test

import (
	"bytes"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// endlessPieceBytes is the least size of the pieces of an endless response that is sent
// without a pause.
const endlessPieceBytes = 64 << 10

// respond-endless UPSTREAM FILE PIECE [PAUSE [SIZE]]: adds a response that begins with a
// file and repeats a piece until the router closes the connection. There is a pause
// before each SIZE bytes, by default before each piece. All line ends become CR LF, and
// \r\n in the piece stands for CR LF.
func cmdRespondEndless(ts *testscript.TestScript, f *fixture, a []string) {
	r := response{after: "endless", piece: []byte(strings.ReplaceAll(a[2], `\r\n`, "\r\n"))}
	r.data = []byte(strings.ReplaceAll(strings.TrimSuffix(ts.ReadFile(a[1]), "$\n"), "\n", "\r\n"))
	if len(a) > 3 {
		var err error
		r.pause, err = time.ParseDuration(a[3])
		ts.Check(err)
	}
	size := endlessPieceBytes
	if len(a) > 4 {
		var err error
		size, err = strconv.Atoi(a[4])
		ts.Check(err)
	}
	if len(a) != 4 {
		r.piece = bytes.Repeat(r.piece, size/len(r.piece)+1)
	}
	u := f.upstreams[a[0]]
	u.mu.Lock()
	defer u.mu.Unlock()
	u.responses = append(u.responses, r)
}

// sent-at-most UPSTREAM MIB: checks how much the upstream sent in endless responses,
// the buffers of the sockets included.
func cmdSentAtMost(ts *testscript.TestScript, f *fixture, a []string) {
	most, err := strconv.Atoi(a[1])
	ts.Check(err)
	u := f.upstreams[a[0]]
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.endlessBytes > most<<20 {
		ts.Fatalf("endless bytes sent by %s: got %d, want at most %d", a[0], u.endlessBytes, most<<20)
	}
}

// repeat sends the pieces of an endless response until the router closes the connection.
func (u *upstream) repeat(c net.Conn, r response) {
	for {
		time.Sleep(r.pause)
		n, err := c.Write(r.piece)
		u.mu.Lock()
		u.endlessBytes += n
		u.mu.Unlock()
		if err != nil {
			return
		}
	}
}
