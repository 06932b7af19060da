package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sort"
	"sync"
	"syscall"
	"time"
)

// Case "directory": a crowd sends chunked bodies that stop just short of their end to the port
// where clients ask for addresses, and stays open. Ordinary clients connect to the same machine.
const (
	directoryDaemons = 3
	// crowdSize is the number of connections of the crowd, opened over crowdSpan.
	crowdSize = 4200
	crowdSpan = 4 * time.Second
	crowdFrom = 6 * time.Second
	// crowdTime is how long the crowd stays, and directoryAfter the time after it.
	crowdTime      = 25 * time.Second
	directoryAfter = 10 * time.Second
	// ordinaryClients connect anew for each request, one in ordinaryInterval each.
	ordinaryClients  = 10
	ordinaryInterval = 400 * time.Millisecond
	ordinaryDeadline = 4 * time.Second
	// contactTime is contactMs, and ruleClients the number of clients, of the rule.
	contactTime = 3 * time.Second
	ruleClients = 7
)

// crowd is the crowd; each member keeps one connection and opens another when it is closed.
type crowd struct {
	// size is the number of members, and fields are the fields of their headers beside Host and
	// Transfer-Encoding, as they are sent.
	size    int
	fields  string
	stop    chan struct{}
	members sync.WaitGroup
}

// open starts the members one after the other.
func (c *crowd) open(address string) {
	for range c.size {
		c.members.Go(func() { c.stay(address) })
		time.Sleep(crowdSpan / time.Duration(c.size))
	}
}

// stay keeps a connection with a body that stops short of its end until the crowd leaves.
func (c *crowd) stay(address string) {
	for {
		conn, err := net.DialTimeout("tcp4", address, time.Second)
		if err == nil {
			fmt.Fprintf(conn, "GET /resolve?name=%s&region=mien-trung&zone=hoian-a HTTP/1.1\r\nHost: %s\r\nTransfer-Encoding: chunked\r\n%s\r\n400\r\n%01020d", host, host, c.fields, 0)
			closed := make(chan struct{})
			go func() {
				_, _ = io.Copy(io.Discard, conn)
				close(closed)
			}()
			select {
			case <-closed:
			case <-c.stop:
			}
			_ = conn.Close()
			<-closed
		}
		select {
		case <-c.stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// attempt is a request of an ordinary client on a new connection.
type attempt struct {
	client         int
	sentAt, doneAt time.Time
	status         int
}

// checkDescriptors returns an error if this process may not open the connections of the crowd.
func checkDescriptors() error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	if limit.Cur < crowdSize+1000 {
		return fmt.Errorf("this process may open %d files only", limit.Cur)
	}
	return nil
}

// openDescriptors returns the number of open descriptors of a process, 0 if it is not known.
func openDescriptors(pid int) int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(entries)
}

func playDirectory(d *deployment, rec *record, trouble bool) (bool, error) {
	if err := checkDescriptors(); err != nil {
		return false, err
	}
	for i := range 3 {
		r, err := startPlainRunner(fmt.Sprintf("i-%d", i+1), 6, 30*time.Millisecond, rec)
		if err != nil {
			return false, err
		}
		r.framed = true
		d.register(r.id, "workshop-app", r.address(), 6)
	}
	d.writeManifest([]map[string]any{{"name": "workshop-app", "healthPath": "/health", "maxConns": 110}},
		route{"lookup", "workshop-app", "idempotent", 2, ordinaryDeadline, 300 * time.Millisecond})
	d.limitsDescriptors = true
	if err := d.startDaemons(directoryDaemons); err != nil {
		return false, err
	}
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	started := time.Now()
	end := started.Add(crowdFrom + crowdTime + directoryAfter)
	readiness := watchReadiness(d, rec, end)
	c := crowd{size: crowdSize, stop: make(chan struct{})}
	if trouble {
		time.AfterFunc(crowdFrom, func() {
			rec.say("the crowd comes to the directory of %s", d.daemons[0].name)
			c.open(fmt.Sprintf("%s:%d", d.daemons[0].ip, d.port+2))
		})
		time.AfterFunc(crowdFrom+crowdTime, func() {
			rec.say("the crowd of %d connections leaves", crowdSize)
			close(c.stop)
		})
	}
	attempts := playOrdinaryClients(d, rec, end)
	readyTimes := <-readiness
	c.members.Wait()
	span, from := longestSilence(attempts, end)
	rec.say("answers of ordinary clients: %v", attemptStatuses(attempts))
	if from.IsZero() {
		from = started
	}
	rec.say("longest time in which %d clients or more tried and none got an answer: %.1f s, from %.1f s on", ruleClients, span.Seconds(), from.Sub(started).Seconds())
	ready := 0
	for _, at := range readyTimes {
		if at.After(from) && at.Before(from.Add(span)) {
			ready++
		}
	}
	rec.say("readiness checks with 200 in that time: %d", ready)
	if m := d.daemons[0]; m.process.HasExited() {
		rec.say("%s has ended", m.name)
		return true, nil
	}
	return span > contactTime && ready > 0, nil
}

// watchReadiness asks the first daemon for its readiness once a second, on a kept connection,
// and returns the times of the answers with 200.
func watchReadiness(d *deployment, rec *record, end time.Time) <-chan []time.Time {
	out := make(chan []time.Time, 1)
	client := &http.Client{Timeout: 900 * time.Millisecond}
	address := fmt.Sprintf("http://%s:%d/ready", d.daemons[0].ip, d.port+1)
	go func() {
		var times []time.Time
		for time.Now().Before(end) {
			status := 0
			if response, err := client.Get(address); err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				status = response.StatusCode
			}
			rec.add("readiness check: %d; open descriptors: %d", status, openDescriptors(d.daemons[0].process.PID()))
			if status == http.StatusOK {
				times = append(times, time.Now())
			}
			time.Sleep(time.Second)
		}
		out <- times
	}()
	return out
}

