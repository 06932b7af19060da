package routing

import "math/bits"

// bitSource is a SplitMix64 generator. It lives on the stack and is seeded from
// the request, so that policies need no shared state.
type bitSource uint64

func (s *bitSource) next() uint64 {
	*s += 0x9e3779b97f4a7c15
	z := uint64(*s)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// intn returns a number from 0 to n-1.
func (s *bitSource) intn(n int) int {
	high, _ := bits.Mul64(s.next(), uint64(n))
	return int(high)
}
