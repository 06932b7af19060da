package orders

import "rattantide/internal/membership"

// Table is what a Controller needs of the membership table.
type Table interface {
	AllUpstreams(pool string) []membership.Upstream
	SetLoad(upstream string, load membership.Load)
}

var _ Table = (*membership.Table)(nil)
