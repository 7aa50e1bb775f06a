package front

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/platform"
)

// Guards against a request that is given up at once because the caller waits too long: the number of
// milliseconds overflowed.
func TestLongTimeoutIsNoShortOne(t *testing.T) {
	for ms, want := range map[string]string{
		"9223372036854775807": "59m59.95s", "9223372036855": "59m59.95s", "99999999999999999999": "3s", "-1": "3s", "10": "5ms",
	} {
		r := &http.Request{Header: http.Header{platform.TimeoutHeader: {ms}}}
		assert.Equal(t, callerTimeout(r).String(), want, ms)
	}
}
