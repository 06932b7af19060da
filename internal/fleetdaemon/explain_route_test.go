package fleetdaemon

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/dispatch"
	"rattantide/internal/fleetconfig"
	"rattantide/internal/membership"
	"rattantide/internal/routeexplain"
	"rattantide/internal/versionmove"
)

// Guards against an explanation without the token of operators, an error that does not name the
// field at fault, and an unbounded number of explanations at the same time.
func TestRouteExplanation(t *testing.T) {
	t.Setenv(operatorTokenVariable, "secret")
	holder := fleetconfig.NewHolder()
	config := &fleetconfig.Config{
		Version:    3,
		Routes:     []*fleetconfig.Route{{Name: "chat", Host: "h", PathPrefix: "/v1/", Kind: fleetconfig.Stream, Target: time.Second, Services: []fleetconfig.WeightedService{{Service: "p", Weight: 1}}}},
		Services:   map[string]*fleetconfig.Service{"p": {Name: "p"}},
		Workspaces: []*fleetconfig.Workspace{{Name: "w"}},
	}
	config.Index()
	assert.Assert(t, holder.Apply(config, time.Now()))
	table := membership.NewTable(membership.Daemon{Name: "d"}, membership.Options{})
	dispatcher := dispatch.New(dispatch.Options{
		Config: &viewSource{holder: holder, moves: func() map[string]versionmove.State { return nil }}, Table: table, Policy: newPolicy(Features{WeighPromptDelay: true}),
	})
	explainer := newRouteExplainer("d", holder, dispatcher)
	get := func(token string, change func(url.Values)) *httptest.ResponseRecorder {
		values := (&routeexplain.Query{Method: "POST", Host: "h", Path: "/v1/chat", Workspace: "w", PromptTokens: 9000}).Values()
		change(values)
		r := httptest.NewRequest(http.MethodGet, routeexplain.Path+"?"+values.Encode(), nil)
		r.Header.Set("Authorization", "Bearer "+token)
		w := httptest.NewRecorder()
		explainer.ServeHTTP(w, r)
		return w
	}
	unchanged := func(url.Values) {}
	assert.Equal(t, get("", unchanged).Code, http.StatusUnauthorized)
	assert.Equal(t, get("other", unchanged).Code, http.StatusUnauthorized)
	for field, value := range map[string]string{"workspace": "nobody", "promptTokens": "x", "path": "v1"} {
		w := get("secret", func(v url.Values) { v.Set(field, value) })
		assert.Equal(t, w.Code, http.StatusBadRequest, field)
		assert.Assert(t, strings.Contains(w.Body.String(), field+": "), w.Body.String())
	}
	assert.Equal(t, get("secret", func(v url.Values) { v.Set("host", "other") }).Code, http.StatusNotFound)
	w := get("secret", unchanged)
	assert.Equal(t, w.Code, http.StatusOK, w.Body.String())
	var e routeexplain.Explanation
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &e))
	assert.Equal(t, e.Route, "chat")
	assert.Equal(t, e.Service, "p")
	assert.Equal(t, e.Choice, "")
	explainer.open <- struct{}{}
	assert.Equal(t, get("secret", unchanged).Code, http.StatusServiceUnavailable)
	<-explainer.open
	explainer.token = ""
	assert.Equal(t, get("", unchanged).Code, http.StatusUnauthorized)
}
