package admin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
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

func (f *fixture) put(kind api.Kind, name string, version int64, spec string, out any) int {
	f.t.Helper()
	body := fmt.Sprintf(`{"kind":%q,"name":%q,"version":%d,"spec":%s}`, kind, name, version, spec)
	return f.call(http.MethodPut, "/objects/"+string(kind)+"/"+name, body, out)
}

// seed stores a pool with two versions, a class and a route.
func (f *fixture) seed() {
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

func paths(p problem.Problem) map[string]string {
	out := map[string]string{}
	for _, f := range p.Findings {
		out[f.Path] = f.Message
	}
	return out
}

// TestRefusesWrongTokens guards against an endpoint that answers without the
// operator token, and against a daemon without a token that accepts an empty one.
func TestRefusesWrongTokens(t *testing.T) {
	for _, want := range []string{token, ""} {
		app := iris.New()
		admin.New(admin.Options{Store: objecttest.New(), Config: configsync.NewCache(), OperatorToken: want}).RegisterHandlers(app)
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
// finding or that skips references when the spec itself is wrong.
func TestPutReportsAllFindings(t *testing.T) {
	f := newFixture(t)
	f.seed()
	var p problem.Problem
	status := f.put(api.KindRoute, "notes", 0, `{"model":"briefs","prefix":"v1","pool":"none","class":"none"}`, &p)
	assert.Equal(t, status, http.StatusUnprocessableEntity)
	for _, path := range []string{"spec", "spec.prefix", "spec.pool", "spec.class", "spec.model"} {
		assert.Assert(t, paths(p)[path] != "", "no finding for %s in %v", path, p.Findings)
	}
	assert.Equal(t, f.put(api.KindPool, "big", 0, `{"type":"`+strings.Repeat("x", 4096)+`"}`, &p), http.StatusRequestEntityTooLarge)
}

// TestLostRaceShowsBothVersions guards against a conflict that hides what the
// other operator stored.
func TestLostRaceShowsBothVersions(t *testing.T) {
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

// TestUnavailableSaysWhetherItRan guards against an operator who repeats a
// change that took effect, or believes in one that did not.
func TestUnavailableSaysWhetherItRan(t *testing.T) {
	f := newFixture(t)
	f.seed()
	var p problem.Problem
	f.store.LoseAnswers(1)
	assert.Equal(t, f.put(api.KindClass, "late", 0, `{"target":{"answer":"1s"}}`, &p), http.StatusServiceUnavailable)
	assert.Equal(t, p.Code, problem.CodeObjectAPIUnavailable)
	assert.Equal(t, p.Ran, problem.RanUnknown)
	f.store.SetOutage(true)
	assert.Equal(t, f.put(api.KindVersion, "v3", 0, `{"pool":"briefs"}`, &p), http.StatusServiceUnavailable)
	assert.Equal(t, p.Ran, problem.RanNotRun)
	var list admin.ObjectList
	assert.Equal(t, f.call(http.MethodGet, "/objects/Pool", "", &list), http.StatusOK)
	assert.Equal(t, list.Source, admin.SourceLocal)
	assert.Equal(t, len(list.Items), 1)
}

// TestDeletionKeepsReferences guards against a deletion that leaves a route or
// a pool without what it needs.
func TestDeletionKeepsReferences(t *testing.T) {
	f := newFixture(t)
	f.seed()
	for _, path := range []string{"Class/chat", "Pool/briefs", "Version/v1"} {
		var p problem.Problem
		assert.Equal(t, f.call(http.MethodDelete, "/objects/"+path+"?version=-1", "", &p), http.StatusUnprocessableEntity, path)
		assert.Assert(t, len(p.Findings) > 0, path)
	}
	for _, path := range []string{"Route/briefs", "Class/chat", "Version/v1", "Version/v2", "Pool/briefs"} {
		assert.Equal(t, f.call(http.MethodDelete, "/objects/"+path+"?version=-1", "", nil), http.StatusNoContent, path)
	}
}

// TestMoveDeadlineIsInStoreTime guards against a deadline from a daemon's own
// clock, and against a second move or one from a version not in effect.
func TestMoveDeadlineIsInStoreTime(t *testing.T) {
	f := newFixture(t)
	f.seed()
	storeTime := time.UnixMilli(1_000_000)
	f.store.SetClock(func() time.Time { return storeTime })
	var p problem.Problem
	f.put(api.KindVersionMove, "wrong", 0, `{"pool":"briefs","from":"v2","to":"v9","deadline":"10s"}`, &p)
	assert.Assert(t, paths(p)["spec.from"] != "" && paths(p)["spec.to"] != "", "%v", p.Findings)

	spec := `{"pool":"briefs","from":"v1","to":"v2","deadline":"10s"}`
	var move api.Object
	assert.Equal(t, f.put(api.KindVersionMove, "up", 0, spec, &move), http.StatusCreated)
	var status api.MoveStatus
	assert.NilError(t, json.Unmarshal(move.Status, &status))
	assert.Equal(t, status.DeclaredMs, int64(1_000_000))
	assert.Equal(t, status.ByMs, int64(1_010_000))
	assert.Equal(t, status.Phase, api.MoveRunning)

	p = problem.Problem{}
	assert.Equal(t, f.put(api.KindVersionMove, "again", 0, spec, &p), http.StatusUnprocessableEntity)
	assert.Assert(t, paths(p)["spec.pool"] != "", "%v", p.Findings)
	var same api.Object
	assert.Equal(t, f.put(api.KindVersionMove, "up", move.Version, spec, &same), http.StatusOK)
	assert.Equal(t, same.Version, move.Version)
	assert.Equal(t, f.call(http.MethodDelete, "/objects/VersionMove/up?version=-1", "", nil), http.StatusUnprocessableEntity)
}

// TestChangeLogHasNoSecret guards against tokens in the log and against a
// stated name that forges a second line.
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

// racingStore declares another move between the check and the write of one.
type racingStore struct {
	*objecttest.Store
	other json.RawMessage
}

func (s *racingStore) Put(ctx context.Context, kind, name string, version int64, value json.RawMessage) (*objectclient.Object, error) {
	if kind == string(api.KindVersionMove) && s.other != nil {
		other := s.other
		s.other = nil
		if _, err := s.Store.Put(ctx, kind, "older", objectclient.MustNotExist, other); err != nil {
			return nil, err
		}
	}
	return s.Store.Put(ctx, kind, name, version, value)
}

// TestYoungerOfTwoMovesIsTakenBack guards against two running moves of a pool
// that were declared through two daemons at the same time.
func TestYoungerOfTwoMovesIsTakenBack(t *testing.T) {
	f := newFixture(t)
	f.seed()
	spec := `{"pool":"briefs","from":"v1","to":"v2","deadline":"10s"}`
	racing := &racingStore{Store: f.store, other: json.RawMessage(`{"spec":` + spec + `,"status":{"phase":"running"}}`)}
	f.app = iris.New()
	admin.New(admin.Options{Store: racing, Config: configsync.NewCache(), OperatorToken: token}).RegisterHandlers(f.app)
	assert.NilError(t, f.app.Build())
	var p problem.Problem
	assert.Equal(t, f.put(api.KindVersionMove, "younger", 0, spec, &p), http.StatusUnprocessableEntity)
	assert.Assert(t, strings.Contains(paths(p)["spec.pool"], `"older"`), "%v", p.Findings)
	list, err := f.store.List(context.Background(), string(api.KindVersionMove))
	assert.NilError(t, err)
	assert.Equal(t, len(list.Items), 1)
	assert.Equal(t, list.Items[0].Name, "older")
}
