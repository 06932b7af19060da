package lenientjson

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// nested returns arrays and objects that are nested to a depth, with brackets in strings.
func nested(depth int) string {
	return strings.Repeat(`[{"]}\"[":`, depth/2) + `"\\"` + strings.Repeat(`}]`, depth/2)
}

// Guards against a value that is nested so deeply that the values beside it cannot be read,
// and against values that change although they are not.
func TestDeepValueHidesNoOther(t *testing.T) {
	for _, depth := range []int{2, maxDepth - 2, maxDepth + 2, 9_000, 20_000, 200_000} {
		var out []struct {
			Name string
			Spec json.RawMessage
		}
		isPruned, err := Unmarshal([]byte(`[{"name":"first"},{"name":"odd","spec":`+nested(depth)+`},{"name":"last"}]`), &out)
		assert.NilError(t, err)
		assert.Equal(t, len(out), 3)
		assert.Equal(t, out[0].Name+out[1].Name+out[2].Name, "firstoddlast")
		assert.Equal(t, isPruned, depth > 10_000)
		if !isPruned {
			assert.Equal(t, string(out[1].Spec), nested(depth))
		}
	}
}

// Guards against invalid text that is accepted because a part of it was left out.
func TestInvalidTextIsRefused(t *testing.T) {
	deep := nested(20_000)
	for _, text := range []string{``, `[`, deep[:len(deep)-1], deep + `]`, deep[:len(deep)/2], `[` + deep, deep + deep} {
		var out any
		_, err := Unmarshal([]byte(text), &out)
		assert.Assert(t, err != nil, "%.60s", text)
	}
}
