package admin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/kataras/iris/v12"
	"gotest.tools/v3/assert"

	"rattantide/internal/admin"
	"rattantide/internal/api"
	"rattantide/internal/configsync"
	"rattantide/internal/objectclient"
	"rattantide/internal/objecttest"
	"rattantide/internal/problem"
	"rattantide/internal/telemetry"
)

const token = "operator-secret"

// fixture serves the administration API from an in-memory store and captures its log.
type fixture struct {
	t     *testing.T
	store *objecttest.Store
	app   *iris.Application
	log   *bytes.Buffer
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{t: t, store: objecttest.New(), app: iris.New(), log: &bytes.Buffer{}}
	logger, err := telemetry.NewLogger(f.log, "info")
	assert.NilError(t, err)
	admin.New(admin.Options{
		Store: f.store, Config: configsync.NewCache(), OperatorToken: token, MaxObjectBytes: 2048, Log: logger,
	}).RegisterHandlers(f.app)
	assert.NilError(t, f.app.Build())
	return f
}

func (f *fixture) call(method, path, body string, out any) int {
	f.t.Helper()
	request := httptest.NewRequest(method, admin.Prefix+path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+token)
	request.Header.Set(admin.OperatorHeader, "ada\n{}")
	recorder := httptest.NewRecorder()
	f.app.ServeHTTP(recorder, request)
	if out != nil {
		assert.NilError(f.t, json.Unmarshal(recorder.Body.Bytes(), out), "%s", recorder.Body)
	}
	return recorder.Code
}

func (f *fixture) put(kind api.Kind, name string, version objectclient.Revision, spec string, out any) int {
	f.t.Helper()
	body := fmt.Sprintf(`{"kind":%q,"name":%q,"version":%d,"spec":%s}`, kind, name, version, spec)
	return f.call(http.MethodPut, "/objects/"+string(kind)+"/"+name, body, out)
}

// createObjects stores a class, a pool with two versions, and a route.
func (f *fixture) createObjects() {
	f.t.Helper()
	for _, o := range []struct {
		kind       api.Kind
		name, spec string
	}{
		{api.KindClass, "chat", `{"target":{"firstToken":"1.3s"}}`},
		{api.KindPool, "briefs", `{"type":"chat","version":"v1"}`},
		{api.KindVersion, "v1", `{"pool":"briefs"}`},
		{api.KindVersion, "v2", `{"pool":"briefs"}`},
		{api.KindRoute, "briefs", `{"model":"briefs","pool":"briefs","class":"chat"}`},
	} {
		assert.Equal(f.t, f.put(o.kind, o.name, 0, o.spec, nil), http.StatusCreated, "%s", o.name)
	}
}

// findingMessages returns the messages of the findings by path.
func findingMessages(p problem.Problem) map[string]string {
	messages := map[string]string{}
	for _, f := range p.Findings {
		messages[f.Path] = f.Message
	}
	return messages
}

// TestRefusesWrongTokens guards against an endpoint that does not require the
// operator token, and against a daemon without a configured token that accepts
// an empty one.
func TestRefusesWrongTokens(t *testing.T) {
	for _, configured := range []string{token, ""} {
		app := iris.New()
		admin.New(admin.Options{Store: objecttest.New(), Config: configsync.NewCache(), OperatorToken: configured}).RegisterHandlers(app)
		assert.NilError(t, app.Build())
		for _, header := range []string{"", "Bearer ", "Bearer wrong", "Basic " + token, token} {
			for _, path := range []string{"/objects/Pool", "/status", "/burn", "/explain/x", "/nowhere"} {
				request := httptest.NewRequest(http.MethodGet, admin.Prefix+path, nil)
				request.Header.Set("Authorization", header)
				recorder := httptest.NewRecorder()
				app.ServeHTTP(recorder, request)
				assert.Equal(t, recorder.Code, http.StatusUnauthorized, "%s with %q", path, header)
				assert.Equal(t, recorder.Header().Get("Content-Type"), problem.ContentType)
			}
		}
	}
}

// TestPutReportsAllFindings guards against a check that stops at the first
// finding, or that skips the references if the spec itself is invalid.
func TestPutReportsAllFindings(t *testing.T) {
	f := newFixture(t)
	f.createObjects()
	var p problem.Problem
	status := f.put(api.KindRoute, "notes", 0, `{"model":"briefs","prefix":"v1","pool":"none","class":"none"}`, &p)
	assert.Equal(t, status, http.StatusUnprocessableEntity)
	for _, path := range []string{"spec", "spec.prefix", "spec.pool", "spec.class", "spec.model"} {
		assert.Assert(t, findingMessages(p)[path] != "", "no finding for %s in %v", path, p.Findings)
	}
	assert.Equal(t, f.put(api.KindPool, "big", 0, `{"type":"`+strings.Repeat("x", 4096)+`"}`, &p), http.StatusRequestEntityTooLarge)
}

