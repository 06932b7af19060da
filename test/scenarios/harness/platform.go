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

// control calls the control interfaces. Each call has a connection of its own,
// so that a fault of open connections does not reach it.
var control = &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// post sends value to a control call; a json.RawMessage goes as it is.
func post(address, path string, value any) error {
	return send(http.MethodPost, address, path, value)
}

func send(method, address, path string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	res, err := control.Do(req)
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

// fetch reads a JSON answer. The tokens give access to what daemons guard.
func fetch(address, path string) (any, error) {
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
	res, err := control.Do(req)
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

func cmdFault(ts *testscript.TestScript, s *state, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: fault NAME JSON|clear")
	}
	if args[1] == "clear" {
		ts.Check(send(http.MethodDelete, s.find(ts, args[0]).address, "/control/faults", nil))
		return
	}
	ts.Check(post(s.find(ts, args[0]).address, "/control/faults", json.RawMessage(args[1])))
}

func cmdOutage(ts *testscript.TestScript, s *state, args []string) {
	if len(args) != 2 || args[1] != "on" && args[1] != "off" {
		ts.Fatalf("usage: outage NAME on|off")
	}
	ts.Check(post(s.find(ts, args[0]).address, "/control/faults", map[string]bool{"outage": args[1] == "on"}))
}

func cmdReclaim(ts *testscript.TestScript, s *state, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: reclaim NAME|domain:D DURATION")
	}
	notice, err := time.ParseDuration(args[1])
	ts.Check(err)
	members := s.members(ts, args[0])
	s.notify(ts, args[0], "reclaim", notice)
	for _, p := range members {
		s.list(ts, p, "leaving")
		timer := time.AfterFunc(notice, p.kill)
		s.mu.Lock()
		s.reclaims[args[0]] = append(s.reclaims[args[0]], timer)
		s.mu.Unlock()
	}
}

func cmdCancel(ts *testscript.TestScript, s *state, args []string) {
	target := only(ts, args)
	s.notify(ts, target, "cancel", 0)
	s.mu.Lock()
	for _, timer := range s.reclaims[target] {
		timer.Stop()
	}
	delete(s.reclaims, target)
	s.mu.Unlock()
	for _, p := range s.members(ts, target) {
		s.list(ts, p, "live")
	}
}

func (s *state) notify(ts *testscript.TestScript, target, kind string, remaining time.Duration) {
	notice := map[string]any{"kind": kind, "deadlineMs": remaining.Milliseconds()}
	if domain, whole := strings.CutPrefix(target, "domain:"); whole {
		notice["domain"] = domain
	} else {
		notice["instance"] = target
	}
	address := s.addressOf("cloud")
	if address == "" {
		ts.Fatalf("no cloud API runs")
	}
	ts.Check(post(address, "/control/notices", notice))
}

func cmdUnlist(ts *testscript.TestScript, s *state, args []string) {
	address := s.addressOf("instances")
	if address == "" {
		ts.Fatalf("no instance list runs")
	}
	ts.Check(send(http.MethodDelete, address, "/control/instances/"+only(ts, args), nil))
}
