package peer_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/kataras/iris/v12"
	"gotest.tools/v3/assert"

	"rattantide/internal/api"
	"rattantide/internal/configsync"
	"rattantide/internal/journal"
	"rattantide/internal/membership"
	"rattantide/internal/objectclient"
	"rattantide/internal/peer"
	"rattantide/internal/problem"
)

// FuzzHandle guards against a message that crashes a daemon in the request
// handling shared by all peer calls, or whose error response has no problem
// details.
func FuzzHandle(f *testing.F) {
	const maxBody = 512
	app := iris.New()
	app.Logger().SetLevel("disable")
	peer.Handle(app, http.MethodPost, "/echo", maxBody, func(_ context.Context, c journal.Copy) (journal.Copy, error) {
		return c, nil
	})
	assert.NilError(f, app.Build())
	for _, seed := range []string{
		`{"request":{"id":"a","body":"e30="},"epoch":1,"frames":"aWQ6IDEKZGF0YTogeAoK"}`, `{"request":[]}`, `null`, ``, `{`,
		`{"remainingMs":9223372036854775808}`, `{"request":{"body":"!"}}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		recorder := httptest.NewRecorder()
		app.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/echo", bytes.NewReader(body)))
		switch recorder.Code {
		case http.StatusOK:
			assert.NilError(t, json.Unmarshal(recorder.Body.Bytes(), &journal.Copy{}))
		case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
			assert.Equal(t, recorder.Code == http.StatusRequestEntityTooLarge, len(body) > maxBody)
			assert.Equal(t, recorder.Header().Get("Content-Type"), problem.ContentType)
		default:
			t.Fatalf("status %d", recorder.Code)
		}
	})
}

// FuzzRecord guards against a copied record that crashes the daemon that
// imports it, or whose events change when it is copied again.
func FuzzRecord(f *testing.F) {
	for _, seed := range []string{
		`{"request":{"id":"a","body":"e30=","stream":true},"epoch":1,"delivered":1,"frames":"aWQ6IDEKZGF0YTogeAoK","attempts":[{}]}`,
		`{"request":{"id":"a"},"frames":"aWQ6IA=="}`, `{"request":{"id":"a"},"ageMs":-1,"remainingMs":-9223372036854775808}`, `null`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		c := &journal.Copy{}
		if json.Unmarshal(body, c) != nil {
			return
		}
		j := journal.New(journal.Options{MaxBytes: 1 << 20})
		defer j.Close()
		rec, err := j.Import(c, 7)
		if err != nil {
			return
		}
		reencoded := rec.Copy(true)
		assert.Equal(t, reencoded.Epoch, int64(7))
		assert.Assert(t, bytes.Equal(reencoded.Frames, c.Frames))
		assert.Equal(t, reencoded.Request.ID, c.Request.ID)
		rec.MarkDelivered()
		rec.Status()
	})
}

// FuzzFeed guards against a configuration feed that crashes the daemons that
// poll it, that replaces an object by an older version, or that cannot be
// forwarded.
func FuzzFeed(f *testing.F) {
	for _, seed := range []string{
		`{"synced":true,"revision":9,"full":true,"objects":[{"kind":"Pool","name":"p","version":3,"value":{"spec":{"type":"chat","version":"v2"}}}]}`,
		`{"revision":9,"objects":[{"kind":"Pool","name":"p","version":1,"value":{"spec":{}}},{"kind":"Pool","name":"p","version":8}]}`,
		`{"membership":{"epoch":"e","seq":3,"full":true,"listRevision":2,"instances":[{"name":"d1","address":"127.0.0.1:1","role":"daemon","listed":true,"announced":true,"generation":5,"leavingInMs":10}],"domains":[{"domain":"a","noticeSeq":1,"noticed":true,"leavingInMs":-5}]}}`,
		`{"full":true,"objects":[{"kind":"VersionMove","name":"m","version":4,"value":null}]}`, `{"membership":{}}`, `null`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		feed := &configsync.Feed{}
		if json.Unmarshal(body, feed) != nil {
			return
		}
		cache := configsync.NewCache()
		const cachedVersion = 5
		for _, kind := range api.Kinds {
			cache.Apply(objectclient.Object{Kind: string(kind), Name: "p", Version: cachedVersion, Value: []byte(`{"spec":{}}`)})
		}
		if feed.Full {
			cache.Replace(api.Kinds, feed.Revision, feed.Objects)
		} else {
			cache.Apply(feed.Objects...)
		}
		for kind, objects := range cache.Snapshot().Objects {
			if o, ok := objects["p"]; ok {
				assert.Assert(t, o.Version >= cachedVersion, "%s: %d", kind, o.Version)
			}
		}
		table := membership.NewTable(membership.Daemon{Name: "self", Address: "127.0.0.1:9", Domain: "a"}, membership.Options{})
		if feed.Membership == nil {
			return
		}
		table.Import(*feed.Membership)
		table.Daemons()
		state := table.Export("")
		encoded, err := json.Marshal(state)
		assert.NilError(t, err)
		var reencoded membership.State
		assert.NilError(t, json.Unmarshal(encoded, &reencoded))
		table.Import(reencoded)
		table.Tick()
	})
}
