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
	// requestTimeout bounds the requests of a stream command, including all
	// resumptions. It also bounds a load command, from its start until the end of its
	// last stream.
	requestTimeout = 2 * time.Minute
	// readTimeout is how long a caller waits for the next event before it resumes the
	// stream on a new connection.
	readTimeout = 10 * time.Second
	// roundInterval is the pause between two rounds of attempts at all daemons.
	roundInterval = 100 * time.Millisecond
)

// phase is the state of a caller's request.
type phase string

const (
	phaseRunning  phase = "running"
	phaseComplete phase = "complete"
	// phaseRefused means that a daemon answered with problem details.
	phaseRefused phase = "refused"
	// phaseFailed means that the answer was invalid or not complete in time.
	phaseFailed phase = "failed"
)

// caller sends one chat completion and resumes it until it is complete. mu guards the
// fields below it, which may be read while run is executing.
type caller struct {
	state          *scriptState
	id             string
	token          string
	preferredEntry string
	isUnstreamed   bool
	model          string
	maxTokens      int
	seed           int64
	messages       []engineclient.Message

	mu     sync.Mutex
	phase  phase
	reason string
	// lastResults holds the last result at each daemon by address, for diagnostics.
	lastResults map[string]string
	lastEvent   int64
	mismatches  int
	resumes     int
	versions    map[string]bool
	lastEventAt time.Time
	maxGap      time.Duration
}

var errComplete = errors.New("the answer is complete")

// run sends the request and resumes it at any daemon until the answer is complete or
// invalid, the request is refused, or ctx ends.
func (c *caller) run(ctx context.Context) {
	first := c.preferredEntry
	for round := 0; ctx.Err() == nil; round++ {
		if round > 0 {
			select {
			case <-ctx.Done():
			case <-time.After(roundInterval):
			}
		}
		isKnown := false
		for _, address := range c.entries(first) {
			isUnknown, successor, err := c.attempt(ctx, address, round > 0 || isKnown)
			c.recordResult(address, err)
			if errors.Is(err, errComplete) {
				c.setPhase(phaseComplete, "")
				return
			}
			var p *problem.Problem
			if errors.As(err, &p) && !isUnknown && p.Code != problem.CodeLeaving {
				c.setPhase(phaseRefused, p.Error()+" ran="+string(p.Execution))
				return
			}
			var invalid *answerError
			if errors.As(err, &invalid) {
				c.setPhase(phaseFailed, err.Error())
				return
			}
			isKnown = isKnown || !isUnknown
			first = successor
			if successor != "" {
				break
			}
		}
	}
	c.setPhase(phaseFailed, "the answer was not complete within the time limit")
}

// entries returns the addresses of the daemons in the order of the attempts, the
// preferred one first, if there is one.
func (c *caller) entries(preferred string) []string {
	addresses := c.state.daemonAddresses()
	out := make([]string, 0, len(addresses)+1)
	if preferred != "" {
		out = append(out, preferred)
	}
	for _, address := range addresses {
		if address != preferred {
			out = append(out, address)
		}
	}
	return out
}

// recordResult stores the result of an attempt at a daemon for diagnostics.
func (c *caller) recordResult(address string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastResults[address] = fmt.Sprintf("%v after event %d", err, c.lastEvent)
}

func (c *caller) setPhase(p phase, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.reason = p, reason
}

