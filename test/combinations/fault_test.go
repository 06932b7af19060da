package combinations

import (
	"context"
	"slices"
	"syscall"
	"time"
)

// notice is how long before its end a reclaimed instance is told.
const notice = 2 * time.Second

// fault is a kind of failure. end is nil for one that does not end by itself.
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

// faults are chosen by their index, so that a change of the list changes what
// the seeds mean.
var faults = []fault{
	{name: daemonKilled, targets: daemonNames, start: kill},
	{name: daemonFrozen, targets: daemonNames, start: signal(syscall.SIGSTOP), end: signal(syscall.SIGCONT)},
	{name: "daemon stopped", targets: daemonNames, start: signal(syscall.SIGTERM)},
	{name: "daemon reclaimed", targets: daemonNames, start: reclaim},
	{name: engineKilled, targets: engineNames, start: kill},
	{name: "engine reclaimed", targets: engineNames, start: reclaim},
	{name: "engine connections silent", targets: engineNames, start: switched(`{"silentConnections":true}`)},
	{
		name: "engine events disordered", targets: engineNames,
		start: switched(`{"duplicateShare":0.2,"reorderShare":0.2}`), end: switched(`{"duplicateShare":0,"reorderShare":0}`),
	},
	{name: "domain reclaimed", targets: domainNames, start: reclaim},
	{name: "object API down", targets: []string{"objectapi"}, start: switched(`{"outage":true}`), end: switched(`{"outage":false}`)},
	{name: "object API loses answers", targets: []string{"objectapi"}, start: switched(`{"loseAnswers":5}`)},
	{name: "object API slow", targets: []string{"objectapi"}, start: switched(`{"slowMs":300}`), end: switched(`{"slowMs":0}`)},
	{name: "service closes after executing", targets: serviceNames, start: switched(`{"closeAfter":3,"onlyPath":"/orders"}`)},
	{name: "instance list stale", targets: []string{"instances"}, start: switched(`{"frozen":true}`)},
}

func kill(_ context.Context, f *fleet, target string) error {
	f.process(target).Kill()
	return nil
}

// signal returns a fault that has no effect on a process that the other fault
// has ended.
func signal(s syscall.Signal) func(context.Context, *fleet, string) error {
	return func(_ context.Context, f *fleet, target string) error {
		p := f.process(target)
		if err := p.Signal(s); err != nil && !p.Exited() {
			return err
		}
		return nil
	}
}

// switched returns a fault of a stand-in. It has no effect on one that the other
// fault has ended.
func switched(switches string) func(context.Context, *fleet, string) error {
	return func(ctx context.Context, f *fleet, target string) error {
		if err := f.control(ctx, target, "/control/faults", rawJSON(switches)); err != nil && !f.process(target).Exited() {
			return err
		}
		return nil
	}
}

type rawJSON string

// MarshalJSON implements json.Marshaler.
func (r rawJSON) MarshalJSON() ([]byte, error) { return []byte(r), nil }

// reclaim gives notice of an instance or a whole failure domain and takes it
// away at the end of the notice.
func reclaim(ctx context.Context, f *fleet, target string) error {
	message := map[string]any{"kind": "reclaim", "deadlineMs": notice.Milliseconds(), "instance": target}
	leaving := []string{target}
	if slices.Contains(domainNames, target) {
		delete(message, "instance")
		message["domain"] = target
		leaving = nil
		for name, m := range members {
			if m.domain == target {
				leaving = append(leaving, name)
			}
		}
	}
	if err := f.control(ctx, "cloud", "/control/notices", message); err != nil {
		return err
	}
	for _, name := range leaving {
		timer := time.AfterFunc(notice, f.process(name).Kill)
		f.mu.Lock()
		f.reclaims = append(f.reclaims, timer)
		f.mu.Unlock()
		if err := f.list(ctx, name, "leaving"); err != nil {
			return err
		}
	}
	return nil
}
