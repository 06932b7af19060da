package cli

import (
	"context"
	"net/http"

	"rattantide/internal/admin"
	"rattantide/internal/api"
)

// referrersOf returns the objects that refer to the object of the given kind and name.
func referrersOf(ctx context.Context, client *Client, kind api.Kind, name string) ([]*api.Object, error) {
	out := []*api.Object{}
	for _, referrer := range referringKinds(kind) {
		list := &admin.ObjectList{}
		if _, err := client.Do(ctx, http.MethodGet, "/objects/"+string(referrer), nil, list); err != nil {
			return nil, err
		}
		for _, object := range list.Items {
			decoded, decodeFindings := api.DecodeObject(encodeJSON(object))
			if decodeFindings.IsEmpty() && refersTo(decoded.Typed, kind, name) {
				out = append(out, object)
			}
		}
	}
	return out, nil
}

// referringKinds returns the kinds whose objects can refer to objects of kind.
func referringKinds(kind api.Kind) []api.Kind {
	switch kind {
	case api.KindClass:
		return []api.Kind{api.KindWorkspace, api.KindRoute}
	case api.KindPool:
		return []api.Kind{api.KindVersion, api.KindRoute, api.KindVersionMove}
	case api.KindVersion:
		return []api.Kind{api.KindPool, api.KindVersionMove}
	}
	return nil
}

// refersTo reports whether spec refers to the object of the given kind and name.
func refersTo(spec any, kind api.Kind, name string) bool {
	switch s := spec.(type) {
	case *api.Workspace:
		for _, class := range s.Classes {
			if class == name {
				return true
			}
		}
	case *api.Route:
		return (kind == api.KindPool && s.Pool == name) || (kind == api.KindClass && s.Class == name)
	case *api.Pool:
		return s.Version == name
	case *api.Version:
		return s.Pool == name
	case *api.VersionMove:
		return (kind == api.KindPool && s.Pool == name) || (kind == api.KindVersion && (s.From == name || s.To == name))
	}
	return false
}
