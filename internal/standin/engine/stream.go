package engine

import (
	"net/http"
	"strconv"

	"rattantide/internal/relay"
	"rattantide/internal/standin/control"
)

// stream sends the tokens after q.after as numbered events. The number of an
// event is the number of its token in the whole answer, so that the events
// after a given prefix continue its count; the final chunk follows the last
// token, and [DONE] has no number.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, g *generation, q *request) {
	changed, leave := e.watch(g)
	defer leave()
	out := relay.NewWriter(w)
	if e.silent.is(r) || out.Flush() != nil {
		e.hang(r)
	}
	sent := max(int(q.after), g.prefixTokens)
	finalSent := sent > g.total
	var buf []byte
	send := func(id int, data []byte) error {
		return out.Write(relay.Event{ID: int64(id), Data: data})
	}
	for {
		produced, end := e.progress(g)
		if e.silent.is(r) {
			e.hang(r)
		}
		for sent < produced {
			order := e.disturb(g, sent+1, produced)
			for _, i := range order {
				buf = g.chunk(buf[:0], i)
				if send(i, buf) != nil {
					return
				}
			}
			sent = max(sent+1, order[0])
		}
		if end == endFinished {
			if !finalSent && send(g.total+1, g.last(buf[:0])) != nil {
				return
			}
			_ = out.Send(relay.Event{Data: []byte("[DONE]")})
			return
		}
		if out.Flush() != nil {
			return
		}
		if end != endNone {
			control.Abort()
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-e.closed:
			control.Abort()
		}
	}
}

// disturb returns the numbers of the events to send at token i: i alone, i
// twice, or i after its successor.
func (e *Engine) disturb(g *generation, i, produced int) []int {
	faults := e.faults.Get()
	number := strconv.Itoa(i)
	if i < produced && hits(faults.ReorderShare, "reorder", g.id, number) {
		return []int{i + 1, i}
	}
	if hits(faults.DuplicateShare, "duplicate", g.id, number) {
		return []int{i, i}
	}
	return []int{i}
}

// hang keeps a connection open without another byte until the caller leaves.
func (e *Engine) hang(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-e.closed:
	}
	control.Abort()
}
