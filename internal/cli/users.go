package cli

import (
	"context"
	"net/http"

	"rattantide/internal/admin"
	"rattantide/internal/api"
)

// usersOf returns the objects that refer to an object.
func usersOf(ctx context.Context, client *Client, kind api.Kind, name string) ([]*api.Object, error) {
	out := []*api.Object{}
	for _, user := range userKinds(kind) {
		list := &admin.ObjectList{}
		if _, err := client.Do(ctx, http.MethodGet, "/objects/"+string(user), nil, list); err != nil {
			return nil, err
		}
		for _, object := range list.Items {
			decoded, found := api.DecodeObject(mustEncode(object))
			if found.Empty() && refersTo(decoded.Typed, kind, name) {
				out = append(out, object)
			}
		}
	}
	return out, nil
}

func userKinds(kind api.Kind) []api.Kind {
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
