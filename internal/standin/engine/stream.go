package engine

import (
	"net/http"
	"strconv"

	"rattantide/internal/relay"
	"rattantide/internal/standin/control"
)

// serveStream sends the tokens after q.afterEvent as numbered events. The number
// of an event is the position of its token in the whole answer, so that the events
// after an answer prefix continue its count. The number of the final chunk follows
// that of the last token, and [DONE] has no number.
func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request, g *generation, q *request) {
	changed, unwatch := e.watch(g)
	defer unwatch()
	out := relay.NewWriter(w)
	if e.conns.isSilent(r) || out.Flush() != nil {
		e.hang(r)
	}
	sent := max(int(q.afterEvent), g.prefixTokens)
	isFinalSent := sent > g.total
	var buf []byte
	send := func(id int, data []byte) error {
		return out.Write(relay.Event{ID: int64(id), Data: data})
	}
	for {
		produced, end := e.progress(g)
		if e.conns.isSilent(r) {
			e.hang(r)
		}
		for sent < produced {
			order := e.eventOrder(g, sent+1, produced)
			for _, i := range order {
				buf = g.appendChunk(buf[:0], i)
				if send(i, buf) != nil {
					return
				}
			}
			sent = max(sent+1, order[0])
		}
		if end == endFinished {
			if !isFinalSent && send(g.total+1, g.appendFinalChunk(buf[:0])) != nil {
				return
			}
			_ = out.Send(relay.Event{Data: []byte("[DONE]")})
			return
		}
		if out.Flush() != nil {
			return
		}
		if end != endNone {
			control.AbortConnection()
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-e.closed:
			control.AbortConnection()
		}
	}
}

// eventOrder returns the numbers of the events to send at token i: i alone, or, if
// a fault applies, i twice or i after the event that follows it.
func (e *Engine) eventOrder(g *generation, i, produced int) []int {
	faults := e.faults.Get()
	number := strconv.Itoa(i)
	if i < produced && isSelected(faults.ReorderShare, "reorder", g.id, number) {
		return []int{i + 1, i}
	}
	if isSelected(faults.DuplicateShare, "duplicate", g.id, number) {
		return []int{i, i}
	}
	return []int{i}
}

// hang keeps a connection open without sending anything until the client
// disconnects or the engine is closed. It does not return normally.
func (e *Engine) hang(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-e.closed:
	}
	control.AbortConnection()
}
