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

// block is a message of a prompt with the hash of the prompt up to its end.
type block struct {
	hash   uint64
	tokens int
}

// bytesPerToken is the size of a token of text.
const bytesPerToken = 4

func tokensOf(text string) int {
	return len(text)/bytesPerToken + 1
}

// blocks returns the chain of a prompt.
func blocks(messages []message) []block {
	chain := make([]block, 0, len(messages))
	hash := uint64(0)
	for _, m := range messages {
		hash = link(hash, m)
		chain = append(chain, block{hash, tokensOf(m.Content)})
	}
	return chain
}

// link returns the hash of a prompt that ends with a message.
func link(before uint64, m message) uint64 {
	d := xxhash.NewWithSeed(before)
	d.WriteString(m.Role)
	d.Write([]byte{0})
	d.WriteString(m.Content)
	return d.Sum64()
}

// cache holds the blocks that were used last, within a number of tokens.
type cache struct {
	memory int
	used   int
	recent list.List
	byHash map[uint64]*list.Element
}

// lookup returns how many tokens of a prompt are cached: those of its longest
// cached prefix.
func (c *cache) lookup(chain []block) int {
	tokens := 0
	for _, b := range chain {
		e := c.byHash[b.hash]
		if e == nil {
			break
		}
		c.recent.MoveToFront(e)
		tokens += b.tokens
	}
	return tokens
}

// store caches a prompt and evicts what was not used for longest.
func (c *cache) store(chain []block) {
	if c.byHash == nil {
		c.byHash = map[uint64]*list.Element{}
	}
	for _, b := range chain {
		if e := c.byHash[b.hash]; e != nil {
			c.recent.MoveToFront(e)
			continue
		}
		c.byHash[b.hash] = c.recent.PushFront(b)
		c.used += b.tokens
	}
	for c.used > c.memory && c.recent.Len() > 0 {
		e := c.recent.Back()
		b, _ := c.recent.Remove(e).(block)
		delete(c.byHash, b.hash)
		c.used -= b.tokens
	}
}
