package cli_test

import (
	"bytes"
	"context"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/kataras/iris/v12"
	"gotest.tools/v3/assert"

	"rattantide/internal/admin"
	"rattantide/internal/api"
	"rattantide/internal/burn"
	"rattantide/internal/cli"
	"rattantide/internal/configsync"
	"rattantide/internal/objectclient"
	"rattantide/internal/objecttest"
	"rattantide/internal/problem"
)

const config = `# Documents stand in the wrong order on purpose.
kind: Route
name: briefs
spec: {model: briefs, pool: briefs, class: chat}
---
kind: Version
name: v1
spec: {pool: briefs}
---
kind: Pool
name: briefs
spec: {type: chat, version: v1}
---
kind: Class
name: chat
spec: {target: {firstToken: 1.3s}}
---
kind: Version
name: v2
spec: {pool: briefs}
`

// refusingAddress refuses connections, as nothing listens on port 1, which needs
// privileges.
const refusingAddress = "127.0.0.1:1"

// fakeDaemon reports a status, histograms and one waiting request, "r1".
type fakeDaemon struct{ recorder *burn.Recorder }

func (d *fakeDaemon) Status() admin.Status {
	return admin.Status{Name: "a", Domain: "z1", State: "serving"}
}

func (d *fakeDaemon) Export(now time.Time) *burn.Export { return d.recorder.Export(now) }

func (d *fakeDaemon) Explain(id string) (admin.Explanation, bool) {
	return admin.Explanation{ID: id, Daemon: "a", State: "waiting", Rule: "upstream_limit"}, id == "r1"
}

// fixture is a server of the administration API with an in-memory store.
type fixture struct {
	t       *testing.T
	store   *objecttest.Store
	address string
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{t: t, store: objecttest.New()}
	daemon := &fakeDaemon{recorder: burn.NewRecorder(burn.Options{Daemon: "a", LookupClass: func(string) *api.Class { return &api.Class{Completeness: 0.99} }})}
	daemon.recorder.Observe(time.Now(), burn.Observation{Class: "chat", Version: "v2", Outcome: burn.OutcomeFailed})
	app := iris.New()
	admin.New(admin.Options{
		Store: f.store, Config: configsync.NewCache(), OperatorToken: "secret", Status: daemon, Explainer: daemon, Burn: daemon,
	}).RegisterHandlers(app)
	assert.NilError(t, app.Build())
	server := httptest.NewServer(app)
	t.Cleanup(server.Close)
	f.address = strings.TrimPrefix(server.URL, "http://")
	return f
}

// run runs the tool with an address that refuses connections before that of the
// test server.
func (f *fixture) run(stdin string, args ...string) (code int, stdout, stderr string) {
	env := map[string]string{
		"RATTANTIDE_ADDRESS": refusingAddress + "," + f.address, "RATTANTIDE_OPERATOR_TOKEN": "secret",
	}
	var out, errs bytes.Buffer
	code = cli.Run(context.Background(), args, cli.Env{
		Stdin: strings.NewReader(stdin), Stdout: &out, Stderr: &errs, Getenv: func(k string) string { return env[k] },
	})
	return code, out.String(), errs.String()
}

func (f *fixture) apply() {
	f.t.Helper()
	code, _, stderr := f.run(config, "apply", "-f", "-")
	assert.Equal(f.t, code, 0, stderr)
}

