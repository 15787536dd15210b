package dialtest

import (
	"bytes"
	"embed"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"
)

// endless holds responses without end: what is sent once, and behind the bar what is
// repeated. A line ends with CR LF.
//
//go:embed endless/*.txt
var endless embed.FS

// pieceBytes is the least size of the writes of an endless response.
const pieceBytes = 64 << 10

// Endless calls read, as a subtest, with the address of a server for each kind of response
// without end. Read has to fail and to return in time, while the process grows by less than
// maxGrowth bytes.
func Endless(t *testing.T, maxGrowth uint64, read func(address string) error) {
	t.Helper()
	files, err := endless.ReadDir("endless")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		name := strings.TrimSuffix(file.Name(), ".txt")
		t.Run(name, func(t *testing.T) {
			text, err := endless.ReadFile("endless/" + file.Name())
			if err != nil {
				t.Fatal(err)
			}
			address := serveEndless(t, bytes.ReplaceAll(text, []byte("\n"), []byte("\r\n")))
			if grown := growth(func() { err = read(address) }); grown > maxGrowth {
				t.Errorf("memory while a response without end is read: got %d bytes more, want at most %d", grown, maxGrowth)
			}
			if err == nil {
				t.Error("response without end: got no error, want one")
			}
		})
	}
}

// serveEndless starts a server that answers each connection with a response until the client
// closes it.
func serveEndless(t *testing.T, text []byte) string {
	t.Helper()
	once, repeated, _ := bytes.Cut(text, []byte("|"))
	piece := bytes.Repeat(repeated, pieceBytes/len(repeated)+1)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				_, err := c.Write(once)
				for err == nil {
					_, err = c.Write(piece)
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// sampleInterval is the time between two samples of the memory in use.
const sampleInterval = 5 * time.Millisecond

// growth returns by how many bytes the heap grows at most while fn runs.
func growth(fn func()) uint64 {
	runtime.GC()
	before := heapBytes()
	most := before
	done, sampled := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(sampled)
		for {
			most = max(most, heapBytes())
			select {
			case <-done:
				return
			case <-time.After(sampleInterval):
			}
		}
	}()
	fn()
	close(done)
	<-sampled
	return most - before
}

func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
