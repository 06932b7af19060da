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
	"rattantide/internal/objectclient"
	"rattantide/internal/proc"
)

// showConfiguration applies the objects with the operators' tool and waits until
// they are in effect on every daemon.
func (d *demo) showConfiguration(ctx context.Context) (string, error) {
	result, err := d.runTool(ctx, configuration(), "apply", "-f", "-", "-o", "json")
	if err != nil {
		return "", err
	}
	if err := result.check(toolOK); err != nil {
		return "", err
	}
	var changes []struct {
		Version objectclient.Revision
		Change  string
	}
	if err := json.Unmarshal([]byte(result.stdout), &changes); err != nil {
		return "", errors.Trace(err)
	}
	highest := objectclient.Revision(0)
	for _, c := range changes {
		highest = max(highest, c.Version)
	}
	start := time.Now()
	if err := d.awaitRevision(ctx, highest); err != nil {
		return "", err
	}
	if len(changes) != objectCount {
		return "", errors.Errorf("%d objects were applied, expected %d", len(changes), objectCount)
	}
	return fmt.Sprintf("%d objects applied, in effect on %d daemons %d ms after the last",
		len(changes), len(d.daemonAddresses()), time.Since(start).Milliseconds()), nil
}

// awaitRevision waits until all daemons have the configuration of revision or a
// later one. The design requires this within 3 s.
func (d *demo) awaitRevision(ctx context.Context, revision objectclient.Revision) error {
	for _, address := range d.daemonAddresses() {
		err := proc.Eventually(ctx, 3*time.Second, nil, func() error {
			status, err := d.fetchStatus(ctx, address)
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

func (d *demo) fetchStatus(ctx context.Context, address string) (*admin.Status, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+admin.Prefix+"/status", nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	request.Header.Set("Authorization", "Bearer "+operatorToken)
	response, err := controlClient.Do(request)
	if err != nil {
		return nil, errors.Trace(err)
	}
	content, err := readBody(response)
	if err != nil || response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("%s: query for the status returned %s: %s", address, response.Status, content)
	}
	status := &admin.Status{}
	return status, errors.Trace(json.Unmarshal(content, status))
}

// entryList is the response to a query for entries.
type entryList struct {
	Entries []struct {
		Address string `json:"address"`
		Domain  string `json:"domain"`
	} `json:"entries"`
	TTLMs int64 `json:"ttlMs"`
}

// showEntries queries each daemon for the entries of a workspace.
func (d *demo) showEntries(ctx context.Context) (string, error) {
	var list entryList
	for _, address := range d.daemonAddresses() {
		err := proc.Eventually(ctx, 10*time.Second, nil, func() (err error) {
			list, err = d.fetchEntries(ctx, address)
			if err == nil && len(list.Entries) != len(d.daemonAddresses()) {
				err = errors.Errorf("%s must return one entry per daemon, but returned %d entries", address, len(list.Entries))
			}
			return err
		})
		if err != nil {
			return "", err
		}
	}
	inDomains := map[string]bool{}
	for _, e := range list.Entries {
		inDomains[e.Domain] = true
	}
	if len(inDomains) != len(domains) {
		return "", errors.Errorf("the entries must be in all failure domains, but are in %d", len(inDomains))
	}
	return fmt.Sprintf("each daemon returns %d entries in %d failure domains, valid for %d ms", len(list.Entries), len(inDomains), list.TTLMs), nil
}

func (d *demo) fetchEntries(ctx context.Context, address string) (entryList, error) {
	var list entryList
	response, err := d.newAPICaller(chatToken).send(ctx, http.MethodGet, address, "/v1/entries", nil, nil)
	if err != nil {
		return list, errors.Trace(err)
	}
	content, err := readBody(response)
	if err != nil || response.StatusCode != http.StatusOK {
		return list, errors.Errorf("query for entries returned %s: %s", response.Status, content)
	}
	return list, errors.Trace(json.Unmarshal(content, &list))
}

// showAnswers compares the streamed answers with those of an engine and the whole
// answers with the streamed ones.
func (d *demo) showAnswers(ctx context.Context) (string, error) {
	const count = 24
	chats := make([]chatRequest, count)
	for i := range chats {
		chats[i] = chatRequest{id: fmt.Sprintf("answers-%d", i), prompt: fmt.Sprintf("Short question number %d.", i), seed: int64(i + 1), maxTokens: 40}
	}
	answers, err := d.runStreams(ctx, "briefs-v1", "", chats)
	if err != nil {
		return "", err
	}
	client, err := d.newLibraryClient(chatToken)
	if err != nil {
		return "", err
	}
	defer client.close()
	group, groupCtx := errgroup.WithContext(ctx)
	for i, chat := range chats {
		group.Go(func() error {
			chat.id += "-whole"
			answer, err := client.complete(groupCtx, chat)
			if err == nil && answer.text != answers[i].text {
				err = errors.Errorf("%s differs from the streamed answer", chat.id)
			}
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return "", err
	}
	firstTokens := make([]time.Duration, count)
	for i, a := range answers {
		firstTokens[i] = a.firstToken
	}
	slices.Sort(firstTokens)
	return fmt.Sprintf("%d streamed and %d whole answers equal the engines' byte for byte; first token median %.1f ms",
		count, count, float64(firstTokens[count/2])/float64(time.Millisecond)), nil
}

// showLocality sends requests whose prompts share a long prefix and measures the
// share of prompt tokens that the engines found in their caches.
func (d *demo) showLocality(ctx context.Context) (string, error) {
	archive := strings.Repeat("The archive of dies lists seals, stamps and plates with their gauge and line. ", 60)
	c := d.newAPICaller(chatToken)
	prompt, cached := 0, 0
	const count = 30
	for i := range count {
		chat := chatRequest{id: fmt.Sprintf("locality-%d", i), prompt: archive + fmt.Sprintf("Draft brief %d.", i), seed: 1, maxTokens: 4}
		a, err := c.stream(ctx, d.daemonAddresses()[i%len(domains)], chat)
		if err != nil {
			return "", err
		}
		if i == 0 {
			// Nothing is cached for the first request, and cache events arrive with a
			// delay.
			time.Sleep(time.Second)
			continue
		}
		prompt += a.promptTokens
		cached += a.cachedTokens
	}
	share := float64(cached) / float64(max(1, prompt))
	figures := fmt.Sprintf("%.0f%% of %d prompt tokens of %d requests with a shared prompt were cached, over %d daemons",
		100*share, prompt, count-1, len(domains))
	// If engines were selected at random, each of the six engines of the version
	// would compute the prefix once, and often twice because of the delay of cache
	// events.
	if share < 0.7 {
		return "", errors.New(figures)
	}
	return figures, nil
}
