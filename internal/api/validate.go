package api

import (
	"regexp"
	"time"

	"rattantide/internal/findings"
)

const (
	// maxNameLength limits object names, in bytes, because they appear in URLs
	// and metric tags.
	maxNameLength   = 63
	maxPriority     = 9
	maxDeadline     = 24 * time.Hour
	minMoveDeadline = time.Second
)

var (
	namePattern      = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)
	tokenHashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// reservedPrefixes are the first path segments that the daemon serves itself.
var reservedPrefixes = map[string]bool{
	"v1": true, "peer": true, "admin": true, "metrics": true, "debug": true, "healthz": true, "readyz": true,
}

func validateEnvelope(obj *Object, list *findings.List) {
	if len(obj.Name) > maxNameLength || !namePattern.MatchString(obj.Name) {
		list.Addf("name", "%q must have 1 to %d lower-case letters, digits, dots or dashes", obj.Name, maxNameLength)
	}
	if obj.Version < -1 {
		list.Addf("version", "must be at least -1, got %d", obj.Version)
	}
}

func validateSpec(spec any, list *findings.List) {
	switch s := spec.(type) {
	case *Class:
		validateClass(s, list)
	case *Workspace:
		if !tokenHashPattern.MatchString(s.TokenHash) {
			list.Addf("spec.tokenHash", "must be the SHA-256 of the token as 64 lower-case hexadecimal digits")
		}
	case *Route:
		validateRoute(s, list)
	case *Pool:
		validatePool(s, list)
	case *Version:
		requireNonEmpty(s.Pool, "spec.pool", list)
	case *VersionMove:
		validateMove(s, list)
	}
}

func validateClass(c *Class, list *findings.List) {
	t := c.Target
	if t.FirstToken == 0 && t.BetweenTokens == 0 && t.Answer == 0 {
		list.Addf("spec.target", "needs firstToken, betweenTokens or answer")
	}
	requireNonNegative(t.FirstToken, "spec.target.firstToken", list)
	requireNonNegative(t.BetweenTokens, "spec.target.betweenTokens", list)
	requireNonNegative(t.Answer, "spec.target.answer", list)
	requireShare(t.Within, "spec.target.within", list)
	requireShare(c.Completeness, "spec.completeness", list)
	if c.CostPer1000 < 0 {
		list.Addf("spec.costPer1000", "must not be negative")
	}
	if c.Deadline <= 0 || c.Deadline.AsDuration() > maxDeadline {
		list.Addf("spec.deadline", "must be above 0 and at most %s", maxDeadline)
	}
	if p := c.PriorityOrDefault(); p < 0 || p > maxPriority {
		list.Addf("spec.priority", "must be 0 to %d, got %d", maxPriority, p)
	}
	if s := c.RetryBudgetOrDefault(); s < 0 || s > 1 {
		list.Addf("spec.retryBudget", "must be 0 to 1, got %g", s)
	}
	if s := c.HedgeBudgetOrDefault(); s < 0 || s > 1 {
		list.Addf("spec.hedgeBudget", "must be 0 to 1, got %g", s)
	}
	if !c.IsIdempotent() && c.HedgeBudgetOrDefault() > 0 {
		list.Addf("spec.hedgeBudget", "must be 0 for a class that is not idempotent")
	}
}

func validateRoute(r *Route, list *findings.List) {
	if (r.Model == "") == (r.Prefix == "") {
		list.Addf("spec", "needs exactly one of model and prefix")
	}
	if r.Prefix != "" && !namePattern.MatchString(r.Prefix) {
		list.Addf("spec.prefix", "%q must be one path segment of lower-case letters, digits, dots or dashes", r.Prefix)
	}
	if reservedPrefixes[r.Prefix] {
		list.Addf("spec.prefix", "%q is served by the daemon itself", r.Prefix)
	}
	requireNonEmpty(r.Pool, "spec.pool", list)
	requireNonEmpty(r.Class, "spec.class", list)
}

func validatePool(p *Pool, list *findings.List) {
	if p.Type != PoolChat && p.Type != PoolService {
		list.Addf("spec.type", "must be %q or %q, got %q", PoolChat, PoolService, p.Type)
	}
	if p.Fencing != FencingChecked && p.Fencing != FencingIgnored {
		list.Addf("spec.fencing", "must be %q or %q, got %q", FencingChecked, FencingIgnored, p.Fencing)
	}
	requireNonEmpty(p.Version, "spec.version", list)
}

func validateMove(m *VersionMove, list *findings.List) {
	requireNonEmpty(m.Pool, "spec.pool", list)
	requireNonEmpty(m.From, "spec.from", list)
	requireNonEmpty(m.To, "spec.to", list)
	if m.From != "" && m.From == m.To {
		list.Addf("spec.to", "must differ from spec.from")
	}
	if m.Deadline.AsDuration() < minMoveDeadline || m.Deadline.AsDuration() > maxDeadline {
		list.Addf("spec.deadline", "must be %s to %s, got %s", minMoveDeadline, maxDeadline, m.Deadline)
	}
}

func requireNonEmpty(value, path string, list *findings.List) {
	if value == "" {
		list.Addf(path, "is missing")
	}
}

func requireNonNegative(d Duration, path string, list *findings.List) {
	if d < 0 {
		list.Addf(path, "must not be negative, got %s", d)
	}
}

func requireShare(share float64, path string, list *findings.List) {
	if share <= 0 || share > 1 {
		list.Addf(path, "must be above 0 and at most 1, got %g", share)
	}
}
