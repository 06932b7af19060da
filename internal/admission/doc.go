// Package admission decides when a request may start. It implements queues per
// class and workspace, fairness among workspaces, priority among classes, a
// limit per pool that adapts to the latency target, early shedding, retry and
// hedge budgets, and the quarantine of requests that crash upstreams.
package admission