// attempt sends the request to one daemon, or resumes it if it may have been sent
// before. If a daemon does not know the request and no event has been received yet,
// the whole request is sent to it again.
//
// isUnknown reports that the daemon does not know the request or could not be reached.
// successor is the address of the daemon to resume at, if the daemon named one. err is
// never nil; it is errComplete when the answer is complete.
func (c *caller) attempt(ctx context.Context, address string, wasSent bool) (isUnknown bool, successor string, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	readTimer := time.AfterFunc(readTimeout, cancel)
	defer readTimer.Stop()
	c.mu.Lock()
	last := c.lastEvent
	c.mu.Unlock()
	method, path, body := http.MethodPost, "/v1/chat/completions", c.body()
	if wasSent {
		method, path, body = http.MethodGet, "/v1/requests/"+c.id+"/stream", nil
		if c.isUnstreamed {
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
	res, err := callerClient.Do(req)
	if err != nil {
		return true, "", err
	}
	defer res.Body.Close()
	if res.StatusCode == http.StatusNotFound && wasSent && last == 0 {
		return c.attempt(ctx, address, false)
	}
	if res.StatusCode != http.StatusOK {
		p := &problem.Problem{Status: res.StatusCode}
		_ = json.NewDecoder(io.LimitReader(res.Body, 1<<16)).Decode(p)
		return res.StatusCode == http.StatusNotFound, "", p
	}
	if c.isUnstreamed {
		readTimer.Reset(requestTimeout)
		return false, "", c.readUnstreamed(res.Body)
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
		readTimer.Reset(readTimeout)
		if string(event.Data) == "[DONE]" {
			return false, "", c.checkComplete()
		}
		if err := c.checkEvent(event); err != nil {
			return false, "", err
		}
	}
}

// callerClient sends the requests of callers, each on a new connection.
var callerClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// body returns the JSON body of the chat completion request.
func (c *caller) body() []byte {
	body, _ := json.Marshal(map[string]any{
		"model": c.model, "messages": c.messages, "stream": !c.isUnstreamed, "seed": c.seed, "max_tokens": c.maxTokens,
	})
	return body
}

// answerError reports an invalid answer: an event out of sequence, a malformed event
// or one with a problem, or an answer that ended early. It is not resumed.
type answerError struct{ text string }

func (e *answerError) Error() string { return e.text }

// chunk holds the checked fields of a stream event or of a complete answer.
type chunk struct {
	Error       *problem.Problem `json:"error"`
	Fingerprint string           `json:"system_fingerprint"`
	Choices     []struct {
		Delta   struct{ Content string }
		Message struct{ Content string }
		Reason  *string `json:"finish_reason"`
	}
}

// checkEvent checks that an event is the next in sequence. It counts a mismatch if the
// content is not the expected token for the version that the event names.
func (c *caller) checkEvent(event relay.Event) error {
	var got chunk
	err := json.Unmarshal(event.Data, &got)
	if err == nil && got.Error != nil {
		return &answerError{"the stream ended with problem " + string(got.Error.Code) + " ran=" + string(got.Error.Execution)}
	}
	if err != nil || len(got.Choices) != 1 {
		return &answerError{fmt.Sprintf("event %d is not a chat completion chunk: %.300s", event.ID, event.Data)}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if event.ID != c.lastEvent+1 {
		return &answerError{fmt.Sprintf("event out of sequence: %d after %d", event.ID, c.lastEvent)}
	}
	c.lastEvent = event.ID
	now := time.Now()
	if !c.lastEventAt.IsZero() {
		c.maxGap = max(c.maxGap, now.Sub(c.lastEventAt))
	}
	c.lastEventAt = now
	if got.Choices[0].Reason != nil {
		return nil
	}
	c.versions[got.Fingerprint] = true
	if got.Choices[0].Delta.Content != engine.Token(engine.AnswerKey(c.messages, c.seed, got.Fingerprint), int(event.ID)) {
		c.mismatches++
	}
	return nil
}

// checkComplete returns errComplete if all events were received.
func (c *caller) checkComplete() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastEvent != int64(c.maxTokens)+1 {
		return &answerError{fmt.Sprintf("the answer ended early, after event %d of %d", c.lastEvent, c.maxTokens+1)}
	}
	return errComplete
}

// readUnstreamed reads and checks an answer that is not streamed. It returns
// errComplete on success, also if the text is wrong, which is counted as a mismatch.
func (c *caller) readUnstreamed(body io.Reader) error {
	content, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	var got chunk
	if err := json.Unmarshal(content, &got); err != nil || len(got.Choices) != 1 {
		return &answerError{"the unstreamed answer is not a chat completion with one choice"}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastEvent = int64(c.maxTokens)
	c.versions[got.Fingerprint] = true
	if got.Choices[0].Message.Content != engine.Answer(engine.AnswerKey(c.messages, c.seed, got.Fingerprint), c.maxTokens) {
		c.mismatches++
	}
	return errComplete
}
