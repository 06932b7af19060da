package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// The streams of motif-chat: 29.4 a second, 56 events, 15 s, and one body size.
	chatPerSecond = 29.4
	chatEvents    = 56
	chatInterval  = 25 * time.Millisecond
	chatDeadline  = 15 * time.Second
	chatBody      = 1400
	// The share of the runners that send answers without a length, and the share of those
	// answers, as in the sheet's largest garble.
	runnerCount       = 5
	unframedRunners   = 3
	unframedShare     = 0.05
	gatewayCount      = 3
	killCount         = 12
	killInterval      = 3500 * time.Millisecond
	restartAfterKill  = 500 * time.Millisecond
	trafficBeforeKill = 3 * time.Second
	key               = "k1"
	host              = "llm.example"
)

// playUnframed kills one gateway at a time while streams pass through it. A few answers of the
// runners have no length and end with their connection.
func playUnframed(l *lab, trouble bool) (bool, error) {
	var runners []*runner
	for i := range runnerCount {
		share := 0.0
		if i < unframedRunners {
			share = unframedShare
		}
		r, err := startRunner(l, fmt.Sprintf("i-%d", i+1), "llm", chatEvents, chatInterval, share)
		if err != nil {
			return false, err
		}
		runners = append(runners, r)
	}
	storeChatConfig(l, 1, chatTenants())
	if err := l.startGateways(gatewayCount); err != nil {
		return false, err
	}
	results := l.runChats(trouble)
	return judgeWhole(l.record, results, runners), nil
}

// chatTenants returns the one tenant of the manifests, without a limit.
func chatTenants() []any {
	return []any{map[string]any{"name": "t1", "apiKeys": []string{key}, "ratePerS": 0, "burst": 0, "unit": "token_count", "plainTokens": 1000}}
}

// storeChatConfig stores a manifest with the route of motif-chat and returns its revision.
func storeChatConfig(l *lab, version int, tenants []any) int64 {
	return storeRoute(l, version, tenants, chatDeadline, 1, false)
}

// storeRoute stores a manifest with one streaming route and returns its revision.
func storeRoute(l *lab, version int, tenants []any, timeout time.Duration, attempts int, resume bool) int64 {
	return l.store.set("config", "main", map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "chat", "host": host, "pathPrefix": "/chat/", "kind": "streaming", "timeoutMs": timeout.Milliseconds(), "targetLatencyMs": 300,
			"service": "llm", "maxAttempts": attempts, "streamResume": resume, "gapTargetMs": 300, "priority": 2, "public": false, "sessionAffinity": true,
		}},
		"services": []any{map[string]any{"name": "llm", "healthPath": "/health", "maxConns": 630, "engine": map[string]any{"slots": 128, "kvCapacity": 1073273}}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 5000, "idleTimeoutMs": 20000},
		"tenants":  tenants,
	})
}

// chat is one request of a client and what it got.
type chat struct {
	id, gateway string
	status      int
	seal        string
	body        string
	framing     string
	// ended is how the answer ended for the client: nil means that it looks complete.
	ended error
}

// runChats sends the streams and kills gateways meanwhile.
func (l *lab) runChats(trouble bool) []*chat {
	stop := time.Now().Add(trafficBeforeKill + killCount*killInterval + 2*time.Second)
	var mu sync.Mutex
	var chats []*chat
	var group sync.WaitGroup
	group.Go(func() {
		time.Sleep(trafficBeforeKill)
		for i := range killCount {
			if trouble {
				g := l.gateways[i%len(l.gateways)]
				g.signal(syscall.SIGKILL)
				g.waitExit(2 * time.Second)
				time.Sleep(restartAfterKill)
				if err := g.start(); err != nil {
					l.record.add("%s: %v", g.name, err)
				}
			}
			time.Sleep(killInterval - restartAfterKill)
		}
	})
	for n := 0; time.Now().Before(stop); n++ {
		time.Sleep(time.Duration(rand.ExpFloat64() / chatPerSecond * float64(time.Second)))
		id := fmt.Sprintf("c%06x%08x", n, rand.Uint32())
		group.Go(func() {
			c := l.sendChat(id)
			mu.Lock()
			defer mu.Unlock()
			chats = append(chats, c)
		})
	}
	group.Wait()
	return chats
}

