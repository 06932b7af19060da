package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// The machines are those of khacdau-hoian.
	crowdMemoryMB    = 284
	crowdDescriptors = 4100
	crowdGateways    = 2
	// Each wave keeps waveConns connections to each gateway, from sourceCount addresses, for
	// waveTime and is followed by a pause. A connection stays open for minHold to maxHold, and
	// its client then opens another one.
	waves       = 5
	waveConns   = 1400
	sourceCount = 40
	waveTime    = 6 * time.Second
	wavePause   = 3 * time.Second
	minHold     = time.Second
	maxHold     = 4 * time.Second
	reopenPause = 20 * time.Millisecond
	// A header stays below maxHeaderBytes of the manifest, which is 16,384.
	headerBytes = 16000
	chunkBytes  = 4000
	chunkCount  = 5
	// requiredEnds is the number of ends of a process that the rule names.
	requiredEnds   = 3
	memoryInterval = 5 * time.Millisecond
)

// playCrowd lets a crowd of clients send chunked bodies that stop just short of their end, with
// headers of many short fields inside the manifest's limit. The platform kills a process whose
// memory exceeds memoryMb, and starts it again.
func playCrowd(l *lab, trouble bool) (bool, error) {
	if _, err := startRunner(l, "i-1", "llm", 3, 5*time.Millisecond, 0); err != nil {
		return false, err
	}
	storeChatConfig(l, 1, chatTenants())
	l.memoryMB, l.descriptors = crowdMemoryMB, crowdDescriptors
	if err := l.startGateways(crowdGateways); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var watchers sync.WaitGroup
	ends := make([]atomic.Int64, crowdGateways)
	peaks := make([]atomic.Int64, crowdGateways)
	for i, g := range l.gateways {
		watchers.Go(func() { g.watchMemory(stop, &ends[i], &peaks[i]) })
	}
	answered, asked := 0, 0
	ask := func() {
		for i, g := range l.gateways {
			asked++
			c := l.sendChatTo(fmt.Sprintf("o%04x%02x", asked, i), g.address(frontPort), key)
			if c.status == 200 && c.ended == nil {
				answered++
			}
		}
	}
	fields := shortFields()
	for range waves {
		for _, g := range l.gateways {
			if !g.waitReady(20 * time.Second) {
				l.record.say("%s is not ready", g.name)
			}
		}
		ask()
		if trouble {
			l.sendWave(fields)
		} else {
			time.Sleep(waveTime)
		}
		time.Sleep(wavePause)
	}
	close(stop)
	watchers.Wait()
	ended := 0
	for i, g := range l.gateways {
		l.record.say("%s: the highest memory was %.1f MB of %d MB; the process ended %d times", g.name, float64(peaks[i].Load())/1024, crowdMemoryMB, ends[i].Load())
		if ends[i].Load() >= requiredEnds {
			ended++
		}
	}
	l.record.say("%d of %d ordinary requests between the waves were answered", answered, asked)
	return ended >= 2, nil
}

// shortFields returns header fields with names of two or three characters and no value.
func shortFields() string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&*+.^_|~"
	var b strings.Builder
	for i := 0; b.Len() < headerBytes-600; i++ {
		n := len(letters)
		b.WriteByte(letters[i%n])
		b.WriteByte(letters[i/n%n])
		if i >= n*n {
			b.WriteByte(letters[i/n/n%n])
		}
		b.WriteString(": \r\n")
	}
	return b.String()
}

// sendWave sends one wave to all gateways and returns when its connections are closed.
func (l *lab) sendWave(fields string) {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", chunkBytes, strings.Repeat("y", chunkBytes))
	body := strings.Repeat(chunk, chunkCount)
	end := time.Now().Add(waveTime)
	var clients sync.WaitGroup
	var sent atomic.Int64
	for _, g := range l.gateways {
		for i := range waveConns {
			clients.Go(func() {
				for time.Now().Before(end) {
					hold := time.Now().Add(minHold + rand.N(maxHold-minHold))
					if hold.After(end) {
						hold = end
					}
					if g.sendUnended(net.IPv4(127, 0, 9, byte(i%sourceCount+1)), fields, body, hold) {
						sent.Add(1)
					}
					time.Sleep(reopenPause)
				}
			})
		}
	}
	clients.Wait()
	l.record.add("a wave has ended: %d requests were sent but for the end of their body", sent.Load())
}

// sendUnended sends a request without the end of its body and keeps the connection open until a
// time, unless the gateway answers or closes it before. It reports whether all was sent.
func (g *gateway) sendUnended(source net.IP, fields, body string, until time.Time) bool {
	conn, err := (&net.Dialer{LocalAddr: &net.TCPAddr{IP: source}, Timeout: time.Second}).Dial("tcp4", g.address(frontPort))
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	head := fmt.Sprintf("POST /chat/x HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: w%x\r\nX-Model: m\r\nX-Token-Usage: 715,280\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n%sTransfer-Encoding: chunked\r\n\r\n",
		host, rand.Uint64(), chatDeadline.Milliseconds(), key, fields)
	_ = conn.SetDeadline(until)
	if _, err := io.WriteString(conn, head+body); err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, conn)
	return true
}

// watchMemory is the platform's part: it kills the process if its own memory exceeds that of
// the machine, counts the ends of the process and starts it again.
func (g *gateway) watchMemory(stop chan struct{}, ends, peak *atomic.Int64) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(memoryInterval):
		}
		g.mu.Lock()
		pid, exited := g.command.Process.Pid, g.exited
		g.mu.Unlock()
		kilobytes := anonymousKB(pid)
		peak.Store(max(peak.Load(), kilobytes))
		isOver := kilobytes > crowdMemoryMB*1024
		if isOver {
			g.lab.record.say("%s: %.1f MB of memory are over the limit of %d MB", g.name, float64(kilobytes)/1024, crowdMemoryMB)
			_ = g.command.Process.Kill()
			<-exited
		}
		select {
		case <-exited:
		default:
			continue
		}
		ends.Add(1)
		time.Sleep(restartAfterKill)
		if err := g.start(); err != nil {
			g.lab.record.say("%s: %v", g.name, err)
			return
		}
	}
}

// anonymousKB returns the resident memory of a process in KiB, without that of its program's
// file, or 0 if it has ended.
func anonymousKB(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kilobytes, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
			return kilobytes
		}
	}
	return 0
}
