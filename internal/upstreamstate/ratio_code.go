package upstreamstate

import "math"

// ratioCode encodes a ratio in one byte, with a relative error of at most 2.2%: code c > 0
// stands for 2^((c-ratioCodeOne)/ratioCodesPerOctave). 0 stands for an unknown ratio.
type ratioCode byte

const (
	ratioCodeOne        = 128
	ratioCodesPerOctave = 16
)

func newRatioCode(ratio float64) ratioCode {
	if !(ratio > 0) {
		return 0
	}
	code := math.Round(math.Log2(ratio)*ratioCodesPerOctave) + ratioCodeOne
	return ratioCode(min(max(code, 1), math.MaxUint8))
}

// ratio returns the encoded ratio, or 0 if it is unknown.
func (c ratioCode) ratio() float64 {
	if c == 0 {
		return 0
	}
	return math.Exp2((float64(c) - ratioCodeOne) / ratioCodesPerOctave)
}
