// Package prefixcache is the model of an engine's prefix cache that the stand-in engine and the simulations share.
package prefixcache

import "container/list"

// Cache holds prefix blocks, the least recently used first to go and of one prompt the last block first, so that what is
// left of a prompt is always its beginning. It is not safe for concurrent use.
type Cache struct {
	blockTokens int
	order       *list.List
	entries     map[uint64]*list.Element
	// changed is told of every block that enters or leaves.
	changed func(block uint64, stored bool)
}

// New returns an empty cache of blocks of blockTokens tokens, which tells changed of every block that enters or leaves.
func New(blockTokens int, changed func(block uint64, stored bool)) *Cache {
	return &Cache{
		blockTokens: blockTokens,
		order:       list.New(),
		entries:     map[uint64]*list.Element{},
		changed:     changed,
	}
}

// Hit returns how many leading tokens of a prompt are cached, and counts them as used.
func (c *Cache) Hit(blocks []uint64) int {
	count := c.Leading(blocks)
	c.use(blocks[:count])
	return count * c.blockTokens
}

// Leading returns how many leading blocks of a prompt are cached.
func (c *Cache) Leading(blocks []uint64) int {
	for index, block := range blocks {
		if _, cached := c.entries[block]; !cached {
			return index
		}
	}
	return len(blocks)
}

// use makes the blocks of a prompt the most recent, its first block last of all.
func (c *Cache) use(blocks []uint64) {
	for index := len(blocks) - 1; index >= 0; index-- {
		c.order.MoveToBack(c.entries[blocks[index]])
	}
}

// Store adds the leading blocks of a prompt that fit into limit tokens, and evicts others until all fit together.
func (c *Cache) Store(blocks []uint64, limit int) {
	fitting := blocks[:min(len(blocks), max(0, limit)/c.blockTokens)]
	for _, block := range fitting {
		if element, cached := c.entries[block]; cached {
			c.order.MoveToBack(element)
			continue
		}
		c.Shrink(limit - c.blockTokens)
		c.entries[block] = c.order.PushBack(block)
		c.changed(block, true)
	}
	c.use(fitting)
}

// Shrink evicts until at most limit tokens are cached.
func (c *Cache) Shrink(limit int) {
	for c.Tokens() > max(limit, 0) {
		block := c.order.Remove(c.order.Front()).(uint64)
		delete(c.entries, block)
		c.changed(block, false)
	}
}

// Tokens returns the size of what is cached, in tokens.
func (c *Cache) Tokens() int { return len(c.entries) * c.blockTokens }

// Blocks lists the cached blocks, the least recently used first.
func (c *Cache) Blocks() []uint64 {
	blocks := make([]uint64, 0, len(c.entries))
	for element := c.order.Front(); element != nil; element = element.Next() {
		blocks = append(blocks, element.Value.(uint64))
	}
	return blocks
}
