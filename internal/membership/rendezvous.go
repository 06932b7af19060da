package membership

import (
	"slices"
	"sort"

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

// RankByWeight returns the names in descending order of their weight for the key.
func RankByWeight(key string, names []string) []string {
	weights := make(map[string]uint64, len(names))
	for _, name := range names {
		weights[name] = Weight(key, name)
	}
	out := append([]string(nil), names...)
	sort.Slice(out, func(i, j int) bool {
		a, b := weights[out[i]], weights[out[j]]
		if a != b {
			return a > b
		}
		return out[i] < out[j]
	})
	return out
}

// TopByWeight returns the first count names of RankByWeight.
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

// RankOf returns the number of other names that precede name in RankByWeight.
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
