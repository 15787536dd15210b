package blocks

import (
	"bytes"
	"fmt"
	"io"
	"net/http/httputil"
	"strings"
	"testing"
	"testing/iotest"
)

// FuzzChunks guards against bodies in chunks that are read otherwise than they were sent, or that
// take much more memory than their bytes. A chunked body is read into blocks, and in one piece
// for comparison.
func FuzzChunks(f *testing.F) {
	for _, seed := range []string{
		"0\r\n\r\n", "1\r\na\r\n0\r\n\r\n", "1;x=y\r\na\r\n0\r\n\r\n", "fffffffffffffffff\r\na", "5\r\nab", "-1\r\n\r\n", "1\na\n0\n\n",
		strings.Repeat("1\r\na\r\n", 300) + "0\r\n\r\n", "12000\r\n" + strings.Repeat("a", 0x12000) + "\r\n0\r\n\r\n", "1;" + strings.Repeat("a", 5000),
	} {
		f.Add([]byte(seed), true)
		f.Add([]byte(seed), false)
	}
	f.Fuzz(func(t *testing.T, data []byte, byByte bool) {
		var source io.Reader = bytes.NewReader(data)
		if byByte {
			source = iotest.OneByteReader(source)
		}
		acquired := 0
		body, err := Reader{Source: httputil.NewChunkedReader(source), Length: -1, Acquire: func(n, total int) error {
			acquired += n
			if acquired > 2*total+max(total, firstBytes)+blockBytes {
				return fmt.Errorf("%d bytes acquired for %d", acquired, total)
			}
			return nil
		}}.ReadAll()
		want, wantErr := io.ReadAll(httputil.NewChunkedReader(bytes.NewReader(data)))
		if got := body.Bytes(); !bytes.Equal(got, want) || (err == nil) != (wantErr == nil) {
			t.Errorf("body: got %d bytes and error %v, want %d bytes and error %v", len(got), err, len(want), wantErr)
		}
		if got := body.Len(); got != len(want) {
			t.Errorf("length: got %d, want %d", got, len(want))
		}
	})
}

// TestStatedLength guards against a body of a stated length that takes more memory than that, or
// whose end isn't seen.
func TestStatedLength(t *testing.T) {
	for _, n := range []int{0, 1, blockBytes - 1, blockBytes, blockBytes + 1, 3*blockBytes + 7} {
		acquired := 0
		body, err := Reader{Source: strings.NewReader(strings.Repeat("a", n)), Length: int64(n), Acquire: func(n, _ int) error {
			acquired += n
			return nil
		}}.ReadAll()
		// The source states its end only at a further read.
		if err != nil || body.Len() != n || acquired > n+1 {
			t.Errorf("body of %d bytes: got %d, %d acquired, error %v; want all, at most one byte more acquired, no error", n, body.Len(), acquired, err)
		}
	}
}
