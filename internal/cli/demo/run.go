package demo

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"
)

// demoTimeout is the maximum duration of a run without Options.Stay.
const demoTimeout = 60 * time.Second

// demo is one run.
type demo struct {
	options Options
	dir     string
	platform
}

// feature is a feature of the system that the demo demonstrates. demonstrate
// returns the figures to print.
type feature struct {
	name        string
	demonstrate func(context.Context) (string, error)
}

// Run demonstrates every feature and returns an error if one of them fails. With
// Options.Stay it only applies the configuration and leaves all processes running
// until ctx ends. The processes' logs are removed unless Run fails.
func Run(ctx context.Context, options Options) error {
	dir, err := os.MkdirTemp("", "rattantide-demo-")
	if err != nil {
		return errors.Trace(err)
	}
	d := &demo{options: options, dir: dir}
	failed, err := d.run(ctx)
	if err == nil && options.Stay && ctx.Err() == nil {
		d.printConnectionHelp()
		<-ctx.Done()
	}
	d.stop()
	switch {
	case err != nil:
		return errors.Errorf("%v; the logs are in %s", err, dir)
	case failed > 0:
		return errors.Errorf("%d features failed; the logs are in %s", failed, dir)
	}
	return errors.Trace(os.RemoveAll(dir))
}

// run starts the platform and demonstrates the features, and returns how many of
// them failed.
func (d *demo) run(parent context.Context) (failed int, err error) {
	started := time.Now()
	ctx, cancel := context.WithTimeout(parent, demoTimeout)
	defer cancel()
	if err := d.startPlatform(ctx); err != nil {
		return 0, err
	}
	fmt.Fprintf(d.options.Out, "started: object API, instance list, cloud API, weight store, %d engines, %d services, %d daemons\n",
		len(d.engines), len(d.services), len(d.daemons))
	if d.options.Stay {
		_, err := d.showConfiguration(ctx)
		return 0, err
	}
	for _, f := range d.features() {
		start := time.Now()
		figures, err := f.demonstrate(ctx)
		outcome := "ok    "
		if err != nil {
			outcome, figures = "FAILED", err.Error()
			failed++
		}
		fmt.Fprintf(d.options.Out, "%s  %-28s %5.1fs  %s\n", outcome, f.name, time.Since(start).Seconds(), figures)
		if parent.Err() != nil {
			return failed, errors.New("interrupted")
		}
		if ctx.Err() != nil {
			return failed, errors.Errorf("the demo took longer than %s", demoTimeout)
		}
	}
	fmt.Fprintf(d.options.Out, "%d features demonstrated in %s, %d failed\n",
		len(d.features()), time.Since(started).Round(100*time.Millisecond), failed)
	return failed, nil
}

func (d *demo) features() []feature {
	return []feature{
		{"configuration", d.showConfiguration},
		{"entries", d.showEntries},
		{"whole and streamed answers", d.showAnswers},
		{"prefix locality", d.showLocality},
		{"orders at most once", d.showOrders},
		{"lost object API answer", d.showLostAnswer},
		{"good version move", d.showGoodMove},
		{"bad version move", d.showBadMove},
		{"upstream reclaimed", d.showUpstreamReclaim},
		{"daemon reclaimed", d.showDaemonReclaim},
		{"failure domain reclaimed", d.showDomainReclaim},
		{"status and burn", d.showStatus},
	}
}

func (d *demo) printConnectionHelp() {
	entries := d.daemonAddresses()
	fmt.Fprintf(d.options.Out, `
All processes run until Ctrl-C.

  entries      %v
  object API   %s
  operator     export RATTANTIDE_ADDRESS=%s RATTANTIDE_OPERATOR_TOKEN=%s
               rattantide status
  chat         curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' \
                 -d '{"model":"briefs","stream":true,"messages":[{"role":"user","content":"Draft a brief."}]}'
  orders       curl http://%s/orders/dies -H 'Authorization: Bearer %s' -H 'Idempotency-Key: order-1' \
                 -d '{"die":"seal","count":2}'
`, entries, d.objectAPI.Address, strings.Join(entries, ","), operatorToken, entries[0], chatToken, entries[0], ordersToken)
}
