package placement

import (
	"container/list"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"basilstall.example/basilstall/model"
)

const (
	// defaultKVCapacity is the assumed KV cache of an engine in tokens if the routing does not state it: that of a
	// dozen long prompts. A value that is too low only spreads shared parts less.
	defaultKVCapacity = 250_000
	// maxCachedParts bounds the parts that are remembered of an engine, which take about 150 bytes each: 64 engines
	// then take 10 MB.
	maxCachedParts = 1024
	// maxUnusedTime is the unused time of a cache that is not full, and minUnusedTime that of one whose parts are displaced
	// at once. A usual time in the model of the tests is 20 s.
	maxUnusedTime = time.Minute
	minUnusedTime = time.Second
	// maxParts bounds the parts of a prompt that count. Callers state them.
	maxParts = 64
	// fullShare is the share of its capacity from which on a cache counts as full.
	fullShare = 0.9
)

type (
	// Part is a part of a prompt. An engine that has it cached has all parts before it cached as well.
	Part struct {
		// Key identifies the part together with all parts before it.
		Key    uint64
		Tokens int
	}

	// cachedPart is a part with the time at which a prompt with it was last placed.
	cachedPart struct {
		Part
		usedAt time.Time
	}

	// partCache holds the parts that an engine has probably cached: those of the last prompts that were placed there, up
	// to its capacity in tokens.
	partCache struct {
		capacity int
		used     int
		// recent holds the cachedParts, the most recently used first; elements finds them by key.
		recent   list.List
		elements map[uint64]*list.Element
		// holders counts, by key, the caches of the table that hold a part.
		holders map[uint64]int
	}
)

// NewParts returns the parts of a prompt, the first maxParts of them.
func NewParts(prompt model.Prompt) []Part {
	stated := prompt.Parts[:min(len(prompt.Parts), maxParts)]
	parts := make([]Part, 0, len(stated))
	key := uint64(0)
	for _, p := range stated {
		// The odd factor makes the key depend on the order of the parts.
		key = key*0x9e3779b97f4a7c15 + xxhash.Sum64String(p.ID)
		parts = append(parts, Part{Key: key, Tokens: p.Tokens})
	}
	return parts
}

// bounded returns the number of tokens of a prompt and its parts, of which callers may state anything, within what an
// engine can read: at least one token and at most capacity, and in the parts together no more than that.
func bounded(tokens int, parts []Part, capacity int) (int, []Part) {
	tokens = min(max(tokens, 1), capacity)
	parts = slices.Clone(parts[:min(len(parts), maxParts)])
	left := tokens
	for i := range parts {
		parts[i].Tokens = min(max(parts[i].Tokens, 0), left)
		left -= parts[i].Tokens
	}
	return tokens, parts
}

func newPartCache(holders map[uint64]int) partCache {
	return partCache{capacity: defaultKVCapacity, elements: map[uint64]*list.Element{}, holders: holders}
}

// cachedTokens returns how many tokens at the beginning of a prompt are cached.
func (c *partCache) cachedTokens(parts []Part) int {
	tokens := 0
	for _, p := range parts {
		if c.elements[p.Key] == nil {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// use records that the engine reads a prompt, and returns the keys of the parts that were not cached. The first parts
// count as the most recently used ones, because the others are of no use without them.
func (c *partCache) use(now time.Time, parts []Part) (added []uint64) {
	for i := len(parts) - 1; i >= 0; i-- {
		if element := c.elements[parts[i].Key]; element != nil {
			element.Value.(*cachedPart).usedAt = now
			c.recent.MoveToFront(element)
			continue
		}
		c.elements[parts[i].Key] = c.recent.PushFront(&cachedPart{Part: parts[i], usedAt: now})
		c.holders[parts[i].Key]++
		c.used += parts[i].Tokens
		added = append(added, parts[i].Key)
	}
	for c.recent.Len() > 1 && (c.used > c.capacity || c.recent.Len() > maxCachedParts) {
		c.remove(c.recent.Back().Value.(*cachedPart).Key)
	}
	return added
}

// unusedTime returns how long parts were not used before they are displaced, from minUnusedTime to maxUnusedTime.
func (c *partCache) unusedTime(now time.Time) time.Duration {
	if c.recent.Len() == 0 || float64(c.used) < fullShare*float64(c.capacity) {
		return maxUnusedTime
	}
	return min(max(now.Sub(c.recent.Back().Value.(*cachedPart).usedAt), minUnusedTime), maxUnusedTime)
}

// remove removes a part, if it is cached.
func (c *partCache) remove(key uint64) {
	element := c.elements[key]
	if element == nil {
		return
	}
	c.recent.Remove(element)
	c.used -= element.Value.(*cachedPart).Tokens
	delete(c.elements, key)
	if c.holders[key]--; c.holders[key] == 0 {
		delete(c.holders, key)
	}
}

// clear removes all parts.
func (c *partCache) clear() {
	for key := range c.elements {
		c.remove(key)
	}
}
