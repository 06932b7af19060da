package cli

import (
	"flag"
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

// kindAndName returns the two arguments that name an object.
func kindAndName(f *flag.FlagSet) (kind api.Kind, name string, err error) {
	args, err := positionals(f)
	if err != nil {
		return "", "", err
	}
	if len(args) != 2 {
		return "", "", usagef("needs KIND and NAME")
	}
	kind, err = kindOf(args[0])
	return kind, args[1], err
}
