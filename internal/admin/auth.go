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

// RequireToken returns a middleware that answers 401 unless the request
// carries token as its bearer token. An empty token refuses every request.
// Hashes are compared in constant time, so that neither the content nor the
// length of the token can be measured. scope counts refusals and may be nil.
func RequireToken(token string, scope tally.Scope) iris.Handler {
	if scope == nil {
		scope = tally.NoopScope
	}
	refused := scope.Counter("unauthorized")
	want := sha256.Sum256([]byte(token))
	return func(c iris.Context) {
		got := sha256.Sum256([]byte(bearerToken(c.Request())))
		if subtle.ConstantTimeCompare(want[:], got[:]) != 1 || token == "" {
			refused.Inc(1)
			c.Header("WWW-Authenticate", "Bearer")
			problem.Write(c.ResponseWriter(), problem.NotRun(http.StatusUnauthorized, problem.CodeUnauthorized,
				"the bearer token is missing or wrong"))
			c.StopExecution()
			return
		}
		c.Next()
	}
}

func bearerToken(r *http.Request) string {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}
