package engine

import "container/list"

// prefixCache holds hashes of prompt prefixes in bounded memory and evicts the
// least recently used one.
type prefixCache struct {
	capacity int
	order    *list.List // of uint64, most recent first
	entries  map[uint64]*list.Element
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), entries: map[uint64]*list.Element{}}
}

// matched returns how many leading hashes are cached.
func (c *prefixCache) matched(hashes []uint64) int {
	for i, h := range hashes {
		if c.entries[h] == nil {
			return i
		}
	}
	return len(hashes)
}

// add inserts the hashes and returns which are new and which were evicted.
// The longest prefix is inserted first, so that short prefixes, which more
// prompts share, are evicted last.
func (c *prefixCache) add(hashes []uint64) (added, evicted []uint64) {
	for i := len(hashes) - 1; i >= 0; i-- {
		if e := c.entries[hashes[i]]; e != nil {
			c.order.MoveToFront(e)
			continue
		}
		c.entries[hashes[i]] = c.order.PushFront(hashes[i])
		added = append(added, hashes[i])
	}
	for c.order.Len() > c.capacity {
		oldest := c.order.Back()
		h := c.order.Remove(oldest).(uint64)
		delete(c.entries, h)
		evicted = append(evicted, h)
	}
	return added, evicted
}
