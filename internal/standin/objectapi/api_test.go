package objectapi_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/objectclient"
	"rattantide/internal/standin/memnet"
	"rattantide/internal/standin/objectapi"
)

type apiClient struct {
	t    *testing.T
	http *http.Client
	api  *objectapi.API
}

// runInBubble runs test with an API in a synctest bubble.
func runInBubble(t *testing.T, config objectapi.Config, test func(c *apiClient)) {
	synctest.Test(t, func(t *testing.T) {
		api, network := objectapi.New(config), memnet.New()
		stop := network.Serve("api:80", api)
		c := &apiClient{t: t, http: network.Client(), api: api}
		test(c)
		c.http.CloseIdleConnections()
		stop()
	})
}

// call sends a request and returns the status and the object of the response. The
// status is 0 when the connection was closed without a response.
func (c *apiClient) call(method, path, match, value string) (int, objectclient.Object) {
	c.t.Helper()
	req, err := http.NewRequestWithContext(c.t.Context(), method, "http://api:80/v1/objects/"+path, strings.NewReader(value))
	assert.NilError(c.t, err)
	if match == "*" {
		req.Header.Set("If-None-Match", match)
	} else if match != "" {
		req.Header.Set("If-Match", match)
	}
	res, err := c.http.Do(req)
	var object objectclient.Object
	if err != nil {
		return 0, object
	}
	defer res.Body.Close()
	assert.Assert(c.t, res.Header.Get("X-Store-Time-Ms") != "")
	_ = json.NewDecoder(res.Body).Decode(&object)
	return res.StatusCode, object
}

// Guards against updates that ignore their precondition, and against responses
// without the current object. Every lock in the system depends on both.
func TestConditionalUpdates(t *testing.T) {
	runInBubble(t, objectapi.Config{}, func(c *apiClient) {
		status, o := c.call("PUT", "lease/a", "*", `{"n":1}`)
		assert.Equal(t, status, 201)
		assert.Equal(t, o.Version, objectclient.Revision(1))
		status, o = c.call("PUT", "lease/a", "*", `{"n":2}`)
		assert.Equal(t, status, 412)
		assert.Equal(t, string(o.Value), `{"n":1}`)
		status, _ = c.call("PUT", "lease/b", "", `1`)
		assert.Equal(t, status, 200)
		status, o = c.call("PUT", "lease/a", `"1"`, `{"n":3}`)
		assert.Equal(t, status, 200)
		assert.Equal(t, o.Version, objectclient.Revision(3), "revisions are store-wide")
		status, o = c.call("DELETE", "lease/a", `"1"`, "")
		assert.Equal(t, status, 412)
		assert.Equal(t, o.Version, objectclient.Revision(3))
		status, _ = c.call("DELETE", "lease/a", `"3"`, "")
		assert.Equal(t, status, 200)
		status, _ = c.call("GET", "lease/a", "", "")
		assert.Equal(t, status, 404)
		status, o = c.call("PUT", "lease/a", `"3"`, `{}`)
		assert.Equal(t, status, 412)
		assert.Equal(t, o.Version, objectclient.Revision(0))
		status, _ = c.call("PUT", "lease/a", "", `{`)
		assert.Equal(t, status, 400)
		status, _ = c.call("PUT", "lease/a", "", `"`+strings.Repeat("x", 1<<20)+`"`)
		assert.Equal(t, status, 413)
	})
}

// Guards against faults that lose the write together with its response or apply to
// another kind, and against stale reads that return the current state.
func TestLostResponsesAndLateWrites(t *testing.T) {
	runInBubble(t, objectapi.Config{}, func(c *apiClient) {
		c.api.Faults().Update(func(f *objectapi.Faults) { f.LoseAnswers, f.LoseKind = 1, "intentlog" })
		status, _ := c.call("PUT", "lease/a", "*", `1`)
		assert.Equal(t, status, 201)
		status, _ = c.call("PUT", "intentlog/a", "*", `1`)
		assert.Equal(t, status, 0)
		status, o := c.call("GET", "intentlog/a", "", "")
		assert.Equal(t, status, 200)
		assert.Equal(t, o.Version, objectclient.Revision(2))

		c.api.Faults().Update(func(f *objectapi.Faults) { f.LateWrites, f.LateMs = 1, 1000 })
		status, _ = c.call("PUT", "intentlog/a", `"2"`, `2`)
		assert.Equal(t, status, 0)
		_, o = c.call("GET", "intentlog/a", "", "")
		assert.Equal(t, o.Version, objectclient.Revision(2))
		time.Sleep(1001 * time.Millisecond)
		_, o = c.call("GET", "intentlog/a", "", "")
		assert.Equal(t, o.Version, objectclient.Revision(3))

		c.api.Faults().Update(func(f *objectapi.Faults) { f.StaleBehind = 1 })
		_, o = c.call("GET", "intentlog/a", "", "")
		assert.Equal(t, o.Version, objectclient.Revision(2), "a stale read returns the previous value")
	})
}

