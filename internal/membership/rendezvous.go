package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Weight returns the rendezvous hashing weight of a candidate for a key. The
// candidate with the highest weight is preferred.
func Weight(key, candidate string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(candidate)
	return d.Sum64()
}

// TopByWeight returns the first count names in descending order of their weight for the
// key. Names of equal weight are in ascending order.
func TopByWeight(key string, names []string, count int) []string {
	var top []string
	var weights []uint64
	for _, name := range names {
		weight := Weight(key, name)
		at := len(top)
		for at > 0 && (weights[at-1] < weight || weights[at-1] == weight && top[at-1] > name) {
			at--
		}
		if at >= count {
			continue
		}
		top, weights = slices.Insert(top, at, name), slices.Insert(weights, at, weight)
		top, weights = top[:min(len(top), count)], weights[:min(len(weights), count)]
	}
	return top
}

// RankOf returns the number of other names that precede name in the order of TopByWeight.
func RankOf(key, name string, others []string) int {
	own, rank := Weight(key, name), 0
	for _, other := range others {
		weight := Weight(key, other)
		if other != name && (weight > own || weight == own && other < name) {
			rank++
		}
	}
	return rank
}
