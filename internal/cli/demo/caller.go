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
	// maxTries bounds how often a caller turns to another entry.
	maxTries = 40
	tryPause = 100 * time.Millisecond
)

// caller is an application that follows the caller API without the client
// library: it chooses the entry itself, so that streams can be sent through a
// daemon that is about to go away, and it counts how often it resumes.
type caller struct {
	token   string
	entries func() []string
	http    *http.Client
}

func (d *demo) caller(token string) *caller {
	return &caller{token: token, entries: d.daemonAddresses, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

func (c *caller) send(ctx context.Context, method, address, path string, header http.Header, body []byte) (*http.Response, error) {
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

// entry returns the address for a try.
func (c *caller) entry(first string, try int) string {
	entries := c.entries()
	if try == 0 && first != "" {
		return first
	}
	return entries[try%len(entries)]
}

// stream asks for a stream and resumes it until it is complete.
func (c *caller) stream(ctx context.Context, first string, q chat) (*answer, error) {
	a := &answer{}
	began := time.Now()
	next, seen, posted := first, int64(0), false
	var last error
	for try := range maxTries {
		address := next
		if address == "" {
			address = c.entry("", try)
		}
		next = ""
		response, err := c.openStream(ctx, address, q, posted, seen)
		if err != nil {
			last = err
			pause(ctx)
			continue
		}
		if response.StatusCode != http.StatusOK {
			content, _ := readAll(response)
			last = errors.Errorf("%s: %s", response.Status, content)
			posted = posted || response.StatusCode == http.StatusConflict
			// A request that is being handed over may be unknown for a moment.
			onItsWay := posted && response.StatusCode == http.StatusNotFound
			if !onItsWay && !worthTrying(content) {
				return nil, errors.Annotate(last, q.id)
			}
			pause(ctx)
			continue
		}
		if posted {
			a.resumes++
		}
		posted = true
		var done bool
		seen, next, done, err = c.read(response, a, seen, began)
		if done {
			a.total = time.Since(began)
			return a, nil
		}
		if err != nil {
			last = err
		}
	}
	return nil, errors.Annotatef(last, "%s after %d events", q.id, seen)
}

func (c *caller) openStream(ctx context.Context, address string, q chat, posted bool, seen int64) (*http.Response, error) {
	if !posted {
		return c.send(ctx, http.MethodPost, address, "/v1/chat/completions", http.Header{"X-Request-Id": {q.id}}, q.body(true))
	}
	header := http.Header{"Last-Event-Id": {strconv.FormatInt(seen, 10)}}
	return c.send(ctx, http.MethodGet, address, "/v1/requests/"+q.id+"/stream", header, nil)
}

// read takes events until the stream ends. It returns the last number, the
// successor that the stream named, and whether the answer is complete.
func (c *caller) read(response *http.Response, a *answer, seen int64, began time.Time) (int64, string, bool, error) {
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
			return seen, successor, false, err
		}
		if string(event.Data) == "[DONE]" {
			return seen, "", true, nil
		}
		if event.ID != seen+1 {
			return seen, successor, false, errors.Errorf("event %d follows event %d", event.ID, seen)
		}
		seen = event.ID
		if a.firstToken == 0 {
			a.firstToken = time.Since(began)
		}
		var chunk completion
		if err := json.Unmarshal(event.Data, &chunk); err != nil {
			return seen, successor, false, errors.Trace(err)
		}
		a.add(&chunk)
	}
}

// worthTrying reports whether a refusal allows another try.
func worthTrying(content []byte) bool {
	p := &problem.Problem{}
	if json.Unmarshal(content, p) != nil {
		return false
	}
	return p.Code == problem.CodeLeaving || p.Code == problem.CodeDuplicateRequest || p.Ran == problem.RanNotRun && p.Status == http.StatusServiceUnavailable
}

func readAll(response *http.Response) ([]byte, error) {
	defer response.Body.Close()
	return io.ReadAll(response.Body)
}

func pause(ctx context.Context) {
	timer := time.NewTimer(tryPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
