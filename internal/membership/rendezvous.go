package membership

import (
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
