package cli

import (
	"net/http"
	"strings"

	"github.com/juju/errors"

	"rattantide/internal/admin"
	"rattantide/internal/problem"
)

// reportError prints err to the standard error, followed by advice on how to
// resolve it when there is any. subject names what failed.
func reportError(env *Env, subject string, err error) {
	var p *problem.Problem
	var conflict *admin.Conflict
	switch {
	case errors.As(err, &conflict):
		env.errorf("%s: %s", subject, conflict.Detail)
	case errors.As(err, &p):
		env.errorf("%s: %s", subject, p.Detail)
		for _, f := range p.Findings {
			env.errorf("  %s", f)
		}
	default:
		env.errorf("%s: %v", subject, err)
	}
	if text := advice(err); text != "" {
		env.errorf("%s", text)
	}
}

// advice returns what an operator can do about err, or "" when there is no
// specific advice.
func advice(err error) string {
	var conflict *admin.Conflict
	var p *problem.Problem
	switch {
	case errors.As(err, &conflict):
		return "read the object again (rattantide get KIND NAME -o yaml), merge your change and retry"
	case errors.Is(err, ErrNoResponse):
		return "check that a daemon is listening on one of the addresses given with -address or RATTANTIDE_ADDRESS"
	case !errors.As(err, &p):
		return ""
	case p.Status == http.StatusUnauthorized:
		return "set the operator token with -operator-token-file or RATTANTIDE_OPERATOR_TOKEN"
	case p.Code == problem.CodeObjectAPIUnavailable && p.Execution == problem.ExecutionUnknown:
		return "read the object (rattantide get KIND NAME) to check whether the change took effect before retrying"
	case p.Code == problem.CodeObjectAPIUnavailable:
		return "nothing was changed; retry when the object API is available again"
	case p.Status == http.StatusNotFound && strings.Contains(p.Detail, "object"):
		return "list the existing objects with: rattantide get KIND"
	}
	return ""
}