// TestApplyOrdersByReference guards against documents that are sent in file order
// instead of dependency order, and against a second run that writes unchanged
// objects again.
func TestApplyOrdersByReference(t *testing.T) {
	f := newFixture(t)
	f.apply()
	revision := f.store.Revision()
	code, stdout, stderr := f.run(config, "apply", "-f", "-", "-o", "json")
	assert.Equal(t, code, 0, stderr)
	assert.Equal(t, strings.Count(stdout, `"unchanged"`), 5, stdout)
	assert.Equal(t, f.store.Revision(), revision)
	code, stdout, _ = f.run("", "get", "routes")
	assert.Equal(t, code, 0)
	assert.Assert(t, strings.Contains(stdout, "briefs") && strings.Contains(stdout, "MODEL"), stdout)
	_, route, _ := f.run("", "get", "route", "briefs", "-o", "yaml")
	code, stdout, stderr = f.run(route, "apply", "-f", "-")
	assert.Equal(t, code, 0, stderr)
	assert.Assert(t, strings.Contains(stdout, "unchanged"), stdout)
}

// TestApplyReportsEveryDocument guards against a run that stops at the first
// invalid document or that sends valid documents although others are invalid.
func TestApplyReportsEveryDocument(t *testing.T) {
	f := newFixture(t)
	file := filepath.Join(t.TempDir(), "bad.yaml")
	content := config + "---\nkind: Class\nname: slow\nspec: {target: {}, priority: 12}\n---\nkind: Pool\nname: briefs\nspec: {}\n"
	assert.NilError(t, os.WriteFile(file, []byte(content), 0o600))
	code, _, stderr := f.run("", "apply", "-f", file)
	assert.Equal(t, code, 1)
	for _, want := range []string{
		"document 6 (Class/slow): spec.target", "document 6 (Class/slow): spec.priority",
		"document 7 (Pool/briefs): spec.type", "document 7 (Pool/briefs): is in",
	} {
		assert.Assert(t, strings.Contains(stderr, want), "no %q in\n%s", want, stderr)
	}
	assert.Equal(t, f.store.Calls().Total(), int64(0))
}

// TestExitCodes guards against exit codes by which a script cannot distinguish a
// conflict, a usage error and an unavailable system.
func TestExitCodes(t *testing.T) {
	f := newFixture(t)
	f.apply()
	stale := "kind: Class\nname: chat\nversion: 1\nspec: {target: {answer: 9s}}\n"
	f.run(strings.Replace(stale, "version: 1\n", "", 1), "apply", "-f", "-")
	for _, c := range []struct {
		want  int
		stdin string
		args  []string
	}{
		{0, "", []string{"explain", "r1"}},
		{1, "", []string{"explain", "r2"}},
		{1, "", []string{"get", "class", "none"}},
		{1, "", []string{"delete", "pool", "briefs"}},
		{1, "", []string{"status"}},
		{2, "", []string{"get", "things"}},
		{2, "", []string{"apply"}},
		{2, "", []string{"get", "-o", "xml"}},
		{2, "", []string{"move", "briefs", "-to", "v2"}},
		{2, "", []string{"drain"}},
		{3, stale, []string{"apply", "-f", "-"}},
		{5, "", []string{"get", "-address", refusingAddress}},
		{5, "", []string{"status", "-address", refusingAddress}},
	} {
		code, _, stderr := f.run(c.stdin, c.args...)
		assert.Equal(t, code, c.want, "%v: %s", c.args, stderr)
		assert.Assert(t, code == 0 || stderr != "", "%v printed no error", c.args)
	}
	f.store.SetOutage(true)
	code, _, stderr := f.run("", "delete", "route", "briefs")
	assert.Equal(t, code, 5, stderr)
	f.store.SetOutage(false)
	f.store.LoseAnswers(1)
	code, _, stderr = f.run("kind: Class\nname: new\nspec: {target: {answer: 9s}}\n", "apply", "-f", "-")
	assert.Equal(t, code, 5)
	assert.Assert(t, strings.Contains(stderr, "may or may not have taken effect"), stderr)
}

