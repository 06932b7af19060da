package callerbudget

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

// crowdOf opens n reservations of a size for one caller, and returns those that were granted.
func crowdOf(b *Budget, c Caller, n int, size int64) []*Reservation {
	var reservations []*Reservation
	for range n {
		p := b.Open(c, func() {})
		if p.Grow(size, start) {
			reservations = append(reservations, p)
		}
	}
	return reservations
}

// Guards against a crowd that uses up what other callers need.
func TestFairShare(t *testing.T) {
	crowd := Caller{Address: "a", Workspace: "w"}
	for name, c := range map[string]struct {
		callers []Caller
		next    Caller
		want    bool
	}{
		"another address of the same workspace": {[]Caller{crowd}, Caller{Address: "b", Workspace: "w"}, false},
		"the same address":                      {[]Caller{crowd}, Caller{Address: "a", Workspace: "v"}, false},
		"another caller":                        {[]Caller{crowd}, Caller{Address: "b", Workspace: "v"}, true},
		"a third caller":                        {[]Caller{crowd, {Address: "b", Workspace: "v"}}, Caller{Address: "c", Workspace: "u"}, true},
		"no workspace":                          {[]Caller{{Address: "a"}}, Caller{Address: "b"}, true},
	} {
		t.Run(name, func(t *testing.T) {
			b := New(1000)
			for _, caller := range c.callers {
				crowdOf(b, caller, 1000, 1)
			}
			assert.Equal(t, b.Open(c.next, func() {}).Grow(100, start), c.want, "%+v", b.Stats())
		})
	}
}

// Guards against bounds that hold for a caller although nobody else needs the room.
func TestHalfIsFreeForAll(t *testing.T) {
	b := New(1000)
	assert.Equal(t, len(crowdOf(b, Caller{Address: "a", Workspace: "w"}, 1000, 1)), 500)
}

// Guards against a single request that is refused although nothing else presses.
func TestSingleReservationFits(t *testing.T) {
	b := New(10)
	p := b.Open(Caller{Address: "a"}, func() {})
	assert.Assert(t, p.Grow(8, start))
	assert.Assert(t, p.Grow(9, start))
	assert.Assert(t, !b.Open(Caller{Address: "b"}, func() {}).Grow(1, start))
	p.Close()
	assert.Assert(t, b.Open(Caller{Address: "b"}, func() {}).Grow(1, start))
}

// Guards against stalled reservations that keep others out, against reservations that are
// revoked although they must be kept, and against sums that do not return to zero.
func TestRevocation(t *testing.T) {
	b := New(1000)
	var revoked []string
	reservations := map[string]*Reservation{}
	open := func(name, address string, size int64) {
		p := b.Open(Caller{Address: address}, func() { revoked = append(revoked, name) })
		assert.Assert(t, p.Grow(size, start), name)
		reservations[name] = p
	}
	open("kept", "a", 100)
	open("old", "a", 200)
	open("new", "a", 150)
	open("light", "b", 50)
	open("ended", "a", 1)
	reservations["old"].MakeRevocable(start.Add(time.Second))
	reservations["new"].MakeRevocable(start.Add(2 * time.Second))
	reservations["light"].MakeRevocable(start)
	reservations["ended"].MakeRevocable(start)
	assert.Assert(t, reservations["ended"].Pin())
	next := b.Open(Caller{Address: "a"}, func() {})
	assert.Assert(t, next.Grow(0, start))
	assert.Assert(t, !next.Grow(450, start.Add(900*time.Millisecond)), "light alone does not suffice")
	assert.DeepEqual(t, revoked, []string{"light"})
	assert.Assert(t, next.Grow(400, start.Add(3*time.Second)))
	assert.DeepEqual(t, revoked, []string{"light", "old"})
	assert.Assert(t, !reservations["old"].Pin() && reservations["old"].IsRevoked() && !reservations["old"].Grow(1, start))
	reservations["old"].MakeRevocable(start)
	assert.Assert(t, reservations["new"].Pin())
	next.Close()
	for _, p := range reservations {
		p.Close()
	}
	assert.Equal(t, b.Stats().Held, int64(0))
	assert.Equal(t, len(b.byAddress)+len(b.byWorkspace)+len(b.revocable), 0)
}

// Guards against a decision whose time grows so much with the number of reservations
// that a crowd uses up the processor.
func BenchmarkRevocation(b *testing.B) {
	budget := New(1 << 20)
	for i := range 1000 {
		p := budget.Open(Caller{Address: strconv.Itoa(i)}, func() {})
		p.Grow(1000, start)
		p.MakeRevocable(start)
	}
	b.ReportAllocs()
	for b.Loop() {
		p := budget.Open(Caller{Address: "x"}, func() {})
		p.Grow(1000, start)
		p.MakeRevocable(start)
	}
}

// BenchmarkReservation measures what an ordinary request costs.
func BenchmarkReservation(b *testing.B) {
	budget := New(1 << 20)
	b.ReportAllocs()
	for b.Loop() {
		p := budget.Open(Caller{Address: "127.0.0.1", Workspace: "w"}, nil)
		p.Grow(1000, start)
		p.Close()
	}
}
