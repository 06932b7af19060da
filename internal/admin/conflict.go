package admin

import (
	"encoding/json"
	"fmt"
	"net/http"

	"rattantide/internal/api"
	"rattantide/internal/objectclient"
	"rattantide/internal/problem"
)

// Conflict is the problem returned for a change whose version condition failed
// because of a concurrent change.
type Conflict struct {
	*problem.Problem
	// VersionRead is the version that the change was conditional on; 0 requires
	// that the object does not exist.
	VersionRead objectclient.Revision `json:"versionRead"`
	// Current is the stored object; nil if there is none.
	Current *api.Object `json:"current"`
}

func newConflict(versionRead objectclient.Revision, current *api.Object) *Conflict {
	c := &Conflict{VersionRead: versionRead, Current: current}
	detail := fmt.Sprintf("the change was based on version %d, but the object no longer exists", versionRead)
	switch {
	case current != nil && versionRead == 0:
		detail = fmt.Sprintf("the object was to be created, but it exists at version %d", current.Version)
	case current != nil:
		detail = fmt.Sprintf("the change was based on version %d, but version %d is stored", versionRead, current.Version)
	}
	c.Problem = problem.NewNotRun(http.StatusConflict, problem.CodeConflict, detail)
	return c
}

func (c *Conflict) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", problem.ContentType)
	w.WriteHeader(c.Status)
	_ = json.NewEncoder(w).Encode(c)
}
