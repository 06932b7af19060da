package gateway

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"rattantide/internal/fleetconfig"
)

// admit finds out who calls what, and reads the request. It returns a refusal
// when the request must not go on.
func (x *exchange) admit() *refusal {
	s := x.server
	var err error
	x.call, err = s.opts.Codec.DecodeCall(x.request.Header)
	if err != nil {
		return refuse(http.StatusBadRequest, err.Error())
	}
	config, confirmedAt := s.opts.Config.Current()
	if config == nil {
		return refuseFor(http.StatusServiceUnavailable, "no configuration yet", startRetryAfter)
	}
	x.config, x.configAge = config, s.opts.BootNow().Sub(confirmedAt)
	fresh := x.configAge < s.opts.KeysValidFor()
	x.route = config.Route(x.request.Host, x.request.URL.Path)
	if x.route == nil {
		if !fresh {
			return refuseFor(http.StatusServiceUnavailable, "configuration not confirmed", staleRetryAfter)
		}
		return refuse(http.StatusNotFound, "no route")
	}
	if refused := x.authenticate(config, fresh); refused != nil {
		return refused
	}
	x.deadline = x.findDeadline()
	if refused := x.readBody(config.Limits.MaxBodyBytes); refused != nil {
		return refused
	}
	x.service = config.Services[x.route.ServiceFor(shareOf(x.call.AttemptID))]
	if x.service == nil {
		return refuse(http.StatusServiceUnavailable, "route without service")
	}
	return x.takeQuota()
}

func (x *exchange) authenticate(config *fleetconfig.Config, fresh bool) *refusal {
	if len(config.Workspaces) == 0 || x.route.Public {
		return nil
	}
	if !fresh {
		return refuseFor(http.StatusServiceUnavailable, "keys not confirmed", staleRetryAfter)
	}
	x.workspace = config.WorkspaceOf(x.call.Key)
	if x.workspace == nil {
		return refuse(http.StatusUnauthorized, "unknown key")
	}
	return nil
}

// findDeadline returns the earlier of the caller's deadline and the route's.
func (x *exchange) findDeadline() time.Time {
	var deadline time.Time
	if x.route.Timeout > 0 {
		deadline = x.arrived.Add(x.route.Timeout)
	}
	if x.call.HasDeadline {
		if own := x.arrived.Add(x.call.Remaining); deadline.IsZero() || own.Before(deadline) {
			deadline = own
		}
	}
	return deadline
}

func (x *exchange) takeQuota() *refusal {
	if x.workspace == nil {
		return nil
	}
	x.cost = x.workspace.Cost(x.call.PromptTokens+x.call.MaxTokens, x.call.HasTokens)
	ok, after := x.server.opts.Quota.Take(x.request.Context(), x.workspace, x.cost)
	if !ok {
		x.cost = 0
		return refuseFor(http.StatusTooManyRequests, "quota of the workspace is used up", after)
	}
	return nil
}

// returnQuota gives back what a request took that did not run.
func (x *exchange) returnQuota() {
	if x.workspace != nil && x.cost > 0 {
		x.server.opts.Quota.Return(x.workspace, x.cost)
		x.cost = 0
	}
}

// shareOf maps an identifier to [0, 1).
func shareOf(id string) float64 { return float64(xxhash.Sum64String(id)>>11) / (1 << 53) }
