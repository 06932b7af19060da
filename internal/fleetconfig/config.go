package fleetconfig

import (
	"sort"
	"strings"
)

// Config is one version of the configuration. It is immutable and safe for
// concurrent use.
type Config struct {
	Version    int64
	Routes     []*Route
	Services   map[string]*Service
	Workspaces []*Workspace
	Limits     Limits

	routesByName    map[string]*Route
	routesByHost    map[string][]*Route
	workspacesByKey map[string]*Workspace
	hasQuotas       bool
}

// Index builds the indexes for the lookup methods. It must be called once, before
// the Config is shared.
func (c *Config) Index() {
	c.routesByHost = map[string][]*Route{}
	c.routesByName = map[string]*Route{}
	for _, r := range c.Routes {
		c.routesByName[r.Name] = r
		c.routesByHost[r.Host] = append(c.routesByHost[r.Host], r)
	}
	for _, routes := range c.routesByHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	c.workspacesByKey = map[string]*Workspace{}
	for _, w := range c.Workspaces {
		c.hasQuotas = c.hasQuotas || w.Rate > 0
		for _, key := range w.Keys {
			c.workspacesByKey[key] = w
		}
	}
}

// Route returns the route of the host with the longest path prefix that matches
// the path, or nil. A port in the host is ignored unless a route's host contains
// it.
func (c *Config) Route(host, path string) *Route {
	routes, ok := c.routesByHost[host]
	if !ok {
		if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
			routes = c.routesByHost[host[:colon]]
		}
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// RouteByName returns the route with the given name, or nil.
func (c *Config) RouteByName(name string) *Route { return c.routesByName[name] }

// WorkspaceByKey returns the workspace to which an API key belongs, or nil.
func (c *Config) WorkspaceByKey(key string) *Workspace { return c.workspacesByKey[key] }

// Workspace returns the workspace with the given name, or nil.
func (c *Config) Workspace(name string) *Workspace {
	for _, w := range c.Workspaces {
		if w.Name == name {
			return w
		}
	}
	return nil
}

// HasQuotas reports whether any workspace has a quota.
func (c *Config) HasQuotas() bool { return c.hasQuotas }
