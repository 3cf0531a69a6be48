package picking

// blockCache is an engine's prefix cache: an LRU cache of prompt blocks that records
// the changes to be published.
type blockCache struct {
	capacity int
	nodes    map[uint64]*blockNode
	// newest and oldest are the ends of the LRU list.
	newest, oldest *blockNode
	// stored and removed are the blocks added and evicted since the last
	// takeChanges.
	stored, removed []uint64
}

type blockNode struct {
	block        uint64
	newer, older *blockNode
}

func newBlockCache(capacity int) *blockCache {
	return &blockCache{capacity: capacity, nodes: map[uint64]*blockNode{}}
}

// matchPrefix returns the number of leading blocks that are cached.
func (c *blockCache) matchPrefix(blocks []uint64) int {
	n := 0
	for n < len(blocks) && c.nodes[blocks[n]] != nil {
		n++
	}
	return n
}

// insert adds the blocks or marks them as recently used, in reverse order, so that
// the end of a prompt is evicted before its beginning.
func (c *blockCache) insert(blocks []uint64) {
	for i := len(blocks) - 1; i >= 0; i-- {
		node := c.nodes[blocks[i]]
		if node == nil {
			node = &blockNode{block: blocks[i]}
			c.nodes[node.block] = node
			c.stored = append(c.stored, node.block)
		} else {
			c.unlink(node)
		}
		c.linkNewest(node)
	}
	for len(c.nodes) > c.capacity {
		oldest := c.oldest
		c.unlink(oldest)
		delete(c.nodes, oldest.block)
		c.removed = append(c.removed, oldest.block)
	}
}

// takeChanges returns the blocks added and evicted since the last call, without
// those that have been evicted or added again since.
func (c *blockCache) takeChanges() (stored, removed []uint64) {
	for _, block := range c.stored {
		if c.nodes[block] != nil {
			stored = append(stored, block)
		}
	}
	for _, block := range c.removed {
		if c.nodes[block] == nil {
			removed = append(removed, block)
		}
	}
	c.stored, c.removed = c.stored[:0], c.removed[:0]
	return stored, removed
}

func (c *blockCache) linkNewest(node *blockNode) {
	node.older, node.newer = c.newest, nil
	if c.newest != nil {
		c.newest.newer = node
	} else {
		c.oldest = node
	}
	c.newest = node
}

func (c *blockCache) unlink(node *blockNode) {
	if node.newer != nil {
		node.newer.older = node.older
	} else {
		c.newest = node.older
	}
	if node.older != nil {
		node.older.newer = node.newer
	} else {
		c.oldest = node.newer
	}
	node.newer, node.older = nil, nil
}
