package harness

import (
	"context"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// cmdLoad implements load: it starts streams at a constant rate until unload. The rate
// does not depend on how fast they are answered.
func cmdLoad(ts *testscript.TestScript, s *scriptState, args []string) {
	if len(args) < 1 {
		ts.Fatalf("usage: load NAME rate=R key=value...")
	}
	o := parseOptions(ts, args[1:], "rate", "model", "tokens", "prompt", "via", "token", "seed", "whole")
	interval := time.Second / time.Duration(max(o.number("rate", 10), 1))
	build := s.callerBuilder(ts, o)
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	arrivalCtx, stop := context.WithCancel(ctx)
	group := &streams{cancel: cancel, stopArrivals: stop}
	s.addStreams(args[0], group)
	group.arrivals.Add(1)
	go func() {
		defer group.arrivals.Done()
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for i := 0; ; i++ {
			group.startCaller(ctx, build(i))
			select {
			case <-arrivalCtx.Done():
				return
			case <-ticker.C:
			}
		}
	}()
}

// cmdUnload implements unload: it stops starting streams, waits for the answers and
// logs the counts.
func cmdUnload(ts *testscript.TestScript, s *scriptState, args []string) {
	group := s.streams[singleName(ts, args)]
	if group == nil || group.stopArrivals == nil {
		ts.Fatalf("unknown load %q", args[0])
	}
	group.stopArrivals()
	group.arrivals.Wait()
	if !pollUntil(defaultTimeout, func() bool { text, _ := group.field("running"); return text == "0" }) {
		s.failWithDiagnostics(ts, "load %s: streams are still running after the time limit", args[0])
	}
	for _, name := range []string{"total", "complete", "refused", "failed", "wrong", "resumes", "versions", "maxgap"} {
		text, _ := group.field(name)
		ts.Logf("%s %s: %s", args[0], name, text)
	}
}
