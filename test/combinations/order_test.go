package combinations

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"rattantide/internal/problem"
)

// callsPerOrder bounds the calls with the same key.
const callsPerOrder = 4

// order is a non-idempotent call with a key, repeated at other daemons until
// its outcome is known.
type order struct {
	key   string
	body  string
	again bool
	calls []call
}

// call is one attempt of an order and its answer. An empty ran means that the
// answer says nothing about the execution.
type call struct {
	id     string
	daemon string
	ran    problem.Ran
	answer string
}

// run calls one daemon after the other. An order that is done is sent once
// more when again is set: its answer must be the recorded one.
func (o *order) run(ctx context.Context, daemons []string, first int, p *progress) {
	defer p.orders.Add(1)
	again := o.again
	for n := range callsPerOrder {
		done := o.call(ctx, daemons[(first+n)%len(daemons)], n)
		if done && !again || ctx.Err() != nil {
			return
		}
		again = again && !done
	}
}

func (o *order) call(ctx context.Context, daemon string, n int) bool {
	c := call{id: o.key + "." + strconv.Itoa(n), daemon: daemon, ran: problem.RanUnknown}
	defer func() { o.calls = append(o.calls, c) }()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+daemon+"/orders/dies", strings.NewReader(o.body))
	if err != nil {
		c.answer = err.Error()
		return false
	}
	request.Header.Set("Authorization", "Bearer "+workspaceToken)
	request.Header.Set("Idempotency-Key", o.key)
	request.Header.Set("X-Request-Id", c.id)
	// Without this, net/http itself may send a call with a key again.
	request.GetBody = nil
	response, err := direct.Do(request)
	if err != nil {
		c.answer = err.Error()
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, 1<<16))
	if err != nil {
		c.answer = err.Error()
		return false
	}
	c.answer = string(body)
	if response.StatusCode/100 == 2 {
		c.ran = problem.RanDone
		return true
	}
	p := &problem.Problem{}
	if response.Header.Get("Content-Type") != problem.ContentType || json.Unmarshal(body, p) != nil {
		c.ran = ""
		return false
	}
	c.ran = p.Ran
	return false
}

// check returns what is wrong with the order, or "". executed counts the
// executions by key, byCall those by the identifier of the call.
func (o *order) check(executed, byCall map[string]int) string {
	n := executed[o.key]
	if n > 1 {
		return fmt.Sprintf("order %s was executed %d times: %s", o.key, n, o.report())
	}
	answer, refused := "", 0
	for _, c := range o.calls {
		switch {
		case c.ran == problem.RanDone && n != 1:
			return fmt.Sprintf("order %s is reported as done and was not executed: %s", o.key, o.report())
		case c.ran == problem.RanNotRun && byCall[c.id] > 0:
			return fmt.Sprintf("call %s is reported as not run and was executed: %s", c.id, o.report())
		case c.ran == problem.RanDone && answer != "" && c.answer != answer:
			return fmt.Sprintf("order %s has two answers: %s", o.key, o.report())
		case c.ran == problem.RanDone:
			answer = c.answer
		case c.ran == problem.RanNotRun:
			refused++
		}
	}
	if refused == len(o.calls) && n > 0 {
		return fmt.Sprintf("order %s is reported as not run and was executed: %s", o.key, o.report())
	}
	return ""
}

func (o *order) report() string {
	var out []string
	for _, c := range o.calls {
		out = append(out, fmt.Sprintf("%s at %s: %s %.160s", c.id, c.daemon, c.ran, strings.TrimSpace(c.answer)))
	}
	return strings.Join(out, "; ")
}
