// Package admission decides when a request may start. A Controller has, for each
// pool, a limit on concurrent attempts that adapts to the latency targets. While it
// is reached, requests wait in a queue per class and workspace: classes start mostly
// in order of priority, and the workspaces of a class share the capacity fairly. A
// request that cannot meet its deadline is refused early (shed). The Controller also
// has the quarantine of requests that crash upstreams, and a retry and a hedge budget
// per class. RepeatBudget replaces these budgets where the repeats of all daemons
// together must be bounded.
package admission
