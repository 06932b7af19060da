package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"rattantide/internal/admin"
	"rattantide/internal/proc"
)

// showConfiguration applies the objects with the tool and waits until they are
// in force on every daemon.
func (d *demo) showConfiguration(ctx context.Context) (string, error) {
	result, err := d.tool(ctx, configuration(), "apply", "-f", "-", "-o", "json")
	if err != nil {
		return "", err
	}
	if err := result.check(toolOK); err != nil {
		return "", err
	}
	var changes []struct {
		Version int64
		Change  string
	}
	if err := json.Unmarshal([]byte(result.stdout), &changes); err != nil {
		return "", errors.Trace(err)
	}
	highest := int64(0)
	for _, c := range changes {
		highest = max(highest, c.Version)
	}
	began := time.Now()
	if err := d.inForce(ctx, highest); err != nil {
		return "", err
	}
	if len(changes) != objectCount {
		return "", errors.Errorf("%d objects were applied, expected %d", len(changes), objectCount)
	}
	return fmt.Sprintf("%d objects applied, in force on %d daemons %d ms after the last",
		len(changes), len(d.daemonAddresses()), time.Since(began).Milliseconds()), nil
}

// inForce waits until all daemons have a revision. The bound is the design's.
func (d *demo) inForce(ctx context.Context, revision int64) error {
	for _, address := range d.daemonAddresses() {
		err := proc.Eventually(ctx, 3*time.Second, nil, func() error {
			status, err := d.status(ctx, address)
			if err == nil && status.Revision < revision {
				err = errors.Errorf("%s has revision %d, expected %d", address, status.Revision, revision)
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) status(ctx context.Context, address string) (*admin.Status, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+admin.Prefix+"/status", nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	request.Header.Set("Authorization", "Bearer "+operatorToken)
	response, err := controlClient.Do(request)
	if err != nil {
		return nil, errors.Trace(err)
	}
	content, err := readAll(response)
	if err != nil || response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("%s: %s %s", address, response.Status, content)
	}
	status := &admin.Status{}
	return status, errors.Trace(json.Unmarshal(content, status))
}

// entryList is the answer to a query for entries.
type entryList struct {
	Entries []struct {
		Address string `json:"address"`
		Domain  string `json:"domain"`
	} `json:"entries"`
	TTLMs int64 `json:"ttlMs"`
}

// showEntries asks each daemon for the entries of a workspace.
func (d *demo) showEntries(ctx context.Context) (string, error) {
	var got entryList
	for _, address := range d.daemonAddresses() {
		err := proc.Eventually(ctx, 10*time.Second, nil, func() (err error) {
			got, err = d.entries(ctx, address)
			if err == nil && len(got.Entries) != len(d.daemonAddresses()) {
				err = errors.Errorf("%s names %d entries", address, len(got.Entries))
			}
			return err
		})
		if err != nil {
			return "", err
		}
	}
	inDomains := map[string]bool{}
	for _, e := range got.Entries {
		inDomains[e.Domain] = true
	}
	if len(inDomains) != len(domains) {
		return "", errors.Errorf("the entries are in %d failure domains", len(inDomains))
	}
	return fmt.Sprintf("each daemon names %d entries in %d failure domains, to be kept %d ms", len(got.Entries), len(inDomains), got.TTLMs), nil
}

func (d *demo) entries(ctx context.Context, address string) (entryList, error) {
	var got entryList
	response, err := d.caller(chatToken).send(ctx, http.MethodGet, address, "/v1/entries", nil, nil)
	if err != nil {
		return got, errors.Trace(err)
	}
	content, err := readAll(response)
	if err != nil || response.StatusCode != http.StatusOK {
		return got, errors.Errorf("%s: %s", response.Status, content)
	}
	return got, errors.Trace(json.Unmarshal(content, &got))
}

// showAnswers compares whole and streamed answers with those of an engine.
func (d *demo) showAnswers(ctx context.Context) (string, error) {
	const count = 24
	chats := make([]chat, count)
	for i := range chats {
		chats[i] = chat{id: fmt.Sprintf("answers-%d", i), prompt: fmt.Sprintf("Short question number %d.", i), seed: int64(i + 1), maxTokens: 40}
	}
	answers, err := d.streams(ctx, "briefs-v1", "", chats)
	if err != nil {
		return "", err
	}
	app, err := d.application(chatToken)
	if err != nil {
		return "", err
	}
	defer app.close()
	group, groupCtx := errgroup.WithContext(ctx)
	for i, q := range chats {
		group.Go(func() error {
			q.id += "-whole"
			got, err := app.whole(groupCtx, q)
			if err == nil && got.text != answers[i].text {
				err = errors.Errorf("%s differs from the stream", q.id)
			}
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return "", err
	}
	first := make([]time.Duration, count)
	for i, a := range answers {
		first[i] = a.firstToken
	}
	slices.Sort(first)
	return fmt.Sprintf("%d streamed and %d whole answers equal the engines' byte for byte; first token median %.1f ms",
		count, count, float64(first[count/2])/float64(time.Millisecond)), nil
}

// showLocality sends requests that share a long prompt and counts how much of
// it engines found in their caches.
func (d *demo) showLocality(ctx context.Context) (string, error) {
	archive := strings.Repeat("The archive of dies lists seals, stamps and plates with their gauge and line. ", 60)
	c := d.caller(chatToken)
	prompt, cached := 0, 0
	const count = 30
	for i := range count {
		q := chat{id: fmt.Sprintf("locality-%d", i), prompt: archive + fmt.Sprintf("Draft brief %d.", i), seed: 1, maxTokens: 4}
		a, err := c.stream(ctx, d.daemonAddresses()[i%len(domains)], q)
		if err != nil {
			return "", err
		}
		if i == 0 {
			// Cache events lag; the first request cannot be found anywhere.
			time.Sleep(time.Second)
			continue
		}
		prompt += a.promptTokens
		cached += a.cachedTokens
	}
	share := float64(cached) / float64(max(1, prompt))
	figures := fmt.Sprintf("%.0f%% of %d prompt tokens of %d requests with a shared prompt were cached, over %d daemons",
		100*share, prompt, count-1, len(domains))
	// Random choice among six engines would recompute the prompt on each once,
	// and often twice because of the lag.
	if share < 0.7 {
		return "", errors.New(figures)
	}
	return figures, nil
}
