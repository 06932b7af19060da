package routing

import (
	"math"
	"time"
)

const (
	// slowHalfLife and fastHalfLife are the times in which the weights of the two windows
	// halve. A daemon serves about 10 requests per second; if one in twenty is long, the slow
	// window contains about 14 of them, the fast one two.
	slowHalfLife = 20 * time.Second
	fastHalfLife = 3 * time.Second
	// shiftDeviations is the number of standard deviations by which the number of long prompts
	// in the fast window must differ from that expected by the slow one for the mix to count as
	// shifted. The fast window then replaces the slow one for shiftDuration, in which the
	// requests from before the shift lose three quarters of their weight in it.
	shiftDeviations = 2.5
	shiftDuration   = 2 * fastHalfLife
)

// longWork estimates the rate of the tokens of long prompts that this daemon sends. It uses a
// slow window, which the fast one replaces when the mix has shifted.
type longWork struct {
	slow, fast   promptWindow
	shiftedUntil time.Duration
}

// promptWindow holds sums over recent requests, with exponential decay. seconds is the decayed
// time that the window covers.
type promptWindow struct {
	at                  time.Duration
	seconds             float64
	long, work, squares float64
}

// observe decays the sums and adds a prompt, which counts only if it is long.
func (w *promptWindow) observe(tokens float64, isLong bool, now, halfLife time.Duration) {
	if elapsed := now - w.at; elapsed > 0 {
		factor := halfLifeFactor(elapsed, halfLife)
		w.seconds = w.seconds*factor + (1-factor)*halfLife.Seconds()/math.Ln2
		w.long, w.work, w.squares = w.long*factor, w.work*factor, w.squares*factor
		w.at = now
	}
	if isLong {
		w.long++
		w.work += tokens
		w.squares += tokens * tokens
	}
}

// observe adds a prompt to both windows and checks whether the mix has shifted.
func (w *longWork) observe(tokens float64, isLong bool, now time.Duration) {
	w.slow.observe(tokens, isLong, now, slowHalfLife)
	w.fast.observe(tokens, isLong, now, fastHalfLife)
	if w.slow.seconds <= 0 || w.fast.seconds <= 0 {
		return
	}
	expected := w.slow.long / w.slow.seconds * w.fast.seconds
	if math.Abs(w.fast.long-expected) > shiftDeviations*math.Sqrt(max(1, expected)) {
		w.shiftedUntil = now + shiftDuration
	}
	if now < w.shiftedUntil {
		w.slow = w.fast
	}
}

// tokensPerSecond returns the rate of the tokens of long prompts. Until the slow window covers a
// second, it is based on a second.
func (w *longWork) tokensPerSecond() float64 { return w.slow.work / max(1, w.slow.seconds) }

// weightedMeanTokens returns the mean length of the long prompt that an upstream processes at a
// random time while it processes one, or 0.
func (w *longWork) weightedMeanTokens() float64 {
	if w.slow.work <= 0 {
		return 0
	}
	return w.slow.squares / w.slow.work
}
