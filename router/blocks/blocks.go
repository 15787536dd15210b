// Package blocks holds bodies in blocks that are added as bytes arrive, so that a body takes no
// more than its bytes, and is never copied to make it grow.
package blocks

import (
	"io"
	"sync"

	"github.com/go-faster/errors"
)

const (
	// blockBytes is the size of the blocks of a long body, and firstBytes that of the first block
	// of one without a stated length. Blocks in between have twice the size of the one before.
	blockBytes = 64 << 10
	firstBytes = 4 << 10
)

// Body is a body in blocks.
type Body [][]byte

// Of returns a body of one block.
func Of(data []byte) Body {
	if len(data) == 0 {
		return nil
	}
	return Body{data}
}

// Len returns the number of bytes.
func (b Body) Len() int {
	n := 0
	for _, block := range b {
		n += len(block)
	}
	return n
}

// Bytes returns the bytes in one slice, without a copy if there is a single block.
func (b Body) Bytes() []byte {
	switch len(b) {
	case 0:
		return nil
	case 1:
		return b[0]
	}
	all := make([]byte, 0, b.Len())
	for _, block := range b {
		all = append(all, block...)
	}
	return all
}

// free holds blocks of blockBytes of bodies that nobody reads any more.
var free = sync.Pool{New: func() any { return new([blockBytes]byte) }}

// Recycle makes the long blocks available to other bodies. Nothing may use the body afterwards.
func (b Body) Recycle() {
	for _, block := range b {
		if cap(block) == blockBytes {
			free.Put((*[blockBytes]byte)(block[:blockBytes]))
		}
	}
}

// Reader reads one body.
type Reader struct {
	Source io.Reader
	// Length is the stated length; negative if there is none.
	Length int64
	// Acquire is called before a block of n bytes is added to a body of some bytes. Its error
	// ends the reading. A nil func permits all.
	Acquire func(n, bytes int) error
}

// ReadAll reads the body to its end. If it fails, it returns what was read.
func (r Reader) ReadAll() (Body, error) {
	var body Body
	total, size := 0, 0
	for {
		size = r.nextSize(total, size)
		if r.Acquire != nil {
			if err := r.Acquire(size, total); err != nil {
				return body, err
			}
		}
		block := newBlock(size)
		n, err := fill(r.Source, block)
		total += n
		if n > 0 {
			body = append(body, block[:n])
		}
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return body, err
		}
	}
}

// nextSize returns the size of the next block, after one of a size.
func (r Reader) nextSize(total, size int) int {
	if r.Length >= 0 {
		// One byte where none should be left, so that the end is seen.
		return int(min(max(r.Length-int64(total), 1), blockBytes))
	}
	return min(max(2*size, firstBytes), blockBytes)
}

// newBlock returns a block, whose content is undefined.
func newBlock(size int) []byte {
	if size == blockBytes {
		block, ok := free.Get().(*[blockBytes]byte)
		if ok {
			return block[:]
		}
	}
	return make([]byte, size)
}

// fill reads until the block is full or the source fails.
func fill(source io.Reader, block []byte) (int, error) {
	n := 0
	for n < len(block) {
		m, err := source.Read(block[n:])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}
