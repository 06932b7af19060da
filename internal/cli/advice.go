package cli

import (
	"net/http"
	"strings"

	"github.com/juju/errors"

	"rattantide/internal/admin"
	"rattantide/internal/problem"
)

// report prints err with what to do about it.
func report(env *Env, what string, err error) {
	var p *problem.Problem
	var conflict *admin.Conflict
	switch {
	case errors.As(err, &conflict):
		env.errorf("%s: %s", what, conflict.Detail)
	case errors.As(err, &p):
		env.errorf("%s: %s", what, p.Detail)
		for _, f := range p.Findings {
			env.errorf("  %s", f)
		}
	default:
		env.errorf("%s: %v", what, err)
	}
	if text := advice(err); text != "" {
		env.errorf("%s", text)
	}
}

func advice(err error) string {
	var conflict *admin.Conflict
	var p *problem.Problem
	switch {
	case errors.As(err, &conflict):
		return "read the object again (rattantide get KIND NAME -o yaml), merge the change and repeat it"
	case errors.Is(err, ErrNoAnswer):
		return "check that a daemon listens on one of the addresses given with -address or RATTANTIDE_ADDRESS"
	case !errors.As(err, &p):
		return ""
	case p.Status == http.StatusUnauthorized:
		return "set the operator token with -operator-token-file or RATTANTIDE_OPERATOR_TOKEN"
	case p.Code == problem.CodeObjectAPIUnavailable && p.Ran == problem.RanUnknown:
		return "read the object (rattantide get KIND NAME) to see whether the change took effect before repeating it"
	case p.Code == problem.CodeObjectAPIUnavailable:
		return "nothing was changed; repeat the command when the object API answers again"
	case p.Status == http.StatusNotFound && strings.Contains(p.Detail, "object"):
		return "list what exists with: rattantide get KIND"
	}
	return ""
}
