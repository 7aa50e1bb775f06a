package endpt

import (
	"encoding/base64"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	fake "chervilgauge.example/chervilgauge/internal/fake/endpt"
)

// Guards against a sum that is not the one in the header, and against a valid header that is
// rejected because it has other members.
func FuzzDigest(f *testing.F) {
	for _, s := range []string{"", "sha-256", "sha-256=::", "sha-256=:!:", "sha-512=:AAAA:, sha-256=:BBBB:", fake.Digest([]byte("a")) + ";p=1"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		if sum, err := parseDigest([]string{s}); err == nil {
			assert.Assert(t, strings.Contains(s, "sha-256=:"+base64.StdEncoding.EncodeToString(sum[:])+":"))
		} else {
			assert.Assert(t, ErrDigest.Has(err))
		}
		good := fake.Digest([]byte(s))
		sum, err := parseDigest([]string{"sha-512=:AAAA:, " + good})
		assert.NilError(t, err)
		assert.Equal(t, good, "sha-256=:"+base64.StdEncoding.EncodeToString(sum[:])+":")
	})
}
