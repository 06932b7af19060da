package settings

import (
	"io"
	"strings"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"rattantide/internal/findings"
)

// TestParseReportsAllFindings guards against a validation that stops at the first
// invalid setting.
func TestParseReportsAllFindings(t *testing.T) {
	_, err := Parse([]string{
		"-listen", "nowhere", "-log-level", "loud", "-log-requests", "2", "-tls-cert", "a.pem",
	}, io.Discard)
	var invalid *findings.Error
	assert.Assert(t, errors.As(err, &invalid))
	paths := map[string]bool{}
	for _, f := range invalid.Findings {
		paths[f.Path] = true
	}
	for _, path := range []string{"name", "domain", "listen", "peer-token", "log-level", "log-requests", "tls-cert"} {
		assert.Assert(t, paths[path], "no finding for %s in:\n%v", path, err)
	}
}

// TestParseReadsEnvironment guards against a flag without an environment
// variable, and against an environment variable that overrides a flag.
func TestParseReadsEnvironment(t *testing.T) {
	t.Setenv("RATTANTIDE_NAME", "from-env")
	t.Setenv("RATTANTIDE_DOMAIN", "env-domain")
	t.Setenv("RATTANTIDE_PEER_TOKEN", "secret")
	s, err := Parse([]string{"-domain", "a", "-peers", "127.0.0.1:1, 127.0.0.1:2"}, io.Discard)
	assert.NilError(t, err)
	assert.Equal(t, s.Name, "from-env")
	assert.Equal(t, s.Domain, "a")
	assert.DeepEqual(t, s.Peers, []string{"127.0.0.1:1", "127.0.0.1:2"})
}

// TestParseRefusesClearTextBeyondLoopback guards against tokens that are sent
// unencrypted between instances.
func TestParseRefusesClearTextBeyondLoopback(t *testing.T) {
	_, err := Parse([]string{"-name", "a", "-domain", "a", "-peer-token", "x", "-listen", "10.1.1.1:7410"}, io.Discard)
	assert.Assert(t, err != nil && strings.Contains(err.Error(), "tls-cert"))
}