// resolve asks a directory for the addresses of the gateways, as clients do.
func (l *lab) resolve() []string {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, i := range rand.Perm(len(l.gateways)) {
		response, err := client.Get("http://" + l.gateways[i].address(directoryPort) + "/resolve?name=" + host + "&region=region-a&zone=" + url.QueryEscape("zone-a"))
		if err != nil {
			continue
		}
		var list struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(response.Body).Decode(&list)
		_ = response.Body.Close()
		if err == nil && len(list.Addresses) > 0 {
			return list.Addresses
		}
	}
	return nil
}

// sendChat sends one request on a new connection and reads the answer to its end.
func (l *lab) sendChat(id string) *chat {
	addresses := l.resolve()
	if len(addresses) == 0 {
		return &chat{id: id, ended: fmt.Errorf("no address")}
	}
	return l.sendChatTo(id, addresses[rand.IntN(len(addresses))], key)
}

// sendChatTo is sendChat for the gateway at an address, with an API key.
func (l *lab) sendChatTo(id, address, bearer string) *chat {
	return l.sendPrompt(id, address, bearer, fmt.Sprintf("5c1e07a2:103,%08x:612", rand.Uint32()), chatDeadline)
}

// sendPrompt sends a request with the parts of a prompt and a deadline.
func (l *lab) sendPrompt(id, address, bearer, parts string, deadline time.Duration) *chat {
	c := &chat{id: id, gateway: address}
	conn, err := net.DialTimeout("tcp4", c.gateway, time.Second)
	if err != nil {
		c.ended = err
		return c
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(deadline + time.Second))
	head := fmt.Sprintf("POST /chat/x HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Model: m\r\nX-Token-Usage: 715,280\r\nX-Prompt-Prefix: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n",
		host, id, parts, deadline.Milliseconds(), bearer, chatBody)
	l.record.add("client sends %s with key %s to %s", id, bearer, c.gateway)
	if _, err := io.WriteString(conn, head+strings.Repeat("x", chatBody)); err != nil {
		c.ended = err
		return c
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		c.ended = err
		return c
	}
	c.status, c.seal = response.StatusCode, response.Header.Get("X-Response-Seal")
	switch {
	case len(response.TransferEncoding) > 0:
		c.framing = "chunks"
	case response.ContentLength >= 0:
		c.framing = "length"
	default:
		c.framing = "end of the connection"
	}
	body, err := io.ReadAll(response.Body)
	c.body, c.ended = string(body), err
	l.record.add("client got %s: status %d, seal %q, %d bytes, framing %s, ended with %v", id, c.status, c.seal, len(c.body), c.framing, c.ended)
	return c
}

// judgeWhole applies the rule MIXED to the answers that look complete: a success must have the
// runner's whole body.
func judgeWhole(record *record, chats []*chat, runners []*runner) bool {
	counts := map[string]int{}
	broken := 0
	for _, c := range chats {
		switch {
		case c.status == 0:
			counts["without an answer"]++
			continue
		case c.status >= 300:
			counts[fmt.Sprintf("status %d", c.status)]++
			continue
		case c.ended != nil:
			counts["broken off visibly"]++
			continue
		}
		counts["success that looks complete, framed by "+c.framing]++
		var of *execution
		for _, r := range runners {
			if run := r.run(c.id); run != nil {
				of = run
			}
		}
		if of == nil || c.seal == "" || c.body != of.body {
			broken++
			whole := 0
			if of != nil {
				whole = len(of.body)
			}
			record.say("MIXED: %s from %s: a success that looks complete has %d of the %d bytes of the runner's body (framing %s)", c.id, c.gateway, len(c.body), whole, c.framing)
		}
	}
	record.say("%d requests: %v; %d broken", len(chats), counts, broken)
	return broken > 0
}
