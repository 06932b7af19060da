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
	// streamTokens make a stream of about 3 s, which is longer than the notice.
	streamTokens = 300
	streamCount  = 24
)

func longChats(prefix string) []chat {
	chats := make([]chat, streamCount)
	for i := range chats {
		chats[i] = chat{
			id: fmt.Sprintf("%s-%d", prefix, i), prompt: fmt.Sprintf("Write out rota %d of the %s.", i, prefix), seed: int64(i + 1), maxTokens: streamTokens,
		}
	}
	return chats
}

// reclaim is a notice and the processes that end with it.
type reclaim struct {
	// instance or domain is what the notice names.
	instance, domain string
	victims          []*process
}

// reclaimDuring runs streams, reclaims what pick chooses in the middle, and
// kills it at the end of the notice.
func (d *demo) reclaimDuring(ctx context.Context, version, entry string, chats []chat, pick func() (reclaim, error)) ([]*answer, error) {
	type outcome struct {
		answers []*answer
		err     error
	}
	done := make(chan outcome, 1)
	go func() {
		answers, err := d.streams(ctx, version, entry, chats)
		done <- outcome{answers, err}
	}()
	if err := d.untilBusy(ctx, len(chats)); err != nil {
		return nil, err
	}
	target, err := pick()
	if err != nil {
		return nil, err
	}
	if err := d.notify(ctx, target); err != nil {
		return nil, err
	}
	// A daemon may end before the notice does; an upstream does not.
	end := time.NewTimer(reclaimNotice)
	defer end.Stop()
	select {
	case <-ctx.Done():
		return nil, errors.Trace(ctx.Err())
	case <-end.C:
	}
	for _, victim := range target.victims {
		victim.Kill()
		if err := call(ctx, http.MethodDelete, d.instances.Address, "/control/instances/"+victim.Name, nil, nil); err != nil {
			return nil, err
		}
	}
	result := <-done
	return result.answers, result.err
}

// untilBusy waits until the daemons hold that many requests.
func (d *demo) untilBusy(ctx context.Context, want int) error {
	return proc.Eventually(ctx, 10*time.Second, nil, func() error {
		open := 0
		for _, address := range d.daemonAddresses() {
			status, err := d.status(ctx, address)
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

// showUpstreamReclaim reclaims the engine that has most of the streams.
func (d *demo) showUpstreamReclaim(ctx context.Context) (string, error) {
	version, err := d.effective(ctx)
	if err != nil {
		return "", err
	}
	chats := longChats("engine-reclaim")
	var victim *process
	answers, err := d.reclaimDuring(ctx, version, "", chats, func() (reclaim, error) {
		if victim, err = d.busiestEngine(ctx, chats); err != nil {
			return reclaim{}, err
		}
		return reclaim{instance: victim.Name, victims: []*process{victim}}, nil
	})
	if err != nil {
		return "", err
	}
	moved, err := d.movedStreams(ctx, chats)
	if err != nil {
		return "", err
	}
	if moved == 0 {
		return "", errors.Errorf("no stream on %s moved, so nothing was shown", victim.Name)
	}
	if err := d.startEngine(ctx, victim.Name+"-new", victim.domain, version); err != nil {
		return "", err
	}
	return fmt.Sprintf("%s left at %s notice: %d streams complete byte for byte, %d of them moved to another engine",
		victim.Name, reclaimNotice, len(answers), moved), nil
}

// busiestEngine takes the engine with most of the requests out of the list of
// engines. Load reports lag, so the engines' logs are counted.
func (d *demo) busiestEngine(ctx context.Context, chats []chat) (*process, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var busiest *process
	most := 0
	for _, e := range d.engines {
		started, err := startedOn(ctx, e.Address, chats)
		if err != nil {
			return nil, err
		}
		if len(started) > most {
			busiest, most = e, len(started)
		}
	}
	if busiest == nil {
		return nil, errors.New("no engine has a stream")
	}
	d.engines = without(d.engines, busiest.Name)
	return busiest, nil
}

// startedOn returns the attempts of requests that an engine started.
func startedOn(ctx context.Context, address string, chats []chat) (map[string]string, error) {
	entries, err := logOf(ctx, address, "start")
	if err != nil {
		return nil, err
	}
	attempts := map[string]string{}
	for _, e := range entries {
		attempts[e.RequestID] = e.Attempt
	}
	started := map[string]string{}
	for _, q := range chats {
		if attempt, ok := attempts[q.id]; ok {
			started[q.id] = attempt
		}
	}
	return started, nil
}

// movedStreams counts requests that started again on an engine that is left.
func (d *demo) movedStreams(ctx context.Context, chats []chat) (int, error) {
	moved := map[string]bool{}
	for _, address := range d.engineAddresses() {
		started, err := startedOn(ctx, address, chats)
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

// showDaemonReclaim reclaims a daemon while all streams go through it.
func (d *demo) showDaemonReclaim(ctx context.Context) (string, error) {
	version, err := d.effective(ctx)
	if err != nil {
		return "", err
	}
	d.mu.Lock()
	victim := d.daemons[len(d.daemons)-1]
	d.mu.Unlock()
	answers, err := d.reclaimDuring(ctx, version, victim.Address, longChats("daemon-reclaim"), func() (reclaim, error) {
		return reclaim{instance: victim.Name, victims: []*process{victim}}, nil
	})
	d.mu.Lock()
	d.daemons = without(d.daemons, victim.Name)
	d.mu.Unlock()
	// The replacement starts in any case, for the features that follow.
	if startErr := d.startDaemon(ctx, victim.Name+"-new", victim.domain, victim.slot); err == nil {
		err = startErr
	}
	if err != nil {
		return "", err
	}
	resumes, err := resumesOf(answers)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%s left at %s notice: %d streams resumed %d times at other daemons, complete byte for byte",
		victim.Name, reclaimNotice, len(answers), resumes), nil
}

// showStatus asks for what operators see at the end.
func (d *demo) showStatus(ctx context.Context) (string, error) {
	status, err := d.tool(ctx, "", "status")
	if err != nil {
		return "", err
	}
	if err := status.check(toolOK); err != nil {
		return "", err
	}
	result, err := d.tool(ctx, "", "burn", "-o", "json")
	if err != nil {
		return "", err
	}
	if err := result.check(toolOK); err != nil {
		return "", err
	}
	var burned burn.Report
	if err := json.Unmarshal([]byte(result.stdout), &burned); err != nil {
		return "", errors.Trace(err)
	}
	goals := []string{}
	for _, class := range burned.Classes {
		for _, g := range class.Goals {
			goals = append(goals, fmt.Sprintf("%s %s %.2f", class.Class, g.Name, g.Burn[0].Rate))
		}
	}
	if len(goals) == 0 {
		return "", errors.New("no burn was recorded")
	}
	return fmt.Sprintf("burn rates over 5 min, merged from %d daemons: %s", len(burned.Daemons), strings.Join(goals, ", ")), nil
}
