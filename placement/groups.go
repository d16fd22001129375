package placement

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxGroup is the greatest size of a pool with a single placer.
	MaxGroup = 64
	// meanGroup is the mean size of the groups of a larger pool. With groups by hash, it is so far below MaxGroup that
	// few groups are larger.
	meanGroup = 48
)

// Groups returns the number of groups into which a pool of engines is divided.
func Groups(engines int) int {
	if engines <= MaxGroup {
		return 1
	}
	return (engines + meanGroup - 1) / meanGroup
}

// GroupOf returns the group of an incarnation, from 0 to groups-1, by rendezvous hashing: if the number of groups
// changes by one, few engines change their group.
func GroupOf(incarnation string, groups int) int {
	if groups <= 1 {
		return 0
	}
	hash := xxhash.Sum64String(incarnation)
	best, bestScore := 0, uint64(0)
	for group := range groups {
		if score := mixed(hash, uint64(group)); score > bestScore {
			best, bestScore = group, score
		}
	}
	return best
}

// GroupFor returns the group that gets the prompts of a key, by weighted rendezvous hashing. sizes holds the number of
// engines in each group.
func GroupFor(key string, sizes []int) int {
	hash := xxhash.Sum64String(key)
	best, bestScore := 0, math.Inf(-1)
	for group, size := range sizes {
		if score := math.Log(uniform(mixed(hash, uint64(group)))) / float64(size); size > 0 && score > bestScore {
			best, bestScore = group, score
		}
	}
	return best
}

// uniform returns a hash as a number between 0 and 1, without these two.
func uniform(hash uint64) float64 {
	return (float64(hash) + 1) / (math.MaxUint64 + 2)
}

// mixed returns a hash of a hash and another number.
func mixed(hash, other uint64) uint64 {
	hash ^= (other + 1) * 0x9e3779b97f4a7c15
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	hash *= 0xc4ceb9fe1a85ec53
	return hash ^ hash>>33
}
