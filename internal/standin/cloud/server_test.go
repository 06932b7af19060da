package cloud_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/standin/cloud"
	"rattantide/internal/standin/memnet"
)

// Guards against deadlines that are not the time remaining when the response is
// sent, against long polls that miss a notice, and against starts that are not refused
// as the fault requires.
func TestNotices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, server := memnet.New(), cloud.New()
		stop := network.Serve("cloud:80", server)
		client := network.Client()
		poll := func(query string) (out struct {
			Seq     int64
			Notices []cloud.Notice
		}) {
			res, err := client.Get("http://cloud:80/v1/notices?" + query)
			assert.NilError(t, err)
			defer res.Body.Close()
			assert.NilError(t, json.NewDecoder(res.Body).Decode(&out))
			return out
		}
		begin := time.Now()
		assert.Equal(t, len(poll("since=0&waitMs=3000").Notices), 0)
		assert.Equal(t, time.Since(begin), 3*time.Second)
		time.AfterFunc(time.Second, func() { server.Notify(cloud.Notice{Domain: "zone-a", DeadlineMs: 5000}) })
		response := poll("since=0&waitMs=30000")
		assert.Equal(t, response.Seq, int64(1))
		assert.Equal(t, response.Notices[0].DeadlineMs, int64(5000))
		time.Sleep(2 * time.Second)
		assert.Equal(t, poll("since=0").Notices[0].DeadlineMs, int64(3000))
		server.Notify(cloud.Notice{Domain: "zone-a", Kind: cloud.KindCancel})
		response = poll("since=1&waitMs=1000")
		assert.Equal(t, len(response.Notices), 1)
		assert.Equal(t, response.Notices[0].Kind, cloud.KindCancel)

		server.Faults().Update(func(f *cloud.Faults) { f.RefuseStarts = 1 })
		for _, want := range []int{http.StatusServiceUnavailable, http.StatusCreated} {
			res, err := client.Post("http://cloud:80/v1/instances", "application/json", strings.NewReader(`{}`))
			assert.NilError(t, err)
			res.Body.Close()
			assert.Equal(t, res.StatusCode, want)
		}
		client.CloseIdleConnections()
		stop()
	})
}
