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

	"github.com/cespare/xxhash/v2"
)

// call is a request of a client and its response. Without a response, status is 0.
type call struct {
	id, kind, key string
	sentAt        time.Time
	status        int
	body          string
	// seal is the signature of the runner, from the header X-Response-Seal.
	seal string
	// node is the daemon that the request was sent to, endedAt when the response was read, and
	// isLeaving whether it says that its runner leaves.
	node      *node
	endedAt   time.Time
	isLeaving bool
	// isComplete reports whether the response body was read without an error.
	isComplete bool
}

// clients sends requests to the daemons of a fleet. calls holds those of all clients;
// mu guards it.
type clients struct {
	fleet *fleet
	mu    sync.Mutex
	calls []call
}

var requestKinds = []string{"order", "lookup", "chat", "resume"}

// run sends requests one after the other until ctx ends; seed selects the node,
// the key and the kind of each. Connections are reused until the daemon or a fault
// closes them.
func (c *clients) run(ctx context.Context, name string, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: 3 * time.Second}
	for i := 0; ctx.Err() == nil; i++ {
		n := c.fleet.nodes[random.IntN(len(c.fleet.nodes))]
		key := validKey
		if random.IntN(3) == 0 {
			key = revokedKey
		}
		result := c.send(ctx, client, n, name+"-"+strconv.Itoa(i), requestKinds[random.IntN(len(requestKinds))], key)
		c.mu.Lock()
		c.calls = append(c.calls, result)
		c.mu.Unlock()
		if result.status != http.StatusOK {
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// promptOf returns the parts of the prompt of a request. All prompts share the first part,
// many the second, and one in twelve contains crashPart.
func promptOf(id string) string {
	hash := xxhash.Sum64String(id)
	document := "d" + strconv.FormatUint(hash%5, 16)
	if hash%12 == 0 {
		document = crashPart
	}
	return "5:10," + document + ":10," + strconv.FormatUint(hash, 16) + ":1"
}

// send sends one request to the front listener of n and returns the call. It does
// not record it in c.calls.
func (c *clients) send(ctx context.Context, client *http.Client, n *node, id, kind, key string) call {
	result := call{id: id, kind: kind, key: key, node: n}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.front.address()+"/"+kind+"/1", strings.NewReader("body"))
	if err != nil {
		return result
	}
	request.Host = "h"
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Deadline-Ms", "2000")
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("X-Prompt-Prefix", promptOf(id))
	// Without GetBody the transport cannot retry a request on its own, which would
	// look like a duplicate execution.
	request.GetBody = nil
	result.sentAt = time.Now()
	response, err := client.Do(request)
	if err != nil {
		return result
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	result.status, result.body, result.seal, result.isComplete = response.StatusCode, string(body), response.Header.Get("X-Response-Seal"), err == nil
	result.endedAt, result.isLeaving = time.Now(), response.Header.Get("Server-Leaving") != ""
	return result
}
