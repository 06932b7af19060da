package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"rattantide/internal/burn"
	"rattantide/internal/proc"
)

const (
	// reclaimNotice is the time between a notice and the end of the instance.
	reclaimNotice = 1500 * time.Millisecond
	// streamTokens is the length of a stream in tokens. It takes about 3 s, which is
	// longer than the notice.
	streamTokens = 300
	streamCount  = 24
)

// longChatRequests returns streamCount requests whose IDs start with prefix.
func longChatRequests(prefix string) []chatRequest {
	chats := make([]chatRequest, streamCount)
	for i := range chats {
		chats[i] = chatRequest{
			id: fmt.Sprintf("%s-%d", prefix, i), prompt: fmt.Sprintf("Write out rota %d of the %s.", i, prefix), seed: int64(i + 1), maxTokens: streamTokens,
		}
	}
	return chats
}

// reclaimTarget is the target of a reclaim notice.
type reclaimTarget struct {
	// instance or domain is set, depending on what is reclaimed.
	instance, domain string
	// victims are the processes that end when the notice expires.
	victims []*process
}

// reclaimDuringStreams runs streams and returns their answers. While all of them are
// open, it publishes a reclaim notice for the target that selectTarget returns. When
// the notice expires, it kills the processes of the target.
func (d *demo) reclaimDuringStreams(ctx context.Context, version, entry string, chats []chatRequest, selectTarget func() (reclaimTarget, error)) ([]*chatAnswer, error) {
	type outcome struct {
		answers []*chatAnswer
		err     error
	}
	done := make(chan outcome, 1)
	go func() {
		answers, err := d.runStreams(ctx, version, entry, chats)
		done <- outcome{answers, err}
	}()
	if err := d.awaitOpenRequests(ctx, len(chats)); err != nil {
		return nil, err
	}
	target, err := selectTarget()
	if err != nil {
		return nil, err
	}
	if err := d.publishNotice(ctx, target); err != nil {
		return nil, err
	}
	// A daemon may end before the notice expires; an upstream does not.
	expiry := time.NewTimer(reclaimNotice)
	defer expiry.Stop()
	select {
	case <-ctx.Done():
		return nil, errors.Trace(ctx.Err())
	case <-expiry.C:
	}
	for _, victim := range target.victims {
		victim.Kill()
		if err := callJSON(ctx, http.MethodDelete, d.instances.Address, "/control/instances/"+victim.Name, nil, nil); err != nil {
			return nil, err
		}
	}
	result := <-done
	return result.answers, result.err
}

// awaitOpenRequests waits until the daemons have at least want open requests.
func (d *demo) awaitOpenRequests(ctx context.Context, want int) error {
	return proc.Eventually(ctx, 10*time.Second, nil, func() error {
		open := 0
		for _, address := range d.daemonAddresses() {
			status, err := d.fetchStatus(ctx, address)
			if err != nil {
				return err
			}
			open += status.InFlight
		}
		if open < want {
			return errors.Errorf("%d of %d requests are open", open, want)
		}
		return nil
	})
}

// showUpstreamReclaim reclaims the engine that serves the most streams.
func (d *demo) showUpstreamReclaim(ctx context.Context) (string, error) {
	version, err := d.chatPoolVersion(ctx)
	if err != nil {
		return "", err
	}
	chats := longChatRequests("engine-reclaim")
	var victim *process
	answers, err := d.reclaimDuringStreams(ctx, version, "", chats, func() (reclaimTarget, error) {
		if victim, err = d.removeBusiestEngine(ctx, chats); err != nil {
			return reclaimTarget{}, err
		}
		return reclaimTarget{instance: victim.Name, victims: []*process{victim}}, nil
	})
	if err != nil {
		return "", err
	}
	moved, err := d.countMovedStreams(ctx, chats)
	if err != nil {
		return "", err
	}
	if moved == 0 {
		return "", errors.Errorf("no stream on %s moved, so the feature was not demonstrated", victim.Name)
	}
	if err := d.startEngine(ctx, victim.Name+"-new", victim.domain, version); err != nil {
		return "", err
	}
	return fmt.Sprintf("%s was reclaimed with %s notice: %d streams complete byte for byte, %d of them moved to another engine",
		victim.Name, reclaimNotice, len(answers), moved), nil
}

