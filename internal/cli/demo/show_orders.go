package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"
)

// orderResult is the response to one order.
type orderResult struct {
	status   int
	body     string
	replayed bool
}

// sendOrder sends an order to the daemon at address with an idempotency key.
func (d *demo) sendOrder(ctx context.Context, address, key, body string) (orderResult, error) {
	c := d.newAPICaller(ordersToken)
	response, err := c.send(ctx, http.MethodPost, address, "/orders/dies", http.Header{"Idempotency-Key": {key}}, []byte(body))
	if err != nil {
		return orderResult{}, errors.Annotate(err, key)
	}
	content, err := readBody(response)
	return orderResult{
		status: response.StatusCode, body: string(content), replayed: response.Header.Get("Idempotency-Replayed") == "true",
	}, errors.Annotate(err, key)
}

// countExecutions returns the number of executed calls by idempotency key, over
// all services.
func (d *demo) countExecutions(ctx context.Context) (map[string]int, error) {
	counts := map[string]int{}
	for _, address := range d.serviceAddresses() {
		entries, err := executionLog(ctx, address, "executed")
		if err != nil {
			return nil, err
		}
		for _, e := range entries {
			counts[e.Key]++
		}
	}
	return counts, nil
}

// showOrders sends each order through two daemons at the same time and expects
// one execution and two equal responses.
func (d *demo) showOrders(ctx context.Context) (string, error) {
	const count = 40
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(16)
	entries := d.daemonAddresses()
	answers := make([][2]orderResult, count)
	for i := range count {
		for n := range 2 {
			group.Go(func() (err error) {
				answers[i][n], err = d.sendOrder(groupCtx, entries[(i+n)%len(entries)], fmt.Sprintf("die-%d", i), fmt.Sprintf(`{"die":%d}`, i))
				return err
			})
		}
	}
	if err := group.Wait(); err != nil {
		return "", err
	}
	executed, err := d.countExecutions(ctx)
	if err != nil {
		return "", err
	}
	replayed := 0
	for i, pair := range answers {
		key := fmt.Sprintf("die-%d", i)
		if pair[0].status != http.StatusOK || pair[1].status != http.StatusOK || pair[0].body != pair[1].body {
			return "", errors.Errorf("%s: expected two equal responses with status 200, got %d %s and %d %s", key, pair[0].status, pair[0].body, pair[1].status, pair[1].body)
		}
		if executed[key] != 1 {
			return "", errors.Errorf("%s was executed %d times, expected once", key, executed[key])
		}
		for _, a := range pair {
			if a.replayed {
				replayed++
			}
		}
	}
	reused, err := d.sendOrder(ctx, entries[0], "die-0", `{"die":"another"}`)
	if err != nil {
		return "", err
	}
	if reused.status != http.StatusUnprocessableEntity {
		return "", errors.Errorf("a reused key with another body must be refused with status 422, but returned %d %s", reused.status, reused.body)
	}
	return fmt.Sprintf("%d keys sent through two daemons at once: %d executions, %d replayed answers; a reused key was refused",
		count, count, replayed), nil
}

// showLostAnswer makes the object API drop responses to writes that took effect.
func (d *demo) showLostAnswer(ctx context.Context) (string, error) {
	fault := func(kind string) error {
		return callJSON(ctx, http.MethodPost, d.objectAPI.Address, "/control/faults", map[string]any{"loseAnswers": 1, "loseKind": kind}, nil)
	}
	if err := fault("intentlog"); err != nil {
		return "", err
	}
	start := time.Now()
	response, err := d.sendOrder(ctx, d.daemonAddresses()[0], "lost-1", `{"die":"seal"}`)
	if err != nil {
		return "", err
	}
	duration := time.Since(start)
	executed, err := d.countExecutions(ctx)
	if err != nil {
		return "", err
	}
	if response.status != http.StatusOK || executed["lost-1"] != 1 {
		return "", errors.Errorf("the order must return status 200 and be executed once, but returned %d %s and was executed %d times", response.status, response.body, executed["lost-1"])
	}
	if err := fault("Class"); err != nil {
		return "", err
	}
	result, err := d.runTool(ctx, "kind: Class\nname: spare\nspec: {target: {answer: 1s}}\n", "apply", "-f", "-")
	if err != nil {
		return "", err
	}
	if err := result.check(toolOK); err != nil {
		return "", err
	}
	var remaining struct{ LoseAnswers int }
	if err := callJSON(ctx, http.MethodGet, d.objectAPI.Address, "/control/faults", nil, &remaining); err != nil {
		return "", err
	}
	if remaining.LoseAnswers != 0 {
		return "", errors.New("no write triggered the fault")
	}
	var order struct{ Execution int }
	_ = json.Unmarshal([]byte(response.body), &order)
	return fmt.Sprintf("order answered in %d ms and executed once, and an apply was confirmed, although the answers to both writes were lost",
		duration.Milliseconds()), nil
}
