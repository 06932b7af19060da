package server

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/dispatch"
	"rattantide/internal/engineclient"
	"rattantide/internal/journal"
	"rattantide/internal/membership"
	"rattantide/internal/relay"
	"rattantide/internal/standin/engine"
)

// TestMigrationFromLeavingUpstream guards against answers that continue at an
// engine that has announced its departure until they are interrupted, that are
// recomputed although their KV cache could be transferred, or that fail because no
// other engine can take them.
func TestMigrationFromLeavingUpstream(t *testing.T) {
	for _, test := range []struct {
		name string
		// minKVMoveTokens is the value of Options.MinKVMoveTokens.
		minKVMoveTokens, engines int
		// event is the first event in the log of the second engine.
		event string
	}{
		{name: "with the KV cache", minKVMoveTokens: 1, engines: 2, event: "import"},
		{name: "with a prefix", minKVMoveTokens: 1 << 20, engines: 2, event: "start"},
		{name: "nowhere to go", minKVMoveTokens: 1, engines: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			pool := &fakePool{}
			var engines []*engine.Engine
			for i := range test.engines {
				config := engine.DefaultConfig()
				config.TokenTime = 2 * time.Millisecond
				e := engine.New(config)
				web := httptest.NewServer(e)
				t.Cleanup(func() {
					e.Close()
					web.CloseClientConnections()
					web.Close()
				})
				engines = append(engines, e)
				pool.add([]string{"first", "second"}[i], "v1", web.URL)
			}
			h := newHarness(t, pool, func(o *Options) { o.MinKVMoveTokens = test.minKVMoveTokens })
			body := `{"model":"brief","messages":[{"role":"user","content":"x"}],"seed":7,"max_tokens":120,"stream":true}`
			response := h.do(t, "POST", "/v1/chat/completions", body)
			_, err := relay.NewReader(response.Body, 0).Next()
			assert.NilError(t, err)
			pool.giveNotice("first", 10*time.Millisecond)
			id := response.Header.Get("X-Request-Id")
			answer := wholeAnswer(t, h.do(t, "GET", "/v1/requests/"+id, ""))
			key := engine.AnswerKey([]engineclient.Message{{Role: "user", Content: "x"}}, 7, "v1")
			assert.Equal(t, *answer.Choices[0].Message.Content, engine.Answer(key, 120))
			assert.Equal(t, pool.results[0].Status, dispatch.StatusMoved)
			if test.event != "" {
				entries := engines[1].Log().Entries(0)
				assert.Equal(t, entries[0].Event, test.event)
				assert.Equal(t, pool.results[1].RecomputedTokens > 0, test.event == "start")
			}
			for _, e := range engines[0].Log().Entries(0) {
				assert.Assert(t, !strings.HasPrefix(e.Event, "expire"), "a generation was not cancelled and expired")
			}
		})
	}
}

// TestEndsInTime guards against answers that are migrated although they end before
// their upstream leaves, and against answers that are not migrated although they
// end later.
func TestEndsInTime(t *testing.T) {
	j := journal.New(journal.Options{})
	rec, err := j.Create(journal.Request{ID: "r", MaxTokens: 100})
	assert.NilError(t, err)
	number := rec.BeginAttempt("u", "a", "v")
	now := time.Now()
	for i := range int64(10) {
		assert.NilError(t, rec.Append(number, i+1, []byte("x")))
	}
	// Ten tokens took 1 s, so the other 90 take 9 s. The margin is 1 s more.
	attempt := &activeAttempt{startedAt: now.Add(-time.Second)}
	for notice, want := range map[time.Duration]bool{30 * time.Second: true, 11 * time.Second: true, 9500 * time.Millisecond: false} {
		assert.Equal(t, endsInTime(rec, attempt, membership.Upstream{LeavingBy: now.Add(notice)}, now), want, "notice %s", notice)
	}
	assert.Assert(t, endsInTime(rec, attempt, membership.Upstream{}, now), "an upstream that announced no time waits for its answers")
}
