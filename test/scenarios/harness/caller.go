package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"rattantide/internal/engineclient"
	"rattantide/internal/problem"
	"rattantide/internal/relay"
	"rattantide/internal/standin/engine"
)

const (
	// callerLimit bounds one request of a caller with all resumptions.
	callerLimit = 2 * time.Minute
	// silenceLimit is how long a caller waits for the next byte before it
	// resumes on a new connection.
	silenceLimit = 10 * time.Second
	// roundPause is the time between two rounds over all entries.
	roundPause = 100 * time.Millisecond
)

// phase tells how far a caller's request is.
type phase string

const (
	running  phase = "running"
	complete phase = "complete"
	// refused means that a daemon answered with problem details.
	refused phase = "refused"
	// failed means that the answer was lost or is not in sequence.
	failed phase = "failed"
)

// caller sends one chat completion and resumes it until it is complete.
type caller struct {
	state   *state
	id      string
	token   string
	via     string
	whole   bool
	model   string
	tokens  int
	seed    int64
	message []engineclient.Message

	mu     sync.Mutex
	phase  phase
	reason string
	// trace holds the latest results at each daemon, for the cause of a failure.
	trace    map[string]string
	last     int64
	wrong    int
	resumes  int
	versions map[string]bool
	lastAt   time.Time
	maxGap   time.Duration
}

var errDone = errors.New("the answer is complete")

// run sends the request and resumes it at any daemon until it is complete.
func (c *caller) run(ctx context.Context) {
	first := c.via
	for round := 0; ctx.Err() == nil; round++ {
		if round > 0 {
			select {
			case <-ctx.Done():
			case <-time.After(roundPause):
			}
		}
		known := false
		for _, address := range c.entries(first) {
			unknown, successor, err := c.once(ctx, address, round > 0 || known)
			c.note(address, err)
			if errors.Is(err, errDone) {
				c.end(complete, "")
				return
			}
			var p *problem.Problem
			if errors.As(err, &p) && !unknown && p.Code != problem.CodeLeaving {
				c.end(refused, p.Error()+" ran="+string(p.Ran))
				return
			}
			var sequence *sequenceError
			if errors.As(err, &sequence) {
				c.end(failed, err.Error())
				return
			}
			known = known || !unknown
			first = successor
			if successor != "" {
				break
			}
		}
	}
	c.end(failed, "not complete in time")
}

// entries returns the daemons to try, the preferred one first.
func (c *caller) entries(preferred string) []string {
	all := c.state.daemons()
	out := make([]string, 0, len(all)+1)
	if preferred != "" {
		out = append(out, preferred)
	}
	for _, address := range all {
		if address != preferred {
			out = append(out, address)
		}
	}
	return out
}

func (c *caller) note(address string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.trace[address] = fmt.Sprintf("%v after event %d", err, c.last)
}

func (c *caller) end(p phase, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.reason = p, reason
}

// once sends the request, or resumes it when the daemon may know it. A daemon
// that does not know it gets the whole request again as long as nothing of the
// answer has arrived.
func (c *caller) once(ctx context.Context, address string, sent bool) (unknown bool, successor string, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(silenceLimit, cancel)
	defer silence.Stop()
	c.mu.Lock()
	last := c.last
	c.mu.Unlock()
	method, path, body := http.MethodPost, "/v1/chat/completions", c.body()
	if sent {
		method, path, body = http.MethodGet, "/v1/requests/"+c.id+"/stream", nil
		if c.whole {
			path = "/v1/requests/" + c.id
		}
		c.mu.Lock()
		c.resumes++
		c.mu.Unlock()
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return true, "", err
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	req.Header.Set("X-Request-Id", c.id)
	if last > 0 {
		req.Header.Set("Last-Event-Id", strconv.FormatInt(last, 10))
	}
	res, err := callers.Do(req)
	if err != nil {
		return true, "", err
	}
	defer res.Body.Close()
	if res.StatusCode == http.StatusNotFound && sent && last == 0 {
		return c.once(ctx, address, false)
	}
	if res.StatusCode != http.StatusOK {
		p := &problem.Problem{Status: res.StatusCode}
		_ = json.NewDecoder(io.LimitReader(res.Body, 1<<16)).Decode(p)
		return res.StatusCode == http.StatusNotFound, "", p
	}
	if c.whole {
		silence.Reset(callerLimit)
		return false, "", c.readWhole(res.Body)
	}
	reader := relay.NewReader(res.Body, 0)
	reader.OnComment = func(text []byte) {
		if s, ok := strings.CutPrefix(string(text), "successor "); ok {
			successor = s
		}
	}
	for {
		event, err := reader.Next()
		if err != nil {
			return false, successor, err
		}
		silence.Reset(silenceLimit)
		if string(event.Data) == "[DONE]" {
			return false, "", c.finished()
		}
		if err := c.take(event); err != nil {
			return false, "", err
		}
	}
}

// callers sends the callers' requests.
var callers = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func (c *caller) body() []byte {
	body, _ := json.Marshal(map[string]any{
		"model": c.model, "messages": c.message, "stream": !c.whole, "seed": c.seed, "max_tokens": c.tokens,
	})
	return body
}

// sequenceError reports an event that is not the next one, or an answer that
// ends early.
type sequenceError struct{ text string }

func (e *sequenceError) Error() string { return e.text }

// chunk is what is checked of an event or of a whole answer.
type chunk struct {
	Error       *problem.Problem `json:"error"`
	Fingerprint string           `json:"system_fingerprint"`
	Choices     []struct {
		Delta   struct{ Content string }
		Message struct{ Content string }
		Reason  *string `json:"finish_reason"`
	}
}

// take checks that an event is the next one and holds the right token of the
// version that it names.
func (c *caller) take(event relay.Event) error {
	var got chunk
	err := json.Unmarshal(event.Data, &got)
	if err == nil && got.Error != nil {
		return &sequenceError{"the stream ended with " + string(got.Error.Code) + " ran=" + string(got.Error.Ran)}
	}
	if err != nil || len(got.Choices) != 1 {
		return &sequenceError{fmt.Sprintf("event %d is not a chunk: %.300s", event.ID, event.Data)}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if event.ID != c.last+1 {
		return &sequenceError{fmt.Sprintf("event %d after %d", event.ID, c.last)}
	}
	c.last = event.ID
	now := time.Now()
	if !c.lastAt.IsZero() {
		c.maxGap = max(c.maxGap, now.Sub(c.lastAt))
	}
	c.lastAt = now
	if got.Choices[0].Reason != nil {
		return nil
	}
	c.versions[got.Fingerprint] = true
	if got.Choices[0].Delta.Content != engine.Token(engine.AnswerKey(c.message, c.seed, got.Fingerprint), int(event.ID)) {
		c.wrong++
	}
	return nil
}

func (c *caller) finished() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last != int64(c.tokens)+1 {
		return &sequenceError{fmt.Sprintf("the answer ended after event %d of %d", c.last, c.tokens+1)}
	}
	return errDone
}

func (c *caller) readWhole(body io.Reader) error {
	content, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	var got chunk
	if err := json.Unmarshal(content, &got); err != nil || len(got.Choices) != 1 {
		return &sequenceError{"not a chat completion"}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = int64(c.tokens)
	c.versions[got.Fingerprint] = true
	if got.Choices[0].Message.Content != engine.Answer(engine.AnswerKey(c.message, c.seed, got.Fingerprint), c.tokens) {
		c.wrong++
	}
	return errDone
}
