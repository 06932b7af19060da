package main

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Case "memory": a crowd at the directories of two machines sends headers inside maxHeaderBytes
// of many short fields, and chunked bodies that stop short of their end. The platform ends a
// process that has more memory than its machine, and starts it again.
const (
	memoryDaemons = 2
	// memoryCrowd is the number of connections to each machine, and shortFields the number of
	// fields of each header, of six bytes with the line end.
	memoryCrowd = 1400
	shortFields = 2600
	memoryFrom  = 4 * time.Second
	memoryTime  = 35 * time.Second
	// watchInterval is the time between two looks at the memory of a process, and restartDelay
	// that from its end to its start.
	watchInterval = 10 * time.Millisecond
	restartDelay  = 500 * time.Millisecond
	// ruleEnds is the number of ends of each of two processes that breaks the rule.
	ruleEnds = 3
)

func playMemory(d *deployment, rec *record, trouble bool) (bool, error) {
	d.writeManifest([]map[string]any{{"name": "workshop-app", "healthPath": "/health", "maxConns": 110}},
		route{"lookup", "workshop-app", "idempotent", 2, 4 * time.Second, 300 * time.Millisecond})
	if err := d.startDaemons(memoryDaemons); err != nil {
		return false, err
	}
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	end := time.Now().Add(memoryFrom + memoryTime)
	var watchers sync.WaitGroup
	ends, peaks := make([]int, memoryDaemons), make([]int64, memoryDaemons)
	for i, m := range d.daemons {
		watchers.Go(func() { ends[i], peaks[i] = watchMemory(d, m, rec, end) })
	}
	c := crowd{size: memoryCrowd, fields: manyFields(), stop: make(chan struct{})}
	var opened sync.WaitGroup
	if trouble {
		time.Sleep(memoryFrom)
		rec.say("crowds of %d connections come to the directories, each with a header of about %d bytes", memoryCrowd, len(c.fields))
		for _, m := range d.daemons {
			opened.Go(func() { c.open(fmt.Sprintf("%s:%d", m.ip, d.port+2)) })
		}
	}
	watchers.Wait()
	close(c.stop)
	opened.Wait()
	c.members.Wait()
	broken := true
	for i, m := range d.daemons {
		rec.say("%s: %d ends for want of memory, at most %d MB", m.name, ends[i], peaks[i]>>20)
		broken = broken && ends[i] >= ruleEnds
	}
	return broken, nil
}

// manyFields returns distinct short fields of a header.
func manyFields() string {
	var b strings.Builder
	for i := range shortFields {
		b.WriteString(string([]byte{byte('a' + i%26), byte('a' + i/26%26), byte('a' + i/676)}) + ":\r\n")
	}
	return b.String()
}

// watchMemory ends the process of a daemon each time its private memory exceeds that of its
// machine, and starts it again. It returns how often, and the highest figure.
func watchMemory(d *deployment, m *daemon, rec *record, end time.Time) (ends int, peak int64) {
	for time.Now().Before(end) {
		time.Sleep(watchInterval)
		private := privateMemory(m.process.PID())
		peak = max(peak, private)
		if private <= memoryLimit {
			continue
		}
		ends++
		rec.add("%s has %d MB and is ended", m.name, private>>20)
		m.process.Kill()
		time.Sleep(restartDelay)
		if err := d.start(m); err != nil {
			rec.add("%s does not start: %v", m.name, err)
			return ends, peak
		}
	}
	return ends, peak
}

// privateMemory returns the private memory of a process in bytes, 0 if it is not known. It is
// without the program's file and without the bytes in sockets.
func privateMemory(pid int) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(status) {
		fields := strings.Fields(string(line))
		if len(fields) > 1 && fields[0] == "RssAnon:" {
			kilobytes, _ := strconv.ParseInt(fields[1], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}
