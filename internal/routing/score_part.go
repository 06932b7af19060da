package routing

import (
	"reflect"
	"runtime"
	"strings"
)

// ScorePart is one part of the score of a candidate.
type ScorePart struct {
	Name    string  `json:"name"`
	Seconds float64 `json:"seconds"`
}

// ScoreParts returns the parts whose sum is Score, in the order of addition.
func (p *Cost) ScoreParts(req *Request, c *Candidate) []ScorePart {
	first := p.firstToken(req, c)
	parts := []ScorePart{{"firstToken", first}, {"reclaimAndPrice", p.reclaimAndPrice(req, c, first) - first}}
	for _, term := range p.Terms {
		parts = append(parts, ScorePart{termName(term), term(req, c)})
	}
	return parts
}

// termName returns the name of the function of a term, without its package.
func termName(term Term) string {
	name := runtime.FuncForPC(reflect.ValueOf(term).Pointer()).Name()
	return name[strings.LastIndexByte(name, '.')+1:]
}
