package harness

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"

	"rattantide/internal/engineclient"
)

// streams is a group of callers of chat completions, started by one stream or load
// command.
type streams struct {
	cancel context.CancelFunc
	// stopArrivals stops a load from starting further streams, and arrivals waits for
	// the goroutine that starts them. stopArrivals is nil for groups of the stream
	// command.
	stopArrivals context.CancelFunc
	arrivals     sync.WaitGroup

	mu      sync.Mutex
	callers []*caller
}

// cmdStream implements stream: it sends chat completions in the background.
func cmdStream(ts *testscript.TestScript, s *scriptState, args []string) {
	if len(args) < 1 {
		ts.Fatalf("usage: stream NAME key=value...")
	}
	o := parseOptions(ts, args[1:], "n", "model", "tokens", "prompt", "via", "token", "seed", "whole", "id")
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	group := &streams{cancel: cancel}
	s.addStreams(args[0], group)
	build := s.callerBuilder(ts, o)
	for i := range o.number("n", 1) {
		group.startCaller(ctx, build(i))
	}
}

func (s *scriptState) addStreams(name string, group *streams) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams[name] = group
}

// callerBuilder returns a function that creates caller i of a group.
func (s *scriptState) callerBuilder(ts *testscript.TestScript, o *options) func(int) *caller {
	via := ""
	if name := o.text("via", ""); name != "" {
		via = s.mustProcess(ts, name).address
	}
	daemons := s.daemonAddresses()
	tokens, seed := o.number("tokens", 50), o.number("seed", 1)
	return func(i int) *caller {
		first := via
		if first == "" && len(daemons) > 0 {
			first = daemons[i%len(daemons)]
		}
		id := o.text("id", uuid.NewString())
		return &caller{
			state: s, id: id, token: o.text("token", workspaceToken), model: o.text("model", "draft"), preferredEntry: first,
			isUnstreamed: o.text("whole", "") != "", maxTokens: tokens, seed: int64(seed + i),
			messages: []engineclient.Message{{Role: "user", Content: o.text("prompt", "draft a brief") + " " + strconv.Itoa(i)}},
			versions: map[string]bool{}, lastResults: map[string]string{}, phase: phaseRunning,
		}
	}
}

// startCaller adds a caller to the group and runs it in the background.
func (g *streams) startCaller(ctx context.Context, c *caller) {
	g.mu.Lock()
	g.callers = append(g.callers, c)
	g.mu.Unlock()
	go c.run(ctx)
}

// field returns the value of a field of a stream condition. "tokens" is the lowest
// number of the last event among the callers, and "maxgap" the longest time between two
// events in milliseconds.
func (g *streams) field(name string) (string, error) {
	counts := map[phase]int{}
	wrong, resumes, tokens, versions := 0, 0, int64(-1), map[string]bool{}
	var gap time.Duration
	g.mu.Lock()
	callers := append([]*caller(nil), g.callers...)
	g.mu.Unlock()
	for _, c := range callers {
		c.mu.Lock()
		counts[c.phase]++
		wrong += c.mismatches
		resumes += c.resumes
		if tokens < 0 || c.lastEvent < tokens {
			tokens = c.lastEvent
		}
		for v := range c.versions {
			versions[v] = true
		}
		gap = max(gap, c.maxGap)
		c.mu.Unlock()
	}
	switch name {
	case "total":
		return strconv.Itoa(len(callers)), nil
	case "running", "complete", "refused", "failed":
		return strconv.Itoa(counts[phase(name)]), nil
	case "wrong":
		return strconv.Itoa(wrong), nil
	case "resumes":
		return strconv.Itoa(resumes), nil
	case "tokens":
		return strconv.FormatInt(tokens, 10), nil
	case "versions":
		return strconv.Itoa(len(versions)), nil
	case "maxgap":
		return strconv.FormatInt(gap.Milliseconds(), 10), nil
	}
	return "", fmt.Errorf("unknown stream field %q", name)
}

// failureCounts counts the callers without a complete answer by phase, reason, request
// ID and last results.
func (g *streams) failureCounts() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := map[string]int{}
	for _, c := range g.callers {
		c.mu.Lock()
		if c.phase != phaseComplete {
			out[fmt.Sprint(c.phase, " ", c.reason, " ", c.id, " ", c.lastResults)]++
		}
		c.mu.Unlock()
	}
	return out
}
