package fleetdaemon

import (
	"strconv"

	"rattantide/internal/findings"
)

// The environment variables that switch features on. Their values are booleans; unset means
// false.
const (
	admitByPriorityVariable = "RATTANTIDE_ADMIT_BY_PRIORITY"
	weighPromptsVariable    = "RATTANTIDE_WEIGH_PROMPT_DELAY"
)

// Features are the features of a daemon that are off unless its environment asks for them. All
// daemons of a deployment must have the same ones.
type Features struct {
	// AdmitByPriority divides the room of a pool among priorities and workspaces by the
	// figures of the fleet.
	AdmitByPriority bool
	// WeighPromptDelay counts the delay that a long prompt causes to others in the choice of
	// an upstream.
	WeighPromptDelay bool
}

// FeaturesFromEnvironment returns the features that environment variables switch on. The error
// lists all invalid values.
func FeaturesFromEnvironment(lookup func(name string) (string, bool)) (Features, error) {
	var f Features
	var list findings.List
	for name, enabled := range map[string]*bool{admitByPriorityVariable: &f.AdmitByPriority, weighPromptsVariable: &f.WeighPromptDelay} {
		text, ok := lookup(name)
		if !ok || text == "" {
			continue
		}
		value, err := strconv.ParseBool(text)
		if err != nil {
			list.Addf(name, "%q is not a boolean", text)
			continue
		}
		*enabled = value
	}
	return f, list.Err()
}
