package server

import (
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"rattantide/internal/api"
	"rattantide/internal/problem"
)

const (
	// maxIDBytes bounds request identifiers, which appear in logs and URLs.
	maxIDBytes = 128
	// startupRetryAfter is about the time that a starting daemon needs to load its
	// configuration.
	startupRetryAfter = 300 * time.Millisecond
)

// authenticate returns the name of the workspace that the caller's bearer token
// belongs to.
func (s *Server) authenticate(r *http.Request) (string, *problem.Problem) {
	name, _, p := s.authenticateWorkspace(r)
	return name, p
}

// authenticateWorkspace returns the workspace that the caller's bearer token belongs
// to, and its name.
func (s *Server) authenticateWorkspace(r *http.Request) (string, *api.Workspace, *problem.Problem) {
	header := r.Header.Get("Authorization")
	token, ok := strings.CutPrefix(header, "Bearer ")
	if !ok || token == "" || len(header) > s.options.MaxHeaderValueBytes {
		return "", nil, problem.NewNotRun(http.StatusUnauthorized, problem.CodeUnauthorized, "a bearer token of a workspace is required")
	}
	view := s.options.Config.Snapshot()
	name, workspace := view.WorkspaceForToken(token)
	if workspace == nil && view.Revision == 0 {
		// A daemon that has just started knows no workspaces yet.
		return "", nil, problem.NewNotRun(http.StatusServiceUnavailable, problem.CodeObjectAPIUnavailable, "no configuration is in effect yet").
			WithRetryAfter(startupRetryAfter)
	}
	if workspace == nil {
		return "", nil, problem.NewNotRun(http.StatusUnauthorized, problem.CodeUnauthorized, "the token belongs to no workspace")
	}
	return name, workspace, nil
}

// requestID returns the request identifier that the caller set, or a new UUID if
// it set none.
func requestID(r *http.Request) (string, *problem.Problem) {
	id := r.Header.Get("X-Request-Id")
	if id == "" {
		return uuid.NewString(), nil
	}
	if !isValidID(id) {
		return "", problem.NewNotRun(http.StatusBadRequest, problem.CodeBadRequest,
			"X-Request-Id must have 1 to 128 letters, digits, dots, dashes or underscores")
	}
	return id, nil
}

func isValidID(id string) bool {
	if id == "" || len(id) > maxIDBytes || id == "." || id == ".." {
		return false
	}
	for i := range len(id) {
		switch c := id[i]; {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '-', c == '_', c == '.':
		default:
			return false
		}
	}
	return true
}

// refuse answers a call that was not accepted with p.
func (s *Server) refuse(w http.ResponseWriter, p *problem.Problem) {
	s.metrics.countRefused(p.Code)
	s.options.Logger.Debug("call refused", "request", p.RequestID, "code", p.Code, "detail", p.Detail)
	problem.Write(w, p)
}

// asProblem returns the problem that err wraps, or fallback if it wraps none.
func asProblem(err error, fallback *problem.Problem) *problem.Problem {
	var p *problem.Problem
	if errors.As(err, &p) {
		return p
	}
	return fallback
}
