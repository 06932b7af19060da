package settings

import (
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// FuzzParse guards against settings that crash the daemon or fail without a
// message, and against a list of peers with empty or unsplit entries.
func FuzzParse(f *testing.F) {
	f.Add("127.0.0.1:1, 127.0.0.1:2", "127.0.0.1:0", "1s")
	f.Add(",, ,", "[::1]:7410", "-1s")
	f.Add("host:1", "127.0.0.1", "9999999h")
	f.Add("[fe80::1%lo]:1,a", "[", "")
	f.Fuzz(func(t *testing.T, peers, listen, drain string) {
		s, err := Parse([]string{
			"-name", "a", "-domain", "z", "-peer-token", "x", "-peers", peers, "-listen", listen, "-drain-limit", drain,
		}, io.Discard)
		if err != nil {
			assert.Assert(t, err.Error() != "")
			return
		}
		for _, peer := range s.Peers {
			assert.Assert(t, peer != "" && peer == strings.TrimSpace(peer) && !strings.Contains(peer, ","), "%q", peer)
		}
		assert.Assert(t, s.DrainLimit >= 0)
	})
}
