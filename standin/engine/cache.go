package engine

import "container/list"

// prefixCache is a least-recently-used cache of prompt prefix hashes.
type prefixCache struct {
	capacity int
	order    *list.List // prefix hashes as uint64, most recently used first
	entries  map[uint64]*list.Element
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), entries: map[uint64]*list.Element{}}
}

// cachedPrefixes returns how many of the hashes are cached, counted from the first
// until one is missing. hashes are ordered from the shortest prefix to the longest.
func (c *prefixCache) cachedPrefixes(hashes []uint64) int {
	for i, h := range hashes {
		if c.entries[h] == nil {
			return i
		}
	}
	return len(hashes)
}

// add inserts the hashes, ordered from the shortest prefix to the longest, and
// returns the new and the evicted ones. The longest prefix is inserted first, so
// that short prefixes, which more prompts share, are evicted last.
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
