package demo

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"rattantide/internal/proc"
)

// moveWorkers keep enough traffic for the evidence of a move.
const moveWorkers = 24

// showGoodMove moves the chat pool to a version that works.
func (d *demo) showGoodMove(ctx context.Context) (string, error) {
	load, err := d.startTraffic(ctx, moveWorkers)
	if err != nil {
		return "", err
	}
	began := time.Now()
	result, err := d.tool(ctx, "", "move", "briefs", "-to", "briefs-v2", "-deadline", "10s", "-name", "good")
	load.stop()
	if err != nil {
		return "", err
	}
	if err := result.check(toolOK); err != nil {
		return "", err
	}
	if load.failed.Load() > 0 {
		return "", errors.Errorf("%d of %d requests failed: %v", load.failed.Load(), load.sent.Load(), load.first)
	}
	version := ""
	err = proc.Eventually(ctx, 5*time.Second, nil, func() (err error) {
		if version, err = d.effective(ctx); err == nil && version != "briefs-v2" {
			err = errors.Errorf("the pool has version %s", version)
		}
		return err
	})
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("done after %.1fs of 10s; %d requests, none failed: %s", time.Since(began).Seconds(), load.sent.Load(), lastLine(result.stdout)), nil
}

// showBadMove moves the chat pool to a version that fails often.
func (d *demo) showBadMove(ctx context.Context) (string, error) {
	for _, address := range d.engineAddresses() {
		fault := map[string]any{"onlyVersion": "briefs-v3", "errorShare": 0.6}
		if err := call(ctx, http.MethodPost, address, "/control/faults", fault, nil); err != nil {
			return "", err
		}
	}
	load, err := d.startTraffic(ctx, moveWorkers)
	if err != nil {
		return "", err
	}
	began := time.Now()
	result, err := d.tool(ctx, "", "move", "briefs", "-to", "briefs-v3", "-deadline", "10s", "-name", "bad")
	took := time.Since(began)
	load.stop()
	if err != nil {
		return "", err
	}
	if err := result.check(toolMoveUndone); err != nil {
		return "", err
	}
	reached, err := d.startsOf(ctx, "briefs-v3")
	if err != nil {
		return "", err
	}
	figures := fmt.Sprintf("undone after %.1fs; %d of %d requests reached it, %d failed for callers: %s",
		took.Seconds(), reached, load.sent.Load(), load.failed.Load(), lastLine(result.stdout))
	if load.failed.Load() > 0 {
		return "", errors.Errorf("%s; first: %v", figures, load.first)
	}
	return figures, nil
}

// startsOf counts the attempts that a version got.
func (d *demo) startsOf(ctx context.Context, version string) (int, error) {
	count := 0
	for _, address := range d.engineAddresses() {
		for _, event := range []string{"start", "error"} {
			entries, err := logOf(ctx, address, event)
			if err != nil {
				return 0, err
			}
			for _, e := range entries {
				if e.Version == version {
					count++
				}
			}
		}
	}
	return count, nil
}

func lastLine(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return lines[len(lines)-1]
}
