package admission

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
)

// Guards against a change of the rule that operators cannot see, a line per decision, and
// refusals without the figures that explain them.
func TestReportOfTheRule(t *testing.T) {
	var lines bytes.Buffer
	scope := tally.NewTestScope("", nil)
	now := testStart
	c := New(Options{LimitWork: true, DividePriorities: true, Now: func() time.Time { return now }, Logger: log.New(&lines), Scope: scope})
	request := func(id string, priority int) Request {
		return Request{ID: id, Class: fmt.Sprint("c", priority), Workspace: "w", Pool: "p", Priority: priority, Cost: 1000, FirstTarget: time.Second, FirstDeadline: now.Add(time.Second), Within: 0.95}
	}
	c.Report()
	assert.Equal(t, lines.Len(), 0)
	for _, priority := range []int{7, 9} {
		done, err := c.Admit(context.Background(), request(fmt.Sprint("r", priority), priority))
		assert.NilError(t, err)
		now = now.Add(100 * time.Millisecond)
		done(Outcome{OK: true, FirstLatency: 100 * time.Millisecond, Total: 100 * time.Millisecond})
	}
	for range 10 {
		c.Report()
	}
	assert.Equal(t, strings.Count(lines.String(), "admission rule changed"), 1, lines.String())
	// Outstanding work that is not answered lowers the limit.
	for i := range 50 {
		c.AdmitImmediately(request(fmt.Sprint("open", i), 7))
	}
	for i := range 10 {
		now = now.Add(300 * time.Millisecond)
		_, err := c.Admit(context.Background(), request(fmt.Sprint("late", i), 7))
		if err == nil {
			continue
		}
		e, ok := c.Explain(fmt.Sprint("late", i))
		assert.Assert(t, ok && e.Room != nil && e.Room.Priority == 7 && e.Room.Excess > 0 && e.Room.Outstanding > e.Room.Room*e.Room.Share, "%+v", e)
		c.Report()
		assert.Equal(t, strings.Count(lines.String(), "admission rule changed"), 2, lines.String())
		snapshot := scope.Snapshot()
		assert.Equal(t, snapshot.Counters()["admission.decisions+class=c7,rule=shed_deadline"].Value(), int64(1))
		assert.Assert(t, snapshot.Gauges()["admission.outstanding+pool=p"].Value() >= 50_000)
		return
	}
	t.Fatal("no request was refused")
}
