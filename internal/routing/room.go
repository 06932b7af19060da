package routing

import "math"

// maxLevelSteps bounds the steps in which the level is determined. Two to four are usual. A
// level that is too high sends the requests to the holders of their prompts despite their load.
const maxLevelSteps = 16

// maxExactDraws is the number of candidates up to which the draw is exact.
const maxExactDraws = 16

// pickByRoom picks a candidate at random, with a probability in proportion to its room: the
// number of requests that bring its score to a common level. The level is the one at which the
// room of all candidates is the number of requests that daemons send before reports include
// them. So daemons with the same reports fill the best upstreams together up to the level of
// the next ones, instead of all choosing the best one.
//
// What the candidates hold of the prompt does not count for the level, as the other requests
// are for other prompts. It counts in full at the level: the request goes to the candidates
// where it is answered first once the others have been sent.
func (p *Cost) pickByRoom(req *Request, candidates []Candidate, scores []float64) int {
	var gainArray, slopeArray, costArray [maxScored]float64
	gains, slopes := gainArray[:len(scores)], slopeArray[:len(scores)]
	level := commonLevel(req, candidates, scores, gains, slopes)
	// Comparisons are used instead of min and max, which also handle NaN and take longer.
	lowest := math.Inf(1)
	costs := &costArray
	for i, score := range scores {
		if score < level {
			score = level
		}
		costs[i] = score - gains[i]
		if costs[i] < lowest {
			lowest = costs[i]
		}
	}
	limit := lowest + p.SlackSeconds + lowest*p.SlackShare
	source := bitSource(req.Rand)
	key, isCold := coldKey(req, candidates)
	// The draw of the picked candidate is draw/room.
	picked, draw, room := 0, math.Inf(1), 1.0
	for i, score := range scores {
		left := level - score
		if costs[i] > limit || left <= 0 && gains[i] == 0 {
			continue
		}
		bits := source.next()
		if isCold {
			hashed := bitSource(key ^ candidates[i].NameHash)
			bits = hashed.next()
		}
		if left < p.SlackSeconds {
			left = p.SlackSeconds
		}
		// The own attempts count exactly, and no other daemon knows them.
		nextDraw, nextRoom := float64(candidates[i].OwnUnreported)+exponential(bits, len(scores)), left*slopes[i]
		if nextDraw*room < draw*nextRoom {
			picked, draw, room = i, nextDraw, nextRoom
		}
	}
	return picked
}

// commonLevel returns the level at which the room of all candidates is the number of requests
// that are not yet reported. It sets gains to the seconds that the cached tokens save, adds
// these to the scores, and sets slopes to the numbers of requests by which the room grows with
// each second of the level.
func commonLevel(req *Request, candidates []Candidate, scores, gains, slopes []float64) float64 {
	unreported, secondsPerToken, prompt := 0.0, 1/candidates[0].promptRate(), float64(req.PromptTokens)
	best, slopeSum := math.Inf(1), 0.0
	for i := range candidates {
		c := &candidates[i]
		pace := c.Slowness * c.Pace
		if cached := c.CachedTokens; cached > 0 {
			gains[i] = min(cached, prompt) * secondsPerToken * pace
			scores[i] += gains[i]
		}
		slopes[i] = 1 / (c.AddedSeconds * pace)
		slopeSum += slopes[i]
		if scores[i] < best {
			best = scores[i]
		}
		unreported += c.Unreported
	}
	return roomLevel(scores, slopes, best, slopeSum, max(unreported, 1))
}

// exponential returns an exponentially distributed number of mean 1 for random bits. The
// smallest of such numbers, each divided by a weight, has a probability in proportion to its
// weight. Among many, it is close to 0, where a uniformly distributed number is as good and
// takes less time.
func exponential(bits uint64, count int) float64 {
	uniform := float64(bits>>11) / (1 << 53)
	if count > maxExactDraws {
		return uniform
	}
	return -math.Log1p(-uniform)
}

// roomLevel returns the level at which the room of all candidates is a number of requests. best
// is the lowest score, and slopeSum the sum of the slopes.
func roomLevel(scores, slopes []float64, best, slopeSum, requests float64) float64 {
	// The level of any part of the candidates is at least the one of all. The first part is a
	// guess; each step leaves out those above the level of the one before, until none is.
	level, bound := math.Inf(1), best+2*requests/slopeSum
	for range maxLevelSteps {
		weight, sum := 0.0, requests
		for i, score := range scores {
			if score <= bound {
				weight += slopes[i]
				sum += slopes[i] * score
			}
		}
		next := sum / weight
		if next >= level {
			break
		}
		level, bound = next, next
	}
	return level
}
