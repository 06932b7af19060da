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

	byName map[string]*Route
	byHost map[string][]*Route
	byKey  map[string]*Workspace
}

// Index prepares the lookups. It must be called once, before the Config is
// shared.
func (c *Config) Index() {
	c.byHost = map[string][]*Route{}
	c.byName = map[string]*Route{}
	for _, r := range c.Routes {
		c.byName[r.Name] = r
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, routes := range c.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	c.byKey = map[string]*Workspace{}
	for _, w := range c.Workspaces {
		for _, key := range w.Keys {
			c.byKey[key] = w
		}
	}
}

// Route returns the route of the host whose prefix is the longest that begins
// the path, or nil. A port in the host is ignored.
func (c *Config) Route(host, path string) *Route {
	routes, ok := c.byHost[host]
	if !ok {
		if at := strings.LastIndexByte(host, ':'); at >= 0 {
			routes = c.byHost[host[:at]]
		}
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// RouteNamed returns a route by name, or nil.
func (c *Config) RouteNamed(name string) *Route { return c.byName[name] }

// WorkspaceOf returns the workspace that holds a key, or nil.
func (c *Config) WorkspaceOf(key string) *Workspace { return c.byKey[key] }

// Workspace returns a workspace by name, or nil.
func (c *Config) Workspace(name string) *Workspace {
	for _, w := range c.Workspaces {
		if w.Name == name {
			return w
		}
	}
	return nil
}
