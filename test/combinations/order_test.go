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

// maxCallsPerOrder limits the calls with the same idempotency key.
const maxCallsPerOrder = 4

// order is a non-idempotent request with an idempotency key. It is repeated at other
// daemons until its outcome is known. With repeatsWhenDone set, it is sent once more
// after it succeeded.
type order struct {
	key             string
	body            string
	repeatsWhenDone bool
	calls           []call
}

// call is one attempt of an order and its answer. ran is what the answer states about
// the execution, or empty if it states nothing.
type call struct {
	id     string
	daemon string
	ran    problem.Execution
	answer string
}

// run sends the order to the daemons in rotation, beginning with index first, until it
// is done or maxCallsPerOrder is reached. With repeatsWhenDone set, a done order is sent
// once more; the answer must be the recorded one.
func (o *order) run(ctx context.Context, daemons []string, first int, p *progress) {
	defer p.orders.Add(1)
	repeat := o.repeatsWhenDone
	for n := range maxCallsPerOrder {
		isDone := o.call(ctx, daemons[(first+n)%len(daemons)], n)
		if isDone && !repeat || ctx.Err() != nil {
			return
		}
		repeat = repeat && !isDone
	}
}

// call sends attempt n to a daemon, records it, and reports whether it succeeded.
func (o *order) call(ctx context.Context, daemon string, n int) bool {
	c := call{id: o.key + "." + strconv.Itoa(n), daemon: daemon, ran: problem.ExecutionUnknown}
	defer func() { o.calls = append(o.calls, c) }()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+daemon+"/orders/dies", strings.NewReader(o.body))
	if err != nil {
		c.answer = err.Error()
		return false
	}
	request.Header.Set("Authorization", "Bearer "+workspaceToken)
	request.Header.Set("Idempotency-Key", o.key)
	request.Header.Set("X-Request-Id", c.id)
	// Without GetBody, net/http cannot retry a request that has an idempotency key, so
	// that each call is sent once.
	request.GetBody = nil
	response, err := unpooledClient.Do(request)
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
		c.ran = problem.ExecutionDone
		return true
	}
	p := &problem.Problem{}
	if response.Header.Get("Content-Type") != problem.ContentType || json.Unmarshal(body, p) != nil {
		c.ran = ""
		return false
	}
	c.ran = p.Execution
	return false
}

// violation describes a contradiction between the answers and the executions, or
// returns "". executedByKey counts the executions by idempotency key, executedByCall
// by request ID.
func (o *order) violation(executedByKey, executedByCall map[string]int) string {
	n := executedByKey[o.key]
	if n > 1 {
		return fmt.Sprintf("order %s was executed %d times: %s", o.key, n, o.callSummary())
	}
	answer, notRun := "", 0
	for _, c := range o.calls {
		switch {
		case c.ran == problem.ExecutionDone && n != 1:
			return fmt.Sprintf("order %s was reported as done but not executed: %s", o.key, o.callSummary())
		case c.ran == problem.ExecutionNotRun && executedByCall[c.id] > 0:
			return fmt.Sprintf("call %s was reported as not run but executed: %s", c.id, o.callSummary())
		case c.ran == problem.ExecutionDone && answer != "" && c.answer != answer:
			return fmt.Sprintf("order %s got two different answers: %s", o.key, o.callSummary())
		case c.ran == problem.ExecutionDone:
			answer = c.answer
		case c.ran == problem.ExecutionNotRun:
			notRun++
		}
	}
	if notRun == len(o.calls) && n > 0 {
		return fmt.Sprintf("order %s was reported as not run but executed: %s", o.key, o.callSummary())
	}
	return ""
}

// callSummary describes all calls of the order for a failure report.
func (o *order) callSummary() string {
	var out []string
	for _, c := range o.calls {
		out = append(out, fmt.Sprintf("%s at %s: %s %.160s", c.id, c.daemon, c.ran, strings.TrimSpace(c.answer)))
	}
	return strings.Join(out, "; ")
}
