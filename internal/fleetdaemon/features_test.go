package fleetdaemon

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a feature that is on although nothing asks for it, and against a value that is
// taken for another one.
func TestFeaturesFromEnvironment(t *testing.T) {
	lookupIn := func(values map[string]string) func(string) (string, bool) {
		return func(name string) (string, bool) {
			value, ok := values[name]
			return value, ok
		}
	}
	f, err := FeaturesFromEnvironment(lookupIn(nil))
	assert.NilError(t, err)
	assert.Equal(t, f, Features{})
	f, err = FeaturesFromEnvironment(lookupIn(map[string]string{admitByPriorityVariable: "true", weighPromptsVariable: ""}))
	assert.NilError(t, err)
	assert.Equal(t, f, Features{AdmitByPriority: true})
	_, err = FeaturesFromEnvironment(lookupIn(map[string]string{admitByPriorityVariable: "maybe", weighPromptsVariable: "2"}))
	assert.ErrorContains(t, err, admitByPriorityVariable)
	assert.ErrorContains(t, err, weighPromptsVariable)
}
