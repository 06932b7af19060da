package combinations

import (
	"context"
	"slices"
	"syscall"
	"time"
)

// noticePeriod is the time between a reclaim notice and the end of the instance.
const noticePeriod = 2 * time.Second

// fault is a kind of failure and the targets that it applies to. end reverts it and
// is nil for a permanent fault.
type fault struct {
	name    string
	targets []string
	start   func(ctx context.Context, f *fleet, target string) error
	end     func(ctx context.Context, f *fleet, target string) error
}

const (
	daemonKilled = "daemon killed"
	daemonFrozen = "daemon frozen"
	engineKilled = "engine killed"
)

// faults are selected by index: adding, removing or reordering entries changes the
// faults of every seed.
var faults = []fault{
	{name: daemonKilled, targets: daemonNames, start: kill},
	{name: daemonFrozen, targets: daemonNames, start: sendSignal(syscall.SIGSTOP), end: sendSignal(syscall.SIGCONT)},
	{name: "daemon stopped", targets: daemonNames, start: sendSignal(syscall.SIGTERM)},
	{name: "daemon reclaimed", targets: daemonNames, start: reclaim},
	{name: engineKilled, targets: engineNames, start: kill},
	{name: "engine reclaimed", targets: engineNames, start: reclaim},
	{name: "engine connections silent", targets: engineNames, start: standinFault(`{"silentConnections":true}`)},
	{
		name: "engine events disordered", targets: engineNames,
		start: standinFault(`{"duplicateShare":0.2,"reorderShare":0.2}`), end: standinFault(`{"duplicateShare":0,"reorderShare":0}`),
	},
	{name: "domain reclaimed", targets: domainNames, start: reclaim},
	{name: "object API down", targets: []string{"objectapi"}, start: standinFault(`{"outage":true}`), end: standinFault(`{"outage":false}`)},
	{name: "object API loses answers", targets: []string{"objectapi"}, start: standinFault(`{"loseAnswers":5}`)},
	{name: "object API slow", targets: []string{"objectapi"}, start: standinFault(`{"slowMs":300}`), end: standinFault(`{"slowMs":0}`)},
	{name: "service closes after executing", targets: serviceNames, start: standinFault(`{"closeAfter":3,"onlyPath":"/orders"}`)},
	{name: "instance list stale", targets: []string{"instances"}, start: standinFault(`{"frozen":true}`)},
}

// kill starts a fault that kills the target's process.
func kill(_ context.Context, f *fleet, target string) error {
	f.process(target).Kill()
	return nil
}

// sendSignal returns a function that sends a signal to the target's process. It has
// no effect if the other fault of the plan has already ended the process.
func sendSignal(s syscall.Signal) func(context.Context, *fleet, string) error {
	return func(_ context.Context, f *fleet, target string) error {
		p := f.process(target)
		if err := p.Signal(s); err != nil && !p.HasExited() {
			return err
		}
		return nil
	}
}

// standinFault returns a function that posts fault switches, a JSON object, to a
// stand-in. It has no effect if the other fault of the plan has already ended the
// process.
func standinFault(switches string) func(context.Context, *fleet, string) error {
	return func(ctx context.Context, f *fleet, target string) error {
		if err := f.postControl(ctx, target, "/control/faults", rawJSON(switches)); err != nil && !f.process(target).HasExited() {
			return err
		}
		return nil
	}
}

// rawJSON is a JSON text that is encoded unchanged.
type rawJSON string

// MarshalJSON implements json.Marshaler.
func (r rawJSON) MarshalJSON() ([]byte, error) { return []byte(r), nil }

// reclaim posts a reclaim notice for an instance or for a whole failure domain and
// kills the affected processes after noticePeriod.
func reclaim(ctx context.Context, f *fleet, target string) error {
	body := map[string]any{"kind": "reclaim", "deadlineMs": noticePeriod.Milliseconds(), "instance": target}
	names := []string{target}
	if slices.Contains(domainNames, target) {
		delete(body, "instance")
		body["domain"] = target
		names = nil
		for name, m := range members {
			if m.domain == target {
				names = append(names, name)
			}
		}
	}
	if err := f.postControl(ctx, "cloud", "/control/notices", body); err != nil {
		return err
	}
	for _, name := range names {
		timer := time.AfterFunc(noticePeriod, f.process(name).Kill)
		f.mu.Lock()
		f.reclaimTimers = append(f.reclaimTimers, timer)
		f.mu.Unlock()
		if err := f.setInstanceState(ctx, name, "leaving"); err != nil {
			return err
		}
	}
	return nil
}
