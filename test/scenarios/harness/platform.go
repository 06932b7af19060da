package harness

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// controlClient calls the control interfaces of stand-ins and the APIs of daemons. It
// opens a new connection for each request, so that faults of open connections do not
// affect it.
var controlClient = &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// postJSON posts value as JSON; a json.RawMessage is sent unchanged.
func postJSON(address, path string, value any) error {
	return sendJSON(http.MethodPost, address, path, value)
}

// sendJSON sends value as JSON and returns an error unless the status is 2xx.
func sendJSON(method, address, path string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	res, err := controlClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode/100 != 2 {
		text, _ := io.ReadAll(io.LimitReader(res.Body, 4096))
		return fmt.Errorf("%s %s: %s: %s", method, path, res.Status, text)
	}
	return nil
}

// fetchJSON gets a JSON document. It sends the token that the daemons demand for the
// path.
func fetchJSON(address, path string) (any, error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, err
	}
	switch {
	case strings.HasPrefix(path, "/peer/"):
		req.Header.Set("Authorization", "Bearer "+peerToken)
	case strings.HasPrefix(path, "/admin/"):
		req.Header.Set("Authorization", "Bearer "+operatorToken)
	default:
		req.Header.Set("Authorization", "Bearer "+workspaceToken)
	}
	res, err := controlClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("GET %s: %s", path, res.Status)
	}
	var value any
	return value, json.NewDecoder(res.Body).Decode(&value)
}

// cmdFault implements fault: it sets or clears the faults of a stand-in.
func cmdFault(ts *testscript.TestScript, s *scriptState, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: fault NAME JSON|clear")
	}
	if args[1] == "clear" {
		ts.Check(sendJSON(http.MethodDelete, s.mustProcess(ts, args[0]).address, "/control/faults", nil))
		return
	}
	ts.Check(postJSON(s.mustProcess(ts, args[0]).address, "/control/faults", json.RawMessage(args[1])))
}

// cmdOutage implements outage: it starts or ends an outage of a stand-in.
func cmdOutage(ts *testscript.TestScript, s *scriptState, args []string) {
	if len(args) != 2 || args[1] != "on" && args[1] != "off" {
		ts.Fatalf("usage: outage NAME on|off")
	}
	ts.Check(postJSON(s.mustProcess(ts, args[0]).address, "/control/faults", map[string]bool{"outage": args[1] == "on"}))
}

// cmdReclaim implements reclaim: it posts a notice, marks the processes as leaving in
// the instance list, and kills them when the notice period is over.
func cmdReclaim(ts *testscript.TestScript, s *scriptState, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: reclaim NAME|domain:D DURATION")
	}
	notice, err := time.ParseDuration(args[1])
	ts.Check(err)
	targets := s.targetProcesses(ts, args[0])
	s.postNotice(ts, args[0], "reclaim", notice)
	for _, p := range targets {
		s.setInstanceState(ts, p, "leaving")
		timer := time.AfterFunc(notice, p.kill)
		s.mu.Lock()
		s.reclaimTimers[args[0]] = append(s.reclaimTimers[args[0]], timer)
		s.mu.Unlock()
	}
}

// cmdCancel implements cancel: it withdraws the notice of a reclaim.
func cmdCancel(ts *testscript.TestScript, s *scriptState, args []string) {
	target := singleName(ts, args)
	s.postNotice(ts, target, "cancel", 0)
	s.mu.Lock()
	for _, timer := range s.reclaimTimers[target] {
		timer.Stop()
	}
	delete(s.reclaimTimers, target)
	s.mu.Unlock()
	for _, p := range s.targetProcesses(ts, target) {
		s.setInstanceState(ts, p, "live")
	}
}

// postNotice posts a notice for an instance or a failure domain to the cloud API.
func (s *scriptState) postNotice(ts *testscript.TestScript, target, kind string, remaining time.Duration) {
	notice := map[string]any{"kind": kind, "deadlineMs": remaining.Milliseconds()}
	if domain, isDomain := strings.CutPrefix(target, "domain:"); isDomain {
		notice["domain"] = domain
	} else {
		notice["instance"] = target
	}
	address := s.firstAddress("cloud")
	if address == "" {
		ts.Fatalf("no cloud API is running")
	}
	ts.Check(postJSON(address, "/control/notices", notice))
}

// cmdUnlist implements unlist: it removes an instance from the instance list.
func cmdUnlist(ts *testscript.TestScript, s *scriptState, args []string) {
	address := s.firstAddress("instances")
	if address == "" {
		ts.Fatalf("no instance list is running")
	}
	ts.Check(sendJSON(http.MethodDelete, address, "/control/instances/"+singleName(ts, args), nil))
}
