package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/kataras/iris/v12"
	"github.com/uber-go/tally/v4"

	"rattantide/internal/problem"
)

// RequireToken returns a middleware that responds with 401 unless token is the
// bearer token of the request. If token is empty, every request is refused.
// scope receives the count of refused requests and may be nil.
func RequireToken(token string, scope tally.Scope) iris.Handler {
	if scope == nil {
		scope = tally.NoopScope
	}
	refused := scope.Counter("unauthorized")
	return func(c iris.Context) {
		if !HasToken(c.Request(), token) {
			refused.Inc(1)
			c.Header("WWW-Authenticate", "Bearer")
			problem.Write(c.ResponseWriter(), problem.NewNotRun(http.StatusUnauthorized, problem.CodeUnauthorized,
				"the bearer token is missing or wrong"))
			c.StopExecution()
			return
		}
		c.Next()
	}
}

// HasToken reports whether token is the bearer token of a request; it is false if token is
// empty. Hashes are compared in constant time, so that response times reveal neither the
// content nor the length of the token.
func HasToken(r *http.Request, token string) bool {
	expected, presented := sha256.Sum256([]byte(token)), sha256.Sum256([]byte(bearerToken(r)))
	return token != "" && subtle.ConstantTimeCompare(expected[:], presented[:]) == 1
}

// bearerToken returns the bearer token of a request, or "" if it has none.
func bearerToken(r *http.Request) string {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}
