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

// orderAnswer is the end of one order.
type orderAnswer struct {
	status   int
	body     string
	replayed bool
}

func (d *demo) order(ctx context.Context, address, key, body string) (orderAnswer, error) {
	c := d.caller(appToken)
	response, err := c.send(ctx, http.MethodPost, address, "/orders/dies", http.Header{"Idempotency-Key": {key}}, []byte(body))
	if err != nil {
		return orderAnswer{}, errors.Annotate(err, key)
	}
	content, err := readAll(response)
	return orderAnswer{
		status: response.StatusCode, body: string(content), replayed: response.Header.Get("Idempotency-Replayed") == "true",
	}, errors.Annotate(err, key)
}

// executions counts executed calls by idempotency key over all instances.
func (d *demo) executions(ctx context.Context) (map[string]int, error) {
	counts := map[string]int{}
	for _, address := range d.serviceAddresses() {
		entries, err := logOf(ctx, address, "executed")
		if err != nil {
			return nil, err
		}
		for _, e := range entries {
			counts[e.Key]++
		}
	}
	return counts, nil
}

// showOrders sends each order through two daemons at the same time.
func (d *demo) showOrders(ctx context.Context) (string, error) {
	const count = 40
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(16)
	entries := d.daemonAddresses()
	answers := make([][2]orderAnswer, count)
	for i := range count {
		for n := range 2 {
			group.Go(func() (err error) {
				answers[i][n], err = d.order(groupCtx, entries[(i+n)%len(entries)], fmt.Sprintf("die-%d", i), fmt.Sprintf(`{"die":%d}`, i))
				return err
			})
		}
	}
	if err := group.Wait(); err != nil {
		return "", err
	}
	executed, err := d.executions(ctx)
	if err != nil {
		return "", err
	}
	replayed := 0
	for i, pair := range answers {
		key := fmt.Sprintf("die-%d", i)
		if pair[0].status != http.StatusOK || pair[1].status != http.StatusOK || pair[0].body != pair[1].body {
			return "", errors.Errorf("%s: the answers are %d %s and %d %s", key, pair[0].status, pair[0].body, pair[1].status, pair[1].body)
		}
		if executed[key] != 1 {
			return "", errors.Errorf("%s was executed %d times", key, executed[key])
		}
		for _, a := range pair {
			if a.replayed {
				replayed++
			}
		}
	}
	reused, err := d.order(ctx, entries[0], "die-0", `{"die":"another"}`)
	if err != nil {
		return "", err
	}
	if reused.status != http.StatusUnprocessableEntity {
		return "", errors.Errorf("a reused key with another body got %d %s", reused.status, reused.body)
	}
	return fmt.Sprintf("%d keys sent through two daemons at once: %d executions, %d replayed answers; a reused key was refused",
		count, count, replayed), nil
}

// showLostAnswer loses answers of the object API to writes that took effect.
func (d *demo) showLostAnswer(ctx context.Context) (string, error) {
	fault := func(kind string) error {
		return call(ctx, http.MethodPost, d.objectAPI.Address, "/control/faults", map[string]any{"loseAnswers": 1, "loseKind": kind}, nil)
	}
	if err := fault("intentlog"); err != nil {
		return "", err
	}
	began := time.Now()
	got, err := d.order(ctx, d.daemonAddresses()[0], "lost-1", `{"die":"seal"}`)
	if err != nil {
		return "", err
	}
	took := time.Since(began)
	executed, err := d.executions(ctx)
	if err != nil {
		return "", err
	}
	if got.status != http.StatusOK || executed["lost-1"] != 1 {
		return "", errors.Errorf("the order got %d %s and was executed %d times", got.status, got.body, executed["lost-1"])
	}
	if err := fault("Class"); err != nil {
		return "", err
	}
	result, err := d.tool(ctx, "kind: Class\nname: spare\nspec: {target: {answer: 1s}}\n", "apply", "-f", "-")
	if err != nil {
		return "", err
	}
	if err := result.check(toolOK); err != nil {
		return "", err
	}
	var left struct{ LoseAnswers int }
	if err := call(ctx, http.MethodGet, d.objectAPI.Address, "/control/faults", nil, &left); err != nil {
		return "", err
	}
	if left.LoseAnswers != 0 {
		return "", errors.New("no write met the fault")
	}
	var order struct{ Execution int }
	_ = json.Unmarshal([]byte(got.body), &order)
	return fmt.Sprintf("order answered in %d ms and executed once, and an apply was confirmed, although both writes lost their answer",
		took.Milliseconds()), nil
}
