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

// moveWorkers is the number of workers that send requests during a move. It is large
// enough to provide the evidence that the move needs.
const moveWorkers = 24

// showGoodMove moves the chat pool to a version without faults.
func (d *demo) showGoodMove(ctx context.Context) (string, error) {
	background, err := d.startTraffic(ctx, moveWorkers)
	if err != nil {
		return "", err
	}
	start := time.Now()
	result, err := d.runTool(ctx, "", "move", "briefs", "-to", "briefs-v2", "-deadline", "10s", "-name", "good")
	background.stop()
	if err != nil {
		return "", err
	}
	if err := result.check(toolOK); err != nil {
		return "", err
	}
	if background.failed.Load() > 0 {
		return "", errors.Errorf("%d of %d requests failed: %v", background.failed.Load(), background.sent.Load(), background.firstErr)
	}
	version := ""
	err = proc.Eventually(ctx, 5*time.Second, nil, func() (err error) {
		if version, err = d.chatPoolVersion(ctx); err == nil && version != "briefs-v2" {
			err = errors.Errorf("the pool has version %s, expected briefs-v2", version)
		}
		return err
	})
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("done after %.1fs of 10s; %d requests, none failed: %s", time.Since(start).Seconds(), background.sent.Load(), lastLine(result.stdout)), nil
}

// showBadMove moves the chat pool to a version that fails 60% of its requests.
func (d *demo) showBadMove(ctx context.Context) (string, error) {
	for _, address := range d.engineAddresses() {
		fault := map[string]any{"onlyVersion": "briefs-v3", "errorShare": 0.6}
		if err := callJSON(ctx, http.MethodPost, address, "/control/faults", fault, nil); err != nil {
			return "", err
		}
	}
	background, err := d.startTraffic(ctx, moveWorkers)
	if err != nil {
		return "", err
	}
	start := time.Now()
	result, err := d.runTool(ctx, "", "move", "briefs", "-to", "briefs-v3", "-deadline", "10s", "-name", "bad")
	duration := time.Since(start)
	background.stop()
	if err != nil {
		return "", err
	}
	if err := result.check(toolMoveUndone); err != nil {
		return "", err
	}
	attempts, err := d.countAttempts(ctx, "briefs-v3")
	if err != nil {
		return "", err
	}
	figures := fmt.Sprintf("undone after %.1fs; the version received %d attempts of %d requests, %d failed for callers: %s",
		duration.Seconds(), attempts, background.sent.Load(), background.failed.Load(), lastLine(result.stdout))
	if background.failed.Load() > 0 {
		return "", errors.Errorf("%s; first error: %v", figures, background.firstErr)
	}
	return figures, nil
}

// countAttempts returns the number of attempts that engines of a version received.
func (d *demo) countAttempts(ctx context.Context, version string) (int, error) {
	count := 0
	for _, address := range d.engineAddresses() {
		for _, event := range []string{"start", "error"} {
			entries, err := executionLog(ctx, address, event)
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
