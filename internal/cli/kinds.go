package cli

import (
	"flag"
	"strings"

	"rattantide/internal/api"
)

// parseKind parses the name of a kind, in upper or lower case and in singular or
// plural.
func parseKind(text string) (api.Kind, error) {
	lowered := strings.ToLower(text)
	for _, kind := range api.Kinds {
		name := strings.ToLower(string(kind))
		if lowered == name || lowered == name+"s" || lowered == name+"es" {
			return kind, nil
		}
	}
	return "", usagef("unknown kind %q; known kinds are %v", text, api.Kinds)
}

func objectPath(kind api.Kind, name string) string {
	return "/objects/" + string(kind) + "/" + name
}

// kindAndName parses the arguments KIND and NAME.
func kindAndName(f *flag.FlagSet) (kind api.Kind, name string, err error) {
	args, err := positionalArgs(f)
	if err != nil {
		return "", "", err
	}
	if len(args) != 2 {
		return "", "", usagef("needs KIND and NAME")
	}
	kind, err = parseKind(args[0])
	return kind, args[1], err
}
