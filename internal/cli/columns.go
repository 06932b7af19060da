package cli

import (
	"fmt"
	"strings"

	"rattantide/internal/api"
)

// columnsOf returns the column headings of a kind, without NAME and VERSION.
func columnsOf(kind api.Kind) []string {
	switch kind {
	case api.KindClass:
		return []string{"FIRST TOKEN", "BETWEEN TOKENS", "ANSWER", "WITHIN", "PRIORITY", "IDEMPOTENT"}
	case api.KindWorkspace:
		return []string{"CLASSES"}
	case api.KindRoute:
		return []string{"MODEL", "PREFIX", "POOL", "CLASS"}
	case api.KindPool:
		return []string{"TYPE", "INITIAL VERSION", "FENCING"}
	case api.KindVersion:
		return []string{"POOL", "MODEL", "WEIGHTS"}
	case api.KindVersionMove:
		return []string{"POOL", "FROM", "TO", "PHASE", "SHARE", "REASON"}
	}
	return nil
}

// cellsOf returns the cells of an object for the columns of columnsOf. It omits
// the token hash of a workspace.
func cellsOf(stored *api.Object) []string {
	object, decodeFindings := api.DecodeObject(encodeJSON(stored))
	if !decodeFindings.IsEmpty() {
		return []string{"cannot be decoded by this version of the tool; use -o json"}
	}
	switch spec := object.Typed.(type) {
	case *api.Class:
		t := spec.Target
		return []string{durationCell(t.FirstToken), durationCell(t.BetweenTokens), durationCell(t.Answer),
			formatPercent(t.Within), fmt.Sprint(spec.PriorityOrDefault()), fmt.Sprint(spec.IsIdempotent())}
	case *api.Workspace:
		if len(spec.Classes) == 0 {
			return []string{"all"}
		}
		return []string{strings.Join(spec.Classes, ",")}
	case *api.Route:
		return []string{spec.Model, spec.Prefix, spec.Pool, spec.Class}
	case *api.Pool:
		return []string{string(spec.Type), spec.Version, string(spec.Fencing)}
	case *api.Version:
		return []string{spec.Pool, spec.Model, spec.Weights}
	case *api.VersionMove:
		status := moveStatus(stored)
		return []string{spec.Pool, spec.From, spec.To, string(status.Phase), formatPercent(status.Share), status.Reason}
	}
	return nil
}

func durationCell(d api.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}

func formatPercent(share float64) string { return fmt.Sprintf("%.4g%%", share*100) }