// Guards against limits that are not applied and calls that are not counted. The
// cost of the control plane is measured by these counts.
func TestLimitsOutageAndStats(t *testing.T) {
	runInBubble(t, objectapi.Config{WritesPerSecond: 2}, func(c *apiClient) {
		for i, want := range []int{201, 201, 429} {
			status, _ := c.call("PUT", "k/"+strconv.Itoa(i), "*", `1`)
			assert.Equal(t, status, want)
		}
		time.Sleep(time.Second)
		status, _ := c.call("PUT", "k/d", "*", `1`)
		assert.Equal(t, status, 201)
		c.api.Faults().Update(func(f *objectapi.Faults) { f.Outage = true })
		status, _ = c.call("GET", "k/d", "", "")
		assert.Equal(t, status, 503)
		c.api.Faults().Update(func(f *objectapi.Faults) { f.Outage, f.SlowMs = false, 700 })
		begin := time.Now()
		status, _ = c.call("GET", "k/d", "", "")
		assert.Equal(t, status, 200)
		assert.Equal(t, time.Since(begin), 700*time.Millisecond)
		stats := c.api.Stats()
		assert.Equal(t, stats.Writes, int64(4))
		assert.Equal(t, stats.Limited, int64(1))
		assert.Equal(t, stats.Reads, int64(2))
		assert.Equal(t, stats.Unavailable, int64(1))
	})
}

// Guards against watches that lose events, survive an outage, or start from a
// revision after which events have been compacted.
func TestWatch(t *testing.T) {
	runInBubble(t, objectapi.Config{}, func(c *apiClient) {
		openWatch := func(query string) (*http.Response, func() (objectclient.Event, error)) {
			req, err := http.NewRequestWithContext(c.t.Context(), http.MethodGet, "http://api:80/v1/watch?"+query, nil)
			assert.NilError(t, err)
			res, err := c.http.Do(req)
			assert.NilError(t, err)
			lines := bufio.NewReader(res.Body)
			return res, func() (event objectclient.Event, err error) {
				line, err := lines.ReadBytes('\n')
				if err == nil {
					err = json.Unmarshal(line, &event)
				}
				return event, err
			}
		}
		c.call("PUT", "a/x", "*", `1`)
		c.call("PUT", "b/x", "*", `1`)
		res, next := openWatch("since=0&kinds=a")
		defer res.Body.Close()
		event, err := next()
		assert.NilError(t, err)
		assert.Equal(t, event.Object.Kind, "a")
		event, err = next()
		assert.NilError(t, err)
		assert.Equal(t, event.Type, objectclient.EventBookmark)
		assert.Equal(t, event.Revision, objectclient.Revision(2))
		c.call("DELETE", "a/x", `"1"`, "")
		event, err = next()
		assert.NilError(t, err)
		assert.Equal(t, event.Type, objectclient.EventDelete)
		assert.Equal(t, event.Object.Version, objectclient.Revision(3))
		begin := time.Now()
		event, err = next()
		assert.NilError(t, err)
		assert.Equal(t, event.Type, objectclient.EventBookmark)
		assert.Assert(t, time.Since(begin) <= time.Second)

		c.api.Faults().Update(func(f *objectapi.Faults) { f.Outage = true })
		_, err = next()
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
		c.api.Faults().Update(func(f *objectapi.Faults) { f.Outage = false })
		c.api.Compact(2)
		for _, query := range []string{"since=1", "since=9"} {
			res, _ := openWatch(query)
			res.Body.Close()
			assert.Equal(t, res.StatusCode, http.StatusGone, query)
		}
		ctx, cancel := context.WithCancel(c.t.Context())
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://api:80/v1/watch?since=2", nil)
		assert.NilError(t, err)
		res, err = c.http.Do(req)
		assert.NilError(t, err)
		synctest.Wait()
		assert.Equal(t, c.api.Stats().WatchesOpen, int64(1))
		cancel()
		res.Body.Close()
		synctest.Wait()
		assert.Equal(t, c.api.Stats().WatchesOpen, int64(0))
	})
}
