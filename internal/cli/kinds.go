package cli

import (
	"strings"

	"rattantide/internal/api"
)

// kindOf resolves a kind as operators write it: in any case, in the singular
// or the plural.
func kindOf(text string) (api.Kind, error) {
	wanted := strings.ToLower(text)
	for _, kind := range api.Kinds {
		name := strings.ToLower(string(kind))
		if wanted == name || wanted == name+"s" || wanted == name+"es" {
			return kind, nil
		}
	}
	return "", usagef("unknown kind %q; known kinds are %v", text, api.Kinds)
}

func objectPath(kind api.Kind, name string) string {
	return "/objects/" + string(kind) + "/" + name
}