// removeBusiestEngine removes the engine that has started the largest number of the
// given requests from the list of engines and returns it. It counts entries of the
// engines' logs, because load reports are delayed.
func (d *demo) removeBusiestEngine(ctx context.Context, chats []chatRequest) (*process, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var busiest *process
	most := 0
	for _, e := range d.engines {
		started, err := attemptsOn(ctx, e.Address, chats)
		if err != nil {
			return nil, err
		}
		if len(started) > most {
			busiest, most = e, len(started)
		}
	}
	if busiest == nil {
		return nil, errors.New("no engine has started a stream")
	}
	d.engines = withoutProcess(d.engines, busiest.Name)
	return busiest, nil
}

// attemptsOn returns which of the given requests the engine at address has started.
// The result contains the latest attempt number for each request ID.
func attemptsOn(ctx context.Context, address string, chats []chatRequest) (map[string]string, error) {
	entries, err := executionLog(ctx, address, "start")
	if err != nil {
		return nil, err
	}
	attempts := map[string]string{}
	for _, e := range entries {
		attempts[e.RequestID] = e.Attempt
	}
	started := map[string]string{}
	for _, chat := range chats {
		if attempt, ok := attempts[chat.id]; ok {
			started[chat.id] = attempt
		}
	}
	return started, nil
}

// countMovedStreams returns the number of requests for which a remaining engine has
// started another attempt.
func (d *demo) countMovedStreams(ctx context.Context, chats []chatRequest) (int, error) {
	moved := map[string]bool{}
	for _, address := range d.engineAddresses() {
		started, err := attemptsOn(ctx, address, chats)
		if err != nil {
			return 0, err
		}
		for id, attempt := range started {
			if attempt != "1" {
				moved[id] = true
			}
		}
	}
	return len(moved), nil
}

// showDaemonReclaim reclaims a daemon through which all streams are sent.
func (d *demo) showDaemonReclaim(ctx context.Context) (string, error) {
	version, err := d.chatPoolVersion(ctx)
	if err != nil {
		return "", err
	}
	d.mu.Lock()
	victim := d.daemons[len(d.daemons)-1]
	d.mu.Unlock()
	answers, err := d.reclaimDuringStreams(ctx, version, victim.Address, longChatRequests("daemon-reclaim"), func() (reclaimTarget, error) {
		return reclaimTarget{instance: victim.Name, victims: []*process{victim}}, nil
	})
	d.mu.Lock()
	d.daemons = withoutProcess(d.daemons, victim.Name)
	d.mu.Unlock()
	// The replacement is started after an error too, as later features need it.
	if startErr := d.startDaemon(ctx, victim.Name+"-new", victim.domain, victim.slot); err == nil {
		err = startErr
	}
	if err != nil {
		return "", err
	}
	resumes, err := sumResumes(answers)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%s was reclaimed with %s notice: %d streams resumed %d times at other daemons, complete byte for byte",
		victim.Name, reclaimNotice, len(answers), resumes), nil
}

// showStatus queries the status and the burn rates at the end of the demo with the
// operators' tool.
func (d *demo) showStatus(ctx context.Context) (string, error) {
	status, err := d.runTool(ctx, "", "status")
	if err != nil {
		return "", err
	}
	if err := status.check(toolOK); err != nil {
		return "", err
	}
	result, err := d.runTool(ctx, "", "burn", "-o", "json")
	if err != nil {
		return "", err
	}
	if err := result.check(toolOK); err != nil {
		return "", err
	}
	var report burn.Report
	if err := json.Unmarshal([]byte(result.stdout), &report); err != nil {
		return "", errors.Trace(err)
	}
	rates := []string{}
	for _, class := range report.Classes {
		for _, g := range class.Goals {
			rates = append(rates, fmt.Sprintf("%s %s %.2f", class.Class, g.Name, g.Burn[0].Rate))
		}
	}
	if len(rates) == 0 {
		return "", errors.New("the report of the burn command contains no burn rates")
	}
	return fmt.Sprintf("burn rates over 5 min, merged from %d daemons: %s", len(report.Daemons), strings.Join(rates, ", ")), nil
}
