package harness

import (
	"context"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// cmdLoad starts streams at a steady rate until unload. Arrivals do not wait
// for answers.
func cmdLoad(ts *testscript.TestScript, s *state, args []string) {
	if len(args) < 1 {
		ts.Fatalf("usage: load NAME rate=R key=value...")
	}
	o := parseOptions(ts, args[1:], "rate", "model", "tokens", "prompt", "via", "token", "seed", "whole")
	interval := time.Second / time.Duration(max(o.number("rate", 10), 1))
	build := s.callerBuilder(ts, o)
	ctx, cancel := context.WithTimeout(context.Background(), callerLimit)
	arriving, stop := context.WithCancel(ctx)
	group := &streams{cancel: cancel, stopArrivals: stop}
	s.addStreams(args[0], group)
	group.arrivals.Add(1)
	go func() {
		defer group.arrivals.Done()
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for i := 0; ; i++ {
			group.start(ctx, build(i))
			select {
			case <-arriving.Done():
				return
			case <-ticker.C:
			}
		}
	}()
}

func cmdUnload(ts *testscript.TestScript, s *state, args []string) {
	group := s.streams[only(ts, args)]
	if group == nil || group.stopArrivals == nil {
		ts.Fatalf("no load is named %q", args[0])
	}
	group.stopArrivals()
	group.arrivals.Wait()
	if !until(defaultWait, func() bool { text, _ := group.field("running"); return text == "0" }) {
		s.fail(ts, "load %s: answers are still open", args[0])
	}
	for _, name := range []string{"total", "complete", "refused", "failed", "wrong", "resumes", "versions", "maxgap"} {
		text, _ := group.field(name)
		ts.Logf("%s %s: %s", args[0], name, text)
	}
}
