package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// graceAfter is the grace time once the settings have changed; before, it is 8 s.
	graceAfter = 16 * time.Second
	// settleTime is the time between the change of the settings and the SIGTERM.
	settleTime = 10 * time.Second
	// The streams have pauses within the route's gapTargetMs and end within its timeoutMs.
	longEvents   = 56
	longInterval = 180 * time.Millisecond
	longStreams  = 10
	// sentBefore is how long before the SIGTERM the streams are sent.
	sentBefore = 300 * time.Millisecond
	// lateSlack is how long a stream may take beyond its events.
	lateSlack = time.Second
)

// playGrace changes graceS in a settings file, tells the gateway by SIGHUP, and later stops it
// by SIGTERM while streams pass through it that end well before the new grace time. Without
// trouble, the settings have that grace time from the start, and the rest is the same.
func playGrace(l *lab, trouble bool) (bool, error) {
	r, err := startRunner(l, "i-1", "llm", longEvents, longInterval, 0)
	if err != nil {
		return false, err
	}
	storeChatConfig(l, 1, chatTenants())
	if !trouble {
		// Without the change, the settings have the same grace time from the start.
		l.graceSeconds = int(graceAfter.Seconds())
	}
	if err := l.startGateways(gatewayCount); err != nil {
		return false, err
	}
	g := l.gateways[0]
	if trouble {
		if err := g.changeSettings("graceS = 8\n", "graceS = 16\n"); err != nil {
			return false, err
		}
		g.signal(syscall.SIGHUP)
	}
	time.Sleep(settleTime)
	var group sync.WaitGroup
	chats := make([]*chat, longStreams)
	endedAt := make([]time.Time, longStreams)
	sentAt := time.Now()
	for i := range chats {
		group.Go(func() {
			chats[i] = l.sendChatTo(fmt.Sprintf("g%06x", i), g.address(frontPort), key)
			endedAt[i] = time.Now()
		})
	}
	time.Sleep(sentBefore)
	termAt := time.Now()
	g.signal(syscall.SIGTERM)
	group.Go(func() {
		// The platform sends SIGKILL at the end of the grace time.
		if !g.waitExit(graceAfter) {
			g.signal(syscall.SIGKILL)
		}
		l.record.say("%s ended %.1f s after its SIGTERM", g.name, time.Since(termAt).Seconds())
	})
	group.Wait()
	lost := 0
	for i, c := range chats {
		run := r.run(c.id)
		if c.status == 200 && c.ended == nil && run != nil && c.body == run.body {
			continue
		}
		// An answer or refusal of any status is not lost; a runner that is still at work in the
		// last sixth of the grace time excuses the loss, which these end long before.
		if c.status >= 300 && c.ended == nil {
			continue
		}
		lost++
		l.record.say("LOST: %s, sent %.1f s before the SIGTERM, was cut off %.1f s after it with %d bytes of the answer: %v", c.id, termAt.Sub(sentAt).Seconds(), endedAt[i].Sub(termAt).Seconds(), len(c.body), c.ended)
	}
	longest := time.Duration(longEvents)*longInterval + lateSlack
	l.record.say("%d of %d streams lost; their runs take %v, and the last sixth of the grace time begins %.1f s after the SIGTERM", lost, longStreams, longest-lateSlack, (graceAfter - graceAfter/6).Seconds())
	return lost > 0, nil
}

// changeSettings replaces a line of the settings file.
func (g *gateway) changeSettings(before, after string) error {
	text, err := os.ReadFile(g.settings)
	if err != nil {
		return err
	}
	if !strings.Contains(string(text), before) {
		return fmt.Errorf("the settings have no %q", before)
	}
	next := strings.Replace(string(text), before, after, 1)
	// The file is replaced at once, so that the gateway never reads half of it.
	if err := os.WriteFile(g.settings+".new", []byte(next), 0o600); err != nil {
		return err
	}
	g.lab.record.add("%s: settings file changed from %q to %q", g.name, before, after)
	return os.Rename(g.settings+".new", g.settings)
}
