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

// streams is a group of callers of chat completions.
type streams struct {
	cancel context.CancelFunc
	// stopArrivals ends the arrivals of a load; nil for other groups.
	stopArrivals context.CancelFunc
	arrivals     sync.WaitGroup

	mu      sync.Mutex
	callers []*caller
}

func cmdStream(ts *testscript.TestScript, s *state, args []string) {
	if len(args) < 1 {
		ts.Fatalf("usage: stream NAME key=value...")
	}
	o := parseOptions(ts, args[1:], "n", "model", "tokens", "prompt", "via", "token", "seed", "whole", "id")
	ctx, cancel := context.WithTimeout(context.Background(), callerLimit)
	group := &streams{cancel: cancel}
	s.addStreams(args[0], group)
	build := s.callerBuilder(ts, o)
	for i := range o.number("n", 1) {
		group.start(ctx, build(i))
	}
}

func (s *state) addStreams(name string, group *streams) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams[name] = group
}

// callerBuilder returns a function that makes caller i of a group.
func (s *state) callerBuilder(ts *testscript.TestScript, o *options) func(int) *caller {
	via := ""
	if name := o.text("via", ""); name != "" {
		via = s.find(ts, name).address
	}
	daemons := s.daemons()
	tokens, seed := o.number("tokens", 50), o.number("seed", 1)
	return func(i int) *caller {
		first := via
		if first == "" && len(daemons) > 0 {
			first = daemons[i%len(daemons)]
		}
		id := o.text("id", uuid.NewString())
		return &caller{
			state: s, id: id, token: o.text("token", workspaceToken), model: o.text("model", "draft"), via: first,
			whole: o.text("whole", "") != "", tokens: tokens, seed: int64(seed + i),
			message:  []engineclient.Message{{Role: "user", Content: o.text("prompt", "draft a brief") + " " + strconv.Itoa(i)}},
			versions: map[string]bool{}, trace: map[string]string{}, phase: running,
		}
	}
}

func (g *streams) start(ctx context.Context, c *caller) {
	g.mu.Lock()
	g.callers = append(g.callers, c)
	g.mu.Unlock()
	go c.run(ctx)
}

// field returns a figure of the group.
func (g *streams) field(name string) (string, error) {
	count := map[phase]int{}
	wrong, resumes, tokens, versions := 0, 0, int64(-1), map[string]bool{}
	var gap time.Duration
	g.mu.Lock()
	callers := append([]*caller(nil), g.callers...)
	g.mu.Unlock()
	for _, c := range callers {
		c.mu.Lock()
		count[c.phase]++
		wrong += c.wrong
		resumes += c.resumes
		if tokens < 0 || c.last < tokens {
			tokens = c.last
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
		return strconv.Itoa(count[phase(name)]), nil
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
	return "", fmt.Errorf("no figure %q", name)
}

// reasons counts why callers have no complete answer.
func (g *streams) reasons() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := map[string]int{}
	for _, c := range g.callers {
		c.mu.Lock()
		if c.phase != complete {
			out[fmt.Sprint(c.phase, " ", c.reason, " ", c.id, " ", c.trace)]++
		}
		c.mu.Unlock()
	}
	return out
}
