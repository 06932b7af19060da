package demo

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"
)

// limit bounds a demo that does not stay.
const limit = 60 * time.Second

// demo is one run.
type demo struct {
	options Options
	dir     string
	platform
}

// feature is one thing that the demo shows.
type feature struct {
	name string
	show func(context.Context) (string, error)
}

// Run shows every feature and returns an error when one of them failed. With
// Options.Stay it only applies the configuration and keeps everything up until ctx
// ends.
func Run(ctx context.Context, options Options) error {
	dir, err := os.MkdirTemp("", "rattantide-demo-")
	if err != nil {
		return errors.Trace(err)
	}
	d := &demo{options: options, dir: dir}
	failed, err := d.run(ctx)
	if err == nil && options.Stay && ctx.Err() == nil {
		d.explainStay()
		<-ctx.Done()
	}
	d.stop()
	switch {
	case err != nil:
		return errors.Errorf("%v; logs are in %s", err, dir)
	case failed > 0:
		return errors.Errorf("%d features failed; logs are in %s", failed, dir)
	}
	return errors.Trace(os.RemoveAll(dir))
}

func (d *demo) run(parent context.Context) (failed int, err error) {
	started := time.Now()
	ctx, cancel := context.WithTimeout(parent, limit)
	defer cancel()
	if err := d.start(ctx); err != nil {
		return 0, err
	}
	fmt.Fprintf(d.options.Out, "started: object API, instance list, cloud API, weight store, %d engines, %d services, %d daemons\n",
		len(d.engines), len(d.services), len(d.daemons))
	if d.options.Stay {
		_, err := d.showConfiguration(ctx)
		return 0, err
	}
	for _, f := range d.features() {
		began := time.Now()
		figures, err := f.show(ctx)
		outcome := "ok    "
		if err != nil {
			outcome, figures = "FAILED", err.Error()
			failed++
		}
		fmt.Fprintf(d.options.Out, "%s  %-28s %5.1fs  %s\n", outcome, f.name, time.Since(began).Seconds(), figures)
		if parent.Err() != nil {
			return failed, errors.New("interrupted")
		}
		if ctx.Err() != nil {
			return failed, errors.Errorf("the features took longer than %s", limit)
		}
	}
	fmt.Fprintf(d.options.Out, "%d features shown in %s, %d failed\n",
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

func (d *demo) explainStay() {
	entries := d.daemonAddresses()
	fmt.Fprintf(d.options.Out, `
Everything stays up until Ctrl-C.

  entries      %v
  object API   %s
  operator     export RATTANTIDE_ADDRESS=%s RATTANTIDE_OPERATOR_TOKEN=%s
               rattantide status
  chat         curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' \
                 -d '{"model":"briefs","stream":true,"messages":[{"role":"user","content":"Draft a brief."}]}'
  orders       curl http://%s/orders/dies -H 'Authorization: Bearer %s' -H 'Idempotency-Key: order-1' \
                 -d '{"die":"seal","count":2}'
`, entries, d.objectAPI.Address, strings.Join(entries, ","), operatorToken, entries[0], chatToken, entries[0], appToken)
}
