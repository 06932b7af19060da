package admin

import (
	"encoding/json"
	"fmt"
	"net/http"

	"rattantide/internal/api"
	"rattantide/internal/problem"
)

// Conflict is the problem of a change that lost a race.
type Conflict struct {
	*problem.Problem
	// VersionRead is the version that the change was conditional on; 0 means
	// that the object must not exist.
	VersionRead int64 `json:"versionRead"`
	// Current is the object now stored; nil when there is none.
	Current *api.Object `json:"current"`
}

func newConflict(read int64, current *api.Object) *Conflict {
	c := &Conflict{VersionRead: read, Current: current}
	detail := fmt.Sprintf("the change was based on version %d, but the object no longer exists", read)
	switch {
	case current != nil && read == 0:
		detail = fmt.Sprintf("the object was to be created, but it exists at version %d", current.Version)
	case current != nil:
		detail = fmt.Sprintf("the change was based on version %d, but version %d is stored", read, current.Version)
	}
	c.Problem = problem.NotRun(http.StatusConflict, problem.CodeConflict, detail)
	return c
}

func (c *Conflict) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", problem.ContentType)
	w.WriteHeader(c.Status)
	_ = json.NewEncoder(w).Encode(c)
}