// TestConflictReportsBothVersions guards against a conflict response without the
// object that the other operator stored.
func TestConflictReportsBothVersions(t *testing.T) {
	f := newFixture(t)
	var first, second api.Object
	f.put(api.KindClass, "chat", 0, `{"target":{"firstToken":"1s"}}`, &first)
	f.put(api.KindClass, "chat", first.Version, `{"target":{"firstToken":"2s"}}`, &second)
	var conflict admin.Conflict
	assert.Equal(t, f.put(api.KindClass, "chat", first.Version, `{"target":{"firstToken":"3s"}}`, &conflict), http.StatusConflict)
	assert.Equal(t, conflict.VersionRead, first.Version)
	assert.Equal(t, conflict.Current.Version, second.Version)
	assert.Equal(t, string(conflict.Current.Spec), `{"target":{"firstToken":"2s"}}`)
	conflict = admin.Conflict{}
	status := f.call(http.MethodDelete, fmt.Sprintf("/objects/Class/chat?version=%d", first.Version), "", &conflict)
	assert.Equal(t, status, http.StatusConflict)
	assert.Equal(t, conflict.Current.Version, second.Version)
}

// TestUnavailableReportsExecution guards against a response that makes an
// operator repeat a change that took effect, or rely on one that did not.
func TestUnavailableReportsExecution(t *testing.T) {
	f := newFixture(t)
	f.createObjects()
	var p problem.Problem
	f.store.LoseAnswers(1)
	assert.Equal(t, f.put(api.KindClass, "late", 0, `{"target":{"answer":"1s"}}`, &p), http.StatusServiceUnavailable)
	assert.Equal(t, p.Code, problem.CodeObjectAPIUnavailable)
	assert.Equal(t, p.Execution, problem.ExecutionUnknown)
	f.store.SetOutage(true)
	assert.Equal(t, f.put(api.KindVersion, "v3", 0, `{"pool":"briefs"}`, &p), http.StatusServiceUnavailable)
	assert.Equal(t, p.Execution, problem.ExecutionNotRun)
	var list admin.ObjectList
	assert.Equal(t, f.call(http.MethodGet, "/objects/Pool", "", &list), http.StatusOK)
	assert.Equal(t, list.Source, admin.SourceLocal)
	assert.Equal(t, len(list.Items), 1)
}

// TestDeleteRefusesReferencedObjects guards against a deletion that leaves a
// route or a pool with a reference to a missing object.
func TestDeleteRefusesReferencedObjects(t *testing.T) {
	f := newFixture(t)
	f.createObjects()
	for _, path := range []string{"Class/chat", "Pool/briefs", "Version/v1"} {
		var p problem.Problem
		assert.Equal(t, f.call(http.MethodDelete, "/objects/"+path+"?version=-1", "", &p), http.StatusUnprocessableEntity, path)
		assert.Assert(t, len(p.Findings) > 0, path)
	}
	for _, path := range []string{"Route/briefs", "Class/chat", "Version/v1", "Version/v2", "Pool/briefs"} {
		assert.Equal(t, f.call(http.MethodDelete, "/objects/"+path+"?version=-1", "", nil), http.StatusNoContent, path)
	}
}

// TestMoveDeadlineIsInStoreTime guards against a deadline by the daemon's local
// clock, against a second running move of a pool, and against a move from a
// version that is not in effect.
func TestMoveDeadlineIsInStoreTime(t *testing.T) {
	f := newFixture(t)
	f.createObjects()
	storeTime := time.UnixMilli(1_000_000)
	f.store.SetClock(func() time.Time { return storeTime })
	var p problem.Problem
	f.put(api.KindVersionMove, "wrong", 0, `{"pool":"briefs","from":"v2","to":"v9","deadline":"10s"}`, &p)
	assert.Assert(t, findingMessages(p)["spec.from"] != "" && findingMessages(p)["spec.to"] != "", "%v", p.Findings)

	spec := `{"pool":"briefs","from":"v1","to":"v2","deadline":"10s"}`
	var move api.Object
	assert.Equal(t, f.put(api.KindVersionMove, "up", 0, spec, &move), http.StatusCreated)
	var status api.MoveStatus
	assert.NilError(t, json.Unmarshal(move.Status, &status))
	assert.Equal(t, status.DeclaredMs, int64(1_000_000))
	assert.Equal(t, status.DeadlineMs, int64(1_010_000))
	assert.Equal(t, status.Phase, api.MoveRunning)

	p = problem.Problem{}
	assert.Equal(t, f.put(api.KindVersionMove, "again", 0, spec, &p), http.StatusUnprocessableEntity)
	assert.Assert(t, findingMessages(p)["spec.pool"] != "", "%v", p.Findings)
	var same api.Object
	assert.Equal(t, f.put(api.KindVersionMove, "up", move.Version, spec, &same), http.StatusOK)
	assert.Equal(t, same.Version, move.Version)
	assert.Equal(t, f.call(http.MethodDelete, "/objects/VersionMove/up?version=-1", "", nil), http.StatusUnprocessableEntity)
}

