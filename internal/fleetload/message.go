package fleetload

import (
	"bytes"
	"cmp"
	"math"
	"slices"

	"github.com/juju/errors"
	"github.com/vmihailenco/msgpack/v5"

	"rattantide/internal/peering"
)

const (
	// maxCount bounds the counts of Ratios.
	maxCount = 1_000_000
	// maxPools bounds the pools of a message.
	maxPools = 16
	// The figures of a pool are encoded in a unit of 2^(scale-scaleOffset) tokens, with the
	// scale at which the largest one is below maxDigits, so that most take one or two bytes.
	// A unit may be below 1: requests of plain services count as 1 token.
	scaleOffset = 12
	maxScale    = 31
	maxDigits   = 1 << 12
	// maxFigure bounds each figure of a message. Larger ones cannot be measured.
	maxFigure = maxDigits << (maxScale - scaleOffset)
)

// message is the payload that daemons exchange: the report of one daemon, or the sum of
// those of Daemons daemons. It is a sequence of MessagePack values.
type message struct {
	// Number increases with each message of a process, so that older ones that arrive
	// later are ignored.
	Number uint32
	// Daemons is 0 in the report of a daemon.
	Daemons uint32
	Loads   []Load
}

// encode encodes a message. The pools with the least demand are left out if the payload
// would be too large.
func encode(number, daemons uint32, loads []Load) ([]byte, error) {
	loads = slices.DeleteFunc(slices.Clone(loads), func(l Load) bool { return l.IsIdle() })
	slices.SortFunc(loads, func(a, b Load) int { return cmp.Compare(b.Demand(), a.Demand()) })
	loads = loads[:min(len(loads), maxPools)]
	var buffer bytes.Buffer
	e := encoder{out: msgpack.NewEncoder(&buffer)}
	for {
		buffer.Reset()
		e.uint(number)
		e.uint(daemons)
		e.length(len(loads))
		for i := range loads {
			e.load(&loads[i])
		}
		if e.err != nil || buffer.Len() <= peering.MaxPayloadBytes {
			return buffer.Bytes(), errors.Trace(e.err)
		}
		loads = loads[:len(loads)-1]
	}
}

// encoder keeps the first error.
type encoder struct {
	out   *msgpack.Encoder
	err   error
	scale int
}

func (e *encoder) uint(v uint32) {
	if err := e.out.EncodeUint(uint64(v)); e.err == nil {
		e.err = err
	}
}

func (e *encoder) length(n int) {
	if err := e.out.EncodeArrayLen(n); e.err == nil {
		e.err = err
	}
}

func (e *encoder) figure(v float64) {
	e.uint(min(uint32(math.Round(math.Ldexp(bounded(v), scaleOffset-e.scale))), maxDigits-1))
}

// bounded returns a figure within its bounds.
func bounded(v float64) float64 {
	if !(v > 0) {
		return 0
	}
	return min(v, maxFigure)
}

// scaleOf returns the scale for the figures of a pool: the largest is below 2^exponent, and
// maxDigits is 2^scaleOffset.
func scaleOf(l *Load) int {
	largest := 0.0
	for i := range l.Ranks {
		largest = max(largest, l.Ranks[i].Demand, l.Ranks[i].Outstanding, l.Ranks[i].Throughput)
	}
	_, exponent := math.Frexp(bounded(largest))
	return min(max(0, exponent), maxScale)
}

func (e *encoder) load(l *Load) {
	e.scale = scaleOf(l)
	e.uint(l.Pool)
	e.uint(uint32(e.scale))
	present := 0
	for i := range l.Ranks {
		if !l.Ranks[i].isIdle() {
			present++
		}
	}
	e.length(present)
	for i := range l.Ranks {
		r := &l.Ranks[i]
		if r.isIdle() {
			continue
		}
		e.uint(uint32(i))
		e.figure(r.Demand)
		e.figure(r.Outstanding)
		e.figure(r.Throughput)
		for _, count := range r.Ratios {
			e.uint(min(count, maxCount))
		}
	}
	busiest := slices.Clone(l.Workspaces)
	slices.SortFunc(busiest, func(a, b Workspace) int { return cmp.Compare(b.Demand, a.Demand) })
	busiest = busiest[:min(len(busiest), MaxWorkspaces)]
	e.length(len(busiest))
	for _, w := range busiest {
		e.uint(w.Key)
		e.uint(uint32(w.Rank))
		e.figure(w.Demand)
	}
}

// decode decodes a payload. Pools with figures that are not valid are left out.
func decode(payload []byte) (*message, error) {
	if len(payload) > peering.MaxPayloadBytes {
		return nil, errors.NotValidf("payload of %d bytes", len(payload))
	}
	d := decoder{in: msgpack.NewDecoder(bytes.NewReader(payload))}
	m := &message{Number: d.uint(), Daemons: d.uint()}
	for range d.length(maxPools) {
		d.isFaulty = false
		l := d.load()
		if d.err != nil {
			break
		}
		if !d.isFaulty && !slices.ContainsFunc(m.Loads, func(other Load) bool { return other.Pool == l.Pool }) {
			m.Loads = append(m.Loads, l)
		}
	}
	if d.err != nil {
		return nil, errors.Annotate(d.err, "decode the load of pools")
	}
	return m, nil
}

// decoder keeps the first error of the format. A figure outside its bound is not an error;
// it sets isFaulty.
type decoder struct {
	in       *msgpack.Decoder
	err      error
	isFaulty bool
	scale    int
}

func (d *decoder) uint() uint32 {
	if d.err != nil {
		return 0
	}
	v, err := d.in.DecodeUint64()
	d.err = err
	if v > math.MaxUint32 {
		d.isFaulty = true
		return 0
	}
	return uint32(v)
}

// below returns a number that must be below a bound.
func (d *decoder) below(bound uint32) uint32 {
	v := d.uint()
	if v >= bound {
		d.isFaulty = true
		return 0
	}
	return v
}

func (d *decoder) figure() float64 {
	return math.Ldexp(float64(d.below(maxDigits)), d.scale-scaleOffset)
}

// length returns the length of an array, which must be at most bound: nothing is allocated
// for a length that a message only claims.
func (d *decoder) length(bound int) int {
	if d.err != nil {
		return 0
	}
	n, err := d.in.DecodeArrayLen()
	if err == nil && (n < 0 || n > bound) {
		err = errors.NotValidf("length %d", n)
	}
	if d.err = err; err != nil {
		return 0
	}
	return n
}

func (d *decoder) load() Load {
	l := Load{Pool: d.uint()}
	d.scale = int(d.below(maxScale + 1))
	for range d.length(RankCount) {
		rank := &l.Ranks[d.below(RankCount)]
		rank.Demand, rank.Outstanding, rank.Throughput = d.figure(), d.figure(), d.figure()
		for i := range rank.Ratios {
			rank.Ratios[i] = d.below(maxCount + 1)
		}
	}
	for range d.length(MaxWorkspaces) {
		l.Workspaces = append(l.Workspaces, Workspace{Key: d.uint(), Rank: int(d.below(RankCount)), Demand: d.figure()})
	}
	return l
}
