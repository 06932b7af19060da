package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"rattantide/internal/problem"
	"rattantide/internal/relay"
)

const (
	// maxAttempts is the maximum number of calls for one stream.
	maxAttempts = 40
	retryDelay  = 100 * time.Millisecond
)

// apiCaller calls the API for callers without the client library: it selects the
// daemon itself, so that streams can be sent through a daemon that is about to be
// reclaimed, and it counts how often it resumes a stream.
type apiCaller struct {
	token   string
	entries func() []string
	http    *http.Client
}

func (d *demo) newAPICaller(token string) *apiCaller {
	return &apiCaller{token: token, entries: d.daemonAddresses, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// send makes one call to the daemon at address.
func (c *apiCaller) send(ctx context.Context, method, address, path string, header http.Header, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	request.Header.Set("Content-Type", "application/json")
	return c.http.Do(request)
}

// entryFor returns the address of the daemon to call in the given attempt, from 0:
// preferred in the first attempt unless it is empty, else the daemons in turn.
func (c *apiCaller) entryFor(preferred string, attempt int) string {
	entries := c.entries()
	if attempt == 0 && preferred != "" {
		return preferred
	}
	return entries[attempt%len(entries)]
}

// stream sends a streamed chat completion and resumes the stream until it is
// complete. The first call is made to the daemon at firstAddress unless that is empty.
func (c *apiCaller) stream(ctx context.Context, firstAddress string, chat chatRequest) (*chatAnswer, error) {
	a := &chatAnswer{}
	start := time.Now()
	successor, lastEvent, accepted := firstAddress, int64(0), false
	var lastErr error
	for attempt := range maxAttempts {
		address := successor
		if address == "" {
			address = c.entryFor("", attempt)
		}
		successor = ""
		response, err := c.openStream(ctx, address, chat, accepted, lastEvent)
		if err != nil {
			lastErr = err
			waitRetryDelay(ctx)
			continue
		}
		if response.StatusCode != http.StatusOK {
			content, _ := readBody(response)
			lastErr = errors.Errorf("%s: %s", response.Status, content)
			accepted = accepted || response.StatusCode == http.StatusConflict
			// During a handoff there is a short time in which no daemon has the request.
			isHandoffPending := accepted && response.StatusCode == http.StatusNotFound
			if !isHandoffPending && !isRetryable(content) {
				return nil, errors.Annotate(lastErr, chat.id)
			}
			waitRetryDelay(ctx)
			continue
		}
		if accepted {
			a.resumes++
		}
		accepted = true
		var done bool
		lastEvent, successor, done, err = c.readEvents(response, a, lastEvent, start)
		if done {
			a.total = time.Since(start)
			return a, nil
		}
		if err != nil {
			lastErr = err
		}
	}
	return nil, errors.Annotatef(lastErr, "%s failed after %d events", chat.id, lastEvent)
}

// openStream sends the request, or resumes its stream after lastEvent if a daemon
// has accepted it.
func (c *apiCaller) openStream(ctx context.Context, address string, chat chatRequest, accepted bool, lastEvent int64) (*http.Response, error) {
	if !accepted {
		return c.send(ctx, http.MethodPost, address, "/v1/chat/completions", http.Header{"X-Request-Id": {chat.id}}, chat.body(true))
	}
	header := http.Header{"Last-Event-Id": {strconv.FormatInt(lastEvent, 10)}}
	return c.send(ctx, http.MethodGet, address, "/v1/requests/"+chat.id+"/stream", header, nil)
}

// readEvents adds events to a until the stream ends. It returns the number of the
// last event, the address of the successor that the daemon announced, or "", and
// whether the answer is complete.
func (c *apiCaller) readEvents(response *http.Response, a *chatAnswer, lastEvent int64, start time.Time) (int64, string, bool, error) {
	defer response.Body.Close()
	successor := ""
	reader := relay.NewReader(response.Body, 0)
	reader.OnComment = func(text []byte) {
		if rest, ok := strings.CutPrefix(strings.TrimSpace(string(text)), "successor "); ok {
			successor = rest
		}
	}
	for {
		event, err := reader.Next()
		if err != nil {
			return lastEvent, successor, false, err
		}
		if string(event.Data) == "[DONE]" {
			return lastEvent, "", true, nil
		}
		if event.ID != lastEvent+1 {
			return lastEvent, successor, false, errors.Errorf("event out of sequence: %d after %d", event.ID, lastEvent)
		}
		lastEvent = event.ID
		if a.firstToken == 0 {
			a.firstToken = time.Since(start)
		}
		var chunk completion
		if err := json.Unmarshal(event.Data, &chunk); err != nil {
			return lastEvent, successor, false, errors.Trace(err)
		}
		a.add(&chunk)
	}
}

// isRetryable reports whether content is a problem after which the request may be
// sent again.
func isRetryable(content []byte) bool {
	p := &problem.Problem{}
	if json.Unmarshal(content, p) != nil {
		return false
	}
	return p.Code == problem.CodeLeaving || p.Code == problem.CodeDuplicateRequest || p.Execution == problem.ExecutionNotRun && p.Status == http.StatusServiceUnavailable
}

func readBody(response *http.Response) ([]byte, error) {
	defer response.Body.Close()
	return io.ReadAll(response.Body)
}

func waitRetryDelay(ctx context.Context) {
	timer := time.NewTimer(retryDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
