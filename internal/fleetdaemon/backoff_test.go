package fleetdaemon

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// backoffSlack is the time after an answer that asks for a backoff from which it binds, and
	// maxBackoffRequests the number of requests that may reach the upstream in the rest of it.
	backoffSlack       = 500 * time.Millisecond
	maxBackoffRequests = 2
)

// Guards against requests to an upstream within the time for which it asked for none, and
// against callers that are refused because of it although other upstreams serve.
func TestUpstreamThatAsksForBackoff(t *testing.T) {
	const backoff = 2500 * time.Millisecond
	f := startPlainFleet(t, 1, 3)
	backingOff := f.runners[0]
	backingOff.SetBackoff("2.5")
	setAt := time.Now()
	f.waitFor("a refusal", func() bool {
		f.callTogether(0)
		return arrivedBetween(backingOff, setAt, time.Now()) > 0
	})
	arrivals := backingOff.Arrivals()
	askedAt := arrivals[len(arrivals)-1].At
	// A shorter backoff does not end a longer one.
	backingOff.SetBackoff("0.1")
	failed := f.callAllFor(backoff-100*time.Millisecond, 0)
	count := arrivedBetween(backingOff, askedAt.Add(backoffSlack), askedAt.Add(backoff))
	t.Logf("%d requests in the backoff, %d failed", count, failed)
	assert.Check(t, count <= maxBackoffRequests, "%d requests reached the upstream in its backoff", count)
	assert.Check(t, failed == 0, "%d requests failed", failed)
	backingOff.SetBackoff("")
	f.waitFor("requests after the backoff", func() bool {
		before := len(backingOff.Executions())
		f.callTogether(0)
		return len(backingOff.Executions()) > before
	})
}

// Guards against callers that wait or come back too early while all upstreams back off: they are
// refused at once, told when the first backoff ends, and come back one after the other.
func TestAllUpstreamsBackOff(t *testing.T) {
	const backoff = 2500 * time.Millisecond
	f := startPlainFleet(t, 1, 3)
	for _, r := range f.runners {
		r.SetBackoff("2.5")
	}
	startedAt := time.Now()
	f.waitFor("refusals by all", func() bool {
		f.call(0)
		for _, r := range f.runners {
			if arrivedBetween(r, startedAt, time.Now()) == 0 {
				return false
			}
		}
		return true
	})
	askedAt := time.Now()
	moments := map[time.Duration]bool{}
	tooEarly, slow := 0, 0
	for time.Since(askedAt) < backoff/2 {
		sentAt := time.Now()
		status, delay := f.callForDelay(0)
		assert.Check(t, status == http.StatusServiceUnavailable, "status %d", status)
		if time.Since(sentAt) > time.Second {
			slow++
		}
		if sentAt.Add(delay).Before(startedAt.Add(backoff)) {
			tooEarly++
		}
		moments[sentAt.Add(delay).Sub(startedAt).Round(10*time.Millisecond)] = true
	}
	assert.Check(t, slow == 0, "%d callers waited for more than a second", slow)
	assert.Check(t, tooEarly == 0, "%d callers were told to come back while all upstreams back off", tooEarly)
	for _, r := range f.runners {
		count := arrivedBetween(r, askedAt.Add(backoffSlack), startedAt.Add(backoff))
		assert.Check(t, count <= maxBackoffRequests, "%d requests reached %s in its backoff", count, r.ID)
	}
	assert.Check(t, len(moments) > 5, "all are told to come back at the same %d moments", len(moments))
}

// callForDelay sends a request to a daemon and returns the status and the delay of
// Retry-After.
func (f *plainFleet) callForDelay(daemon int) (status int, delay time.Duration) {
	request, err := http.NewRequestWithContext(f.t.Context(), http.MethodGet, "http://"+f.daemons[daemon].settings.CallerAddress+"/x/1", nil)
	assert.NilError(f.t, err)
	request.Host = "h"
	request.Header.Set("X-Attempt-Id", "a-"+strconv.FormatInt(time.Now().UnixNano(), 36))
	request.Header.Set("Authorization", "Bearer key-a")
	response, err := http.DefaultClient.Do(request)
	assert.NilError(f.t, err)
	defer response.Body.Close()
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return response.StatusCode, time.Duration(seconds * float64(time.Second))
}
