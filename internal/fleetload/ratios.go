package fleetload

// ratioBounds are the upper bounds of all but the last bucket of Ratios, relative to the
// target.
var ratioBounds = [...]float64{0.15, 0.3, 0.45, 0.6, 1}

// Ratios counts requests by the time to their first answer relative to the target.
type Ratios [len(ratioBounds) + 1]uint32

// Add counts one request.
func (r *Ratios) Add(ratio float64) {
	for i, bound := range ratioBounds {
		if ratio <= bound {
			r[i]++
			return
		}
	}
	r[len(ratioBounds)]++
}

// Count returns the number of requests.
func (r *Ratios) Count() int {
	n := 0
	for _, c := range r {
		n += int(c)
	}
	return n
}

// Median returns the median ratio, interpolated within its bucket; 0 without requests.
func (r *Ratios) Median() float64 {
	half, lower := float64(r.Count())/2, 0.0
	if half == 0 {
		return 0
	}
	for i, c := range r {
		upper := 1.5
		if i < len(ratioBounds) {
			upper = ratioBounds[i]
		}
		if n := float64(c); n > 0 {
			if half <= n {
				return lower + (upper-lower)*half/n
			}
			half -= n
		}
		lower = upper
	}
	return lower
}

// add adds the counts of other.
func (r *Ratios) add(other *Ratios) {
	for i := range r {
		r[i] += other[i]
	}
}