// TestChangeLogHasNoSecret guards against tokens in the log, and against an
// operator name that forges a second line.
func TestChangeLogHasNoSecret(t *testing.T) {
	f := newFixture(t)
	hash := strings.Repeat("ab", 32)
	var stored api.Object
	f.put(api.KindWorkspace, "kitchen", 0, `{"tokenHash":"`+hash+`"}`, &stored)
	lines := strings.Split(strings.TrimSpace(f.log.String()), "\n")
	assert.Equal(t, len(lines), 1)
	var line map[string]any
	assert.NilError(t, json.Unmarshal([]byte(lines[0]), &line))
	assert.Equal(t, line["operator"], "ada{}")
	assert.Equal(t, line["kind"], "Workspace")
	assert.Equal(t, line["name"], "kitchen")
	assert.Equal(t, line["version"], float64(stored.Version))
	assert.Assert(t, !strings.Contains(f.log.String(), hash) && !strings.Contains(f.log.String(), token))
}

// racingStore stores concurrentMove as the move "older" just before the first
// put of a move, after that move was checked.
type racingStore struct {
	*objecttest.Store
	concurrentMove json.RawMessage
}

func (s *racingStore) Put(ctx context.Context, kind, name string, version objectclient.Revision, value json.RawMessage) (*objectclient.Object, error) {
	if kind == string(api.KindVersionMove) && s.concurrentMove != nil {
		older := s.concurrentMove
		s.concurrentMove = nil
		if _, err := s.Store.Put(ctx, kind, "older", objectclient.MustNotExist, older); err != nil {
			return nil, err
		}
	}
	return s.Store.Put(ctx, kind, name, version, value)
}

// TestNewerConcurrentMoveIsDeleted guards against two running moves of a pool
// that were declared concurrently through two daemons.
func TestNewerConcurrentMoveIsDeleted(t *testing.T) {
	f := newFixture(t)
	f.createObjects()
	spec := `{"pool":"briefs","from":"v1","to":"v2","deadline":"10s"}`
	store := &racingStore{Store: f.store, concurrentMove: json.RawMessage(`{"spec":` + spec + `,"status":{"phase":"running"}}`)}
	f.app = iris.New()
	admin.New(admin.Options{Store: store, Config: configsync.NewCache(), OperatorToken: token}).RegisterHandlers(f.app)
	assert.NilError(t, f.app.Build())
	var p problem.Problem
	assert.Equal(t, f.put(api.KindVersionMove, "younger", 0, spec, &p), http.StatusUnprocessableEntity)
	assert.Assert(t, strings.Contains(findingMessages(p)["spec.pool"], `"older"`), "%v", p.Findings)
	list, err := f.store.List(context.Background(), string(api.KindVersionMove))
	assert.NilError(t, err)
	assert.Equal(t, len(list.Items), 1)
	assert.Equal(t, list.Items[0].Name, "older")
}

// TestOneConcurrentMoveRemains guards against a race between daemons that leaves
// a pool with two running moves, or with none although one was confirmed.
func TestOneConcurrentMoveRemains(t *testing.T) {
	f := newFixture(t)
	f.createObjects()
	spec := `{"pool":"briefs","from":"v1","to":"v2","deadline":"10s"}`
	var confirmed sync.Map
	var wait sync.WaitGroup
	for i := range 12 {
		app := iris.New()
		admin.New(admin.Options{Store: f.store, Config: configsync.NewCache(), OperatorToken: token}).RegisterHandlers(app)
		assert.NilError(t, app.Build())
		wait.Add(1)
		go func() {
			defer wait.Done()
			name := fmt.Sprintf("move-%d", i)
			body := fmt.Sprintf(`{"kind":"VersionMove","name":%q,"spec":%s}`, name, spec)
			request := httptest.NewRequest(http.MethodPut, admin.Prefix+"/objects/VersionMove/"+name, strings.NewReader(body))
			request.Header.Set("Authorization", "Bearer "+token)
			recorder := httptest.NewRecorder()
			app.ServeHTTP(recorder, request)
			if recorder.Code == http.StatusCreated {
				confirmed.Store(name, true)
			}
		}()
	}
	wait.Wait()
	list, err := f.store.List(context.Background(), string(api.KindVersionMove))
	assert.NilError(t, err)
	assert.Equal(t, len(list.Items), 1)
	confirmed.Range(func(name, _ any) bool {
		assert.Equal(t, name, list.Items[0].Name)
		return true
	})
}