// playOrdinaryClients sends requests to the first daemon until a time, each on a new connection.
func playOrdinaryClients(d *deployment, rec *record, end time.Time) []attempt {
	var mu sync.Mutex
	var attempts []attempt
	var all sync.WaitGroup
	for client := range ordinaryClients {
		all.Go(func() {
			time.Sleep(time.Duration(client) * ordinaryInterval / ordinaryClients)
			for n := 0; time.Now().Before(end); n++ {
				a := attempt{client: client, sentAt: time.Now()}
				a.status = connectAndAsk(d, rec, fmt.Sprintf("c%dn%d", client, n))
				a.doneAt = time.Now()
				mu.Lock()
				attempts = append(attempts, a)
				mu.Unlock()
				time.Sleep(ordinaryInterval)
			}
		})
	}
	all.Wait()
	return attempts
}

// connectAndAsk sends a request on a new connection. A client gives up a request that the
// daemon has not read after a second; here it waits for the answer for as long.
func connectAndAsk(d *deployment, rec *record, id string) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	transport := &http.Transport{DisableKeepAlives: true}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/lookup/1", d.daemons[0].ip, d.port), nil)
	if err != nil {
		return 0
	}
	request.Host = host
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(ordinaryDeadline.Milliseconds()))
	request.Header.Set("Authorization", "Bearer "+apiKey)
	rec.add("send %s", id)
	status := 0
	if response, err := transport.RoundTrip(request); err == nil {
		if _, err := io.Copy(io.Discard, response.Body); err == nil {
			status = response.StatusCode
		}
		_ = response.Body.Close()
	}
	rec.add("answer %s: status %d", id, status)
	return status
}

// longestSilence returns the longest time between two answers in which ruleClients or more
// tried, and when it began.
func longestSilence(attempts []attempt, end time.Time) (longest time.Duration, from time.Time) {
	sort.Slice(attempts, func(i, j int) bool { return attempts[i].doneAt.Before(attempts[j].doneAt) })
	var last time.Time
	tried := map[int]bool{}
	for _, a := range append(attempts, attempt{status: http.StatusOK, doneAt: end}) {
		if a.status == 0 {
			tried[a.client] = true
			continue
		}
		if !last.IsZero() && len(tried) >= ruleClients && a.doneAt.Sub(last) > longest {
			longest, from = a.doneAt.Sub(last), last
		}
		last, tried = a.doneAt, map[int]bool{}
	}
	return longest, from
}

func attemptStatuses(attempts []attempt) map[int]int {
	out := map[int]int{}
	for _, a := range attempts {
		out[a.status]++
	}
	return out
}