// TestChangeIsNotRetriedAtAnotherDaemon guards against a change that is sent to a
// second daemon although the first one may have made it.
func TestChangeIsNotRetriedAtAnotherDaemon(t *testing.T) {
	f := newFixture(t)
	lossy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			problem.Write(w, problem.New(http.StatusNotFound, problem.CodeNotFound, "the object does not exist"))
			return
		}
		panic(http.ErrAbortHandler)
	}))
	defer lossy.Close()
	code, _, stderr := f.run("kind: Class\nname: new\nspec: {target: {answer: 9s}}\n", "apply", "-f", "-", "-address", lossy.URL+","+f.address)
	assert.Equal(t, code, 5, stderr)
	assert.Assert(t, strings.Contains(stderr, "may or may not have taken effect"), stderr)
	assert.Equal(t, f.store.Revision(), objectclient.Revision(0))
}

// TestMoveReportsOutcome guards against a watch that ends before the move does,
// and against an undone move that is reported as a success.
func TestMoveReportsOutcome(t *testing.T) {
	for phase, want := range map[api.MovePhase]int{api.MoveDone: 0, api.MoveUndone: 4} {
		f := newFixture(t)
		f.apply()
		code, stdout, stderr := f.run("", "move", "briefs", "-to", "v2", "-deadline", "10m", "-name", "up", "-no-wait")
		assert.Equal(t, code, 0, "%s%s", stdout, stderr)
		code, _, stderr = f.run("", "move", "briefs", "-to", "v2", "-deadline", "10m")
		assert.Equal(t, code, 1)
		assert.Assert(t, strings.Contains(stderr, "still running"), stderr)
		ended := make(chan int)
		go func() {
			code, stdout, _ = f.run("", "move", "-name", "up", "-poll", "1ms")
			ended <- code
		}()
		f.endMove("up", phase, "enough evidence")
		assert.Equal(t, <-ended, want)
		assert.Assert(t, strings.Contains(stdout, "enough evidence"), stdout)
	}
}

// endMove stores the end of a move, as the controller does.
func (f *fixture) endMove(name string, phase api.MovePhase, reason string) {
	f.t.Helper()
	current, err := f.store.Get(context.Background(), string(api.KindVersionMove), name)
	assert.NilError(f.t, err)
	var stored api.StoredValue
	assert.NilError(f.t, json.Unmarshal(current.Value, &stored))
	status := api.MoveStatus{Phase: phase, Reason: reason, DeadlineMs: 600_000}
	stored.Status, err = json.Marshal(status)
	assert.NilError(f.t, err)
	value, err := json.Marshal(stored)
	assert.NilError(f.t, err)
	_, err = f.store.Put(context.Background(), current.Kind, name, current.Version, value)
	assert.NilError(f.t, err)
}

// TestTLS guards against sending the operator token to a daemon whose certificate
// cannot be verified.
func TestTLS(t *testing.T) {
	f := newFixture(t)
	requests := 0
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests++
		fmt.Fprint(w, `{"items":[]}`)
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "https://")
	code, _, _ := f.run("", "get", "pools", "-address", "https://"+address)
	assert.Equal(t, code, 5)
	assert.Equal(t, requests, 0)
	file := filepath.Join(t.TempDir(), "ca.pem")
	block := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw})
	assert.NilError(t, os.WriteFile(file, block, 0o600))
	code, _, stderr := f.run("", "get", "pools", "-address", address, "-tls-ca", file)
	assert.Equal(t, code, 0, stderr)
	assert.Equal(t, requests, 1)
}

// TestBurnReportsMissingDaemons guards against partial figures that are presented
// as complete.
func TestBurnReportsMissingDaemons(t *testing.T) {
	f := newFixture(t)
	code, stdout, stderr := f.run("", "burn")
	assert.Equal(t, code, 1)
	assert.Assert(t, strings.Contains(stderr, "leave out"), stderr)
	assert.Assert(t, strings.Contains(stdout, "version v2 (1 of 1 bad)"), stdout)
	code, stdout, _ = f.run("", "burn", "-o", "html", "-address", f.address)
	assert.Equal(t, code, 0)
	assert.Assert(t, strings.HasPrefix(stdout, "<!DOCTYPE html>"))
}
