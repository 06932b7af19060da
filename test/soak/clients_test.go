package soak

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// call is a request of a client and what came of it.
type call struct {
	id, kind, key string
	sentAt        time.Time
	status        int
	body          string
	seal          string
	// complete says that the answer ended as it should.
	complete bool
}

// clients sends requests until it is stopped.
type clients struct {
	fleet *fleet
	mu    sync.Mutex
	calls []call
}

var kinds = []string{"order", "lookup", "chat", "resume"}

// run sends requests one after the other. Connections stay open until the daemon
// or a fault ends them.
func (c *clients) run(ctx context.Context, name string, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: 3 * time.Second}
	for i := 0; ctx.Err() == nil; i++ {
		n := c.fleet.nodes[random.IntN(len(c.fleet.nodes))]
		key := keptKey
		if random.IntN(3) == 0 {
			key = takenKey
		}
		made := c.send(ctx, client, n, name+"-"+strconv.Itoa(i), kinds[random.IntN(len(kinds))], key)
		c.mu.Lock()
		c.calls = append(c.calls, made)
		c.mu.Unlock()
		if made.status != http.StatusOK {
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func (c *clients) send(ctx context.Context, client *http.Client, n *node, id, kind, key string) call {
	made := call{id: id, kind: kind, key: key}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.front.address()+"/"+kind+"/1", strings.NewReader("body"))
	if err != nil {
		return made
	}
	request.Host = "h"
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Deadline-Ms", "2000")
	request.Header.Set("Authorization", "Bearer "+key)
	// Without it the transport would send a request again by itself.
	request.GetBody = nil
	made.sentAt = time.Now()
	answer, err := client.Do(request)
	if err != nil {
		return made
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	made.status, made.body, made.seal, made.complete = answer.StatusCode, string(text), answer.Header.Get("X-Response-Seal"), err == nil
	return made
}
