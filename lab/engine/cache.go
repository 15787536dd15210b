package main

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// message is one message of a chat.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// block is one message of a prompt: its length in tokens, and the hash of the
// prompt up to the end of the message.
type block struct {
	hash   uint64
	tokens int
}

// bytesPerToken is the number of bytes of text that count as one token.
const bytesPerToken = 4

func countTokens(text string) int {
	return len(text)/bytesPerToken + 1
}

// promptBlocks returns the blocks of a prompt, one for each message.
func promptBlocks(messages []message) []block {
	blocks := make([]block, 0, len(messages))
	hash := uint64(0)
	for _, m := range messages {
		hash = extendHash(hash, m)
		blocks = append(blocks, block{hash, countTokens(m.Content)})
	}
	return blocks
}

// extendHash returns the hash of a prompt that consists of the messages hashed
// to prefix, followed by m.
func extendHash(prefix uint64, m message) uint64 {
	d := xxhash.NewWithSeed(prefix)
	d.WriteString(m.Role)
	d.Write([]byte{0})
	d.WriteString(m.Content)
	return d.Sum64()
}

// prefixCache is an LRU cache of prompt blocks, bounded by their total number
// of tokens.
type prefixCache struct {
	capacityTokens int
	usedTokens     int
	lru            list.List
	byHash         map[uint64]*list.Element
}

// lookup returns the number of tokens in the longest cached prefix of a prompt
// and marks the blocks of that prefix as recently used.
func (c *prefixCache) lookup(blocks []block) int {
	tokens := 0
	for _, b := range blocks {
		e := c.byHash[b.hash]
		if e == nil {
			break
		}
		c.lru.MoveToFront(e)
		tokens += b.tokens
	}
	return tokens
}

// store caches the blocks of a prompt, then evicts the least recently used
// blocks until the cache is within its capacity.
func (c *prefixCache) store(blocks []block) {
	if c.byHash == nil {
		c.byHash = map[uint64]*list.Element{}
	}
	for _, b := range blocks {
		if e := c.byHash[b.hash]; e != nil {
			c.lru.MoveToFront(e)
			continue
		}
		c.byHash[b.hash] = c.lru.PushFront(b)
		c.usedTokens += b.tokens
	}
	for c.usedTokens > c.capacityTokens && c.lru.Len() > 0 {
		e := c.lru.Back()
		b, _ := c.lru.Remove(e).(block)
		delete(c.byHash, b.hash)
		c.usedTokens -= b.tokens
	}
}
