package main

import (
	"fmt"
	"os"
	"syscall"
	"time"
)

// Case "grace": the platform writes settings with a longer graceS and sends SIGHUP. Later it
// stops one daemon: SIGTERM, and SIGKILL after the graceS that the settings have now.
const (
	graceDaemons = 3
	// firstGrace is the graceS of the pages, newGrace the one that the settings have later.
	firstGrace = 8 * time.Second
	newGrace   = 16 * time.Second
	// Each stream lasts streamEvents * streamInterval: 11.2 s, within its time limit of 15 s.
	streamEvents   = 56
	streamInterval = 200 * time.Millisecond
	// streamCount streams are opened at each daemon in the streamSpan before SIGTERM.
	streamCount = 20
	streamSpan  = 2 * time.Second
	// adoptTime is the time between SIGHUP and the first stream. It exceeds the interval at
	// which daemons read their settings without a signal.
	adoptTime = 8 * time.Second
)

func playGrace(d *deployment, rec *record, trouble bool) (bool, error) {
	var runners []*streamRunner
	for i := range 3 {
		r, err := startStreamRunner(fmt.Sprintf("i-%d", i+1), streamEvents, streamInterval, rec)
		if err != nil {
			return false, err
		}
		runners = append(runners, r)
		d.register(r.id, "seal-llm", r.address(), 128)
	}
	d.writeManifest([]map[string]any{{"name": "seal-llm", "healthPath": "/health", "maxConns": 630, "engine": map[string]any{"slots": 128, "kvCapacity": 1073273}}},
		route{"chat", "seal-llm", "streaming", 1, 15 * time.Second, 300 * time.Millisecond})
	d.grace = firstGrace
	if !trouble {
		d.grace = newGrace
	}
	if err := d.startDaemons(graceDaemons); err != nil {
		return false, err
	}
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	if trouble {
		d.grace = newGrace
		for _, m := range d.daemons {
			if err := os.WriteFile(m.settings, []byte(d.settingsOf(m)), 0o600); err != nil {
				return false, err
			}
			_ = m.process.Signal(syscall.SIGHUP)
		}
		rec.say("settings with graceS %g were written; SIGHUP", newGrace.Seconds())
	}
	time.Sleep(adoptTime)
	c := newClients(d, rec, 15*time.Second)
	for range streamCount {
		for i := range d.daemons {
			c.send("POST", "/chat/1", i)
		}
		time.Sleep(streamSpan / streamCount)
	}
	stopped := d.daemons[0]
	termAt := time.Now()
	_ = stopped.process.Signal(syscall.SIGTERM)
	rec.say("SIGTERM to %s", stopped.name)
	kill := time.AfterFunc(newGrace, func() {
		if !stopped.process.HasExited() {
			rec.say("SIGKILL to %s", stopped.name)
		}
		stopped.process.Kill()
	})
	defer kill.Stop()
	c.open.Wait()
	for _, line := range append(d.logLines("settings reloaded"), d.logLines("daemon stopped")...) {
		rec.add("%s", line)
	}
	lastSixth := termAt.Add(newGrace * 5 / 6)
	lost := 0
	for _, a := range c.between(time.Time{}, time.Now()) {
		if a.status == 200 || a.daemon != stopped.name {
			continue
		}
		for _, r := range runners {
			// A request at which its runner still worked in the last sixth does not count.
			if end, ran := r.workEnd(a.id); ran && !end.IsZero() && end.Before(lastSixth) {
				lost++
				rec.add("lost: %s, sent %.1f s before SIGTERM, cut %.1f s after it", a.id, termAt.Sub(a.sentAt).Seconds(), a.endedAt.Sub(termAt).Seconds())
			}
		}
	}
	others := 0
	for _, a := range c.between(time.Time{}, time.Now()) {
		if a.daemon != stopped.name && a.status != 200 {
			others++
		}
	}
	rec.say("%d of %d streams that %s had passed on ended without their answer; %d at the other daemons", lost, streamCount, stopped.name, others)
	return lost > 0, nil
}
