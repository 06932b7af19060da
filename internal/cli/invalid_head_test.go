package cli_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"rattantide/internal/responsetest"
)

// Guards against a daemon's response with an invalid head, such as one with the status 000, that
// the tool takes for an answer.
func TestInvalidHeadIsNoAnswer(t *testing.T) {
	f := newFixture(t)
	for name, r := range responsetest.Invalid(`{"objects":[]}`) {
		code, stdout, _ := f.run("", "get", "route", "-address", responsetest.ServeText(t, r.Text("")))
		assert.Check(t, code == 5, "%s: exit code %d, output %q", name, code, stdout)
	}
}
