package demo

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/juju/errors"
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

// reclaimDuring runs streams, reclaims an instance in the middle and kills it
// at the end of the notice.
func (d *demo) reclaimDuring(ctx context.Context, entry string, chats []chat, victim *process) ([]*answer, error) {
	version, err := d.effective(ctx)
	if err != nil {
		return nil, err
	}
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
	if err := d.notify(ctx, victim.name, reclaimNotice); err != nil {
		return nil, err
	}
	select {
	case <-victim.ended:
	case <-time.After(reclaimNotice):
	}
	victim.kill()
	if err := call(ctx, http.MethodDelete, d.instances.address, "/control/instances/"+victim.name, nil, nil); err != nil {
		return nil, err
	}
	result := <-done
	return result.answers, result.err
}

// untilBusy waits until the daemons hold that many requests.
func (d *demo) untilBusy(ctx context.Context, want int) error {
	return eventually(ctx, 10*time.Second, func() error {
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
	chats := longChats("engine-reclaim")
	d.mu.Lock()
	engines := append([]*process(nil), d.engines...)
	d.mu.Unlock()
	version, err := d.effective(ctx)
	if err != nil {
		return "", err
	}
	var victim *process
	for _, e := range engines {
		var load struct{ Version string }
		if err := call(ctx, http.MethodGet, e.address, "/v1/load", nil, &load); err != nil {
			return "", err
		}
		if load.Version == version {
			victim = e
		}
	}
	if victim == nil {
		return "", errors.Errorf("no engine has version %s", version)
	}
	// References must not come from the engine that goes away.
	d.mu.Lock()
	d.engines = without(d.engines, victim.name)
	d.mu.Unlock()
	answers, err := d.reclaimDuring(ctx, "", chats, victim)
	if err != nil {
		return "", err
	}
	if err := d.startEngine(ctx, victim.name+"-new", victim.name[len("engine-"):len("engine-")+1], version); err != nil {
		return "", err
	}
	moved, err := d.movedStreams(ctx, chats, engines)
	if err != nil {
		return "", err
	}
	if moved == 0 {
		return "", errors.Errorf("no stream was on %s, so nothing was shown", victim.name)
	}
	return fmt.Sprintf("%s left at %s notice: %d streams complete byte for byte, %d of them moved to another engine",
		victim.name, reclaimNotice, len(answers), moved), nil
}

// movedStreams counts requests that started on more than one engine.
func (d *demo) movedStreams(ctx context.Context, chats []chat, engines []*process) (int, error) {
	started := map[string]int{}
	for _, e := range engines {
		select {
		case <-e.ended:
			continue // Its log went with it; its successors show the move.
		default:
		}
		entries, err := logOf(ctx, e.address, "start")
		if err != nil {
			return 0, err
		}
		for _, entry := range entries {
			if entry.Attempt != "1" && entry.Attempt != "" {
				started[entry.RequestID]++
			}
		}
	}
	moved := 0
	for _, q := range chats {
		if started[q.id] > 0 {
			moved++
		}
	}
	return moved, nil
}

// showDaemonReclaim reclaims a daemon while all streams go through it.
func (d *demo) showDaemonReclaim(ctx context.Context) (string, error) {
	chats := longChats("daemon-reclaim")
	d.mu.Lock()
	victim := d.daemons[len(d.daemons)-1]
	d.mu.Unlock()
	entry := victim.address
	answers, err := d.reclaimDuring(ctx, entry, chats, victim)
	d.mu.Lock()
	d.daemons = without(d.daemons, victim.name)
	d.mu.Unlock()
	if err != nil {
		return "", err
	}
	resumes := 0
	for _, a := range answers {
		resumes += a.resumes
	}
	if resumes == 0 {
		return "", errors.New("no stream was resumed, so nothing was shown")
	}
	if err := d.startDaemon(ctx, victim.name+"-new", domains[len(domains)-1], len(domains)-1); err != nil {
		return "", err
	}
	return fmt.Sprintf("%s left at %s notice: %d streams resumed %d times at other daemons, complete byte for byte",
		victim.name, reclaimNotice, len(answers), resumes), nil
}

// showStatus prints what operators see at the end.
func (d *demo) showStatus(ctx context.Context) (string, error) {
	var rows int
	for _, args := range [][]string{{"status"}, {"burn"}} {
		result, err := d.tool(ctx, "", args...)
		if err != nil {
			return "", err
		}
		if err := result.check(toolOK); err != nil {
			return "", err
		}
		fmt.Fprintln(d.options.Err, result.stdout)
		rows += len(result.stdout)
	}
	return fmt.Sprintf("status of %d daemons and merged burn printed (%d bytes)", len(d.daemonAddresses()), rows), nil
}
