package gateway

import (
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"rattantide/internal/callerbody"
	"rattantide/internal/fleetconfig"
)

// admit decodes the headers, selects the route and the service, authenticates the
// caller, reads the body and charges the quota. It returns a refusal if the
// request must not be served.
func (x *exchange) admit() *refusal {
	s := x.server
	var err error
	x.call, err = s.opts.Codec.DecodeCall(x.request.Header)
	if err != nil {
		return newRefusal(http.StatusBadRequest, err.Error())
	}
	x.sharedParts = sharedParts(x.call.Parts)
	config, confirmedAt := s.opts.Config.Current()
	if config == nil {
		return localRefusal("no configuration yet", startupRetryAfter)
	}
	if x.forwarded != nil && config.Version < x.forwarded.config {
		return localRefusal("configuration older than that of the forwarding daemon", startupRetryAfter)
	}
	if limit := config.Limits.MaxHeaderBytes; limit > 0 && callerbody.HeaderBytes(x.request) > int64(limit) {
		return newRefusal(http.StatusRequestHeaderFieldsTooLarge, "header too large")
	}
	x.config, x.configAge = config, s.opts.BootNow().Sub(confirmedAt)
	fresh := x.configAge < s.opts.KeysValidFor()
	x.route = config.Route(x.request.Host, x.request.URL.Path)
	if x.route == nil {
		if !fresh {
			return localRefusal("configuration not confirmed", unconfirmedRetryAfter)
		}
		return newRefusal(http.StatusNotFound, "no route")
	}
	if refusal := x.authenticate(config, fresh); refusal != nil {
		return refusal
	}
	x.deadline = x.effectiveDeadline()
	if refusal := x.readBody(config.Limits.MaxBodyBytes); refusal != nil {
		return refusal
	}
	x.service = config.Services[x.route.ServiceFor(hashFraction(x.call.AttemptID))]
	if x.service == nil {
		return newRefusal(http.StatusServiceUnavailable, "route without service")
	}
	x.key = sync.OnceValue(x.computeKey)
	return x.takeQuota()
}

// computeKey returns the key of the request.
func (x *exchange) computeKey() uint64 {
	workspace := ""
	if x.workspace != nil {
		workspace = x.workspace.Name
	}
	return requestKey(workspace, x.request, x.body)
}

func (x *exchange) authenticate(config *fleetconfig.Config, fresh bool) *refusal {
	if len(config.Workspaces) == 0 || x.route.Public {
		return nil
	}
	if !fresh {
		return localRefusal("keys not confirmed", unconfirmedRetryAfter)
	}
	x.workspace = config.WorkspaceByKey(x.call.Key)
	if x.workspace == nil {
		return newRefusal(http.StatusUnauthorized, "unknown key")
	}
	return nil
}

// effectiveDeadline returns the earlier of the caller's deadline and the route's,
// or the zero time if neither sets one.
func (x *exchange) effectiveDeadline() time.Time {
	var deadline time.Time
	if x.route.Timeout > 0 {
		deadline = x.receivedAt.Add(x.route.Timeout)
	}
	if x.call.HasDeadline {
		if requested := x.receivedAt.Add(x.call.Remaining); deadline.IsZero() || requested.Before(deadline) {
			deadline = requested
		}
	}
	return deadline
}

func (x *exchange) takeQuota() *refusal {
	if x.workspace == nil || x.forwarded != nil {
		return nil
	}
	x.quotaCost = x.workspace.Cost(x.call.PromptTokens+x.call.MaxTokens, x.call.HasTokens)
	ok, after := x.server.opts.Quota.Take(x.request.Context(), x.workspace, x.quotaCost)
	if !ok {
		x.quotaCost = 0
		return newRefusalWithRetry(http.StatusTooManyRequests, "workspace quota exceeded", after)
	}
	return nil
}

// returnQuota refunds the quota that was charged for a request that did not run.
func (x *exchange) returnQuota() {
	if x.workspace != nil && x.quotaCost > 0 {
		x.server.opts.Quota.Return(x.workspace, x.quotaCost)
		x.quotaCost = 0
	}
}

// hashFraction maps an identifier to a fraction in [0, 1).
func hashFraction(id string) float64 { return float64(xxhash.Sum64String(id)>>11) / (1 << 53) }
