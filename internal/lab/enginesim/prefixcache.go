package enginesim

import "container/list"

// prefixCache holds prefix blocks, the least recently used first to go. It is guarded by the engine's lock.
type prefixCache struct {
	blockTokens int
	order       *list.List
	entries     map[uint64]*list.Element
	// changed is told of every block that enters or leaves.
	changed func(block uint64, stored bool)
}

func newPrefixCache(blockTokens int, changed func(block uint64, stored bool)) *prefixCache {
	return &prefixCache{
		blockTokens: blockTokens,
		order:       list.New(),
		entries:     map[uint64]*list.Element{},
		changed:     changed,
	}
}

// hit returns how many leading tokens of a prompt are cached.
func (c *prefixCache) hit(blocks []uint64) int {
	count := 0
	for _, block := range blocks {
		element, cached := c.entries[block]
		if !cached {
			break
		}
		c.order.MoveToBack(element)
		count++
	}
	return count * c.blockTokens
}

// store adds blocks while they fit into limit tokens together with what is there.
func (c *prefixCache) store(blocks []uint64, limit int) {
	for _, block := range blocks {
		if element, cached := c.entries[block]; cached {
			c.order.MoveToBack(element)
			continue
		}
		if c.blockTokens > limit {
			return
		}
		c.shrink(limit - c.blockTokens)
		c.entries[block] = c.order.PushBack(block)
		c.changed(block, true)
	}
}

// shrink evicts until at most limit tokens are cached.
func (c *prefixCache) shrink(limit int) {
	for c.tokens() > max(limit, 0) {
		oldest := c.order.Front()
		block := c.order.Remove(oldest).(uint64)
		delete(c.entries, block)
		c.changed(block, false)
	}
}

func (c *prefixCache) tokens() int { return len(c.entries) * c.blockTokens }

// blocks lists the cached blocks, the least recently used first.
func (c *prefixCache) blocks() []uint64 {
	blocks := make([]uint64, 0, len(c.entries))
	for element := c.order.Front(); element != nil; element = element.Next() {
		blocks = append(blocks, element.Value.(uint64))
	}
	return blocks
}
