package cmds

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against values in the wrong columns, an account's name that sends control sequences to the terminal, and a
// success of a command that has shown no accounts.
func TestAccounts(t *testing.T) {
	const leads = `{"entry":"e","leads":true,"accounts":[{"name":"a\u001b[2J","running":{"cores":2500,"memory":64,"accelerators":1,"tasks":3},` +
		`"waiting":{"tasks":7,"blocked":5,"jobs":2},"refused":{"limit":11,"share":13},"limit":{"cores":4000,"memory":0,"accelerators":0},` +
		`"weight":1.5,"share":0.25,"above":true,"keys":17,"since":19}]}`
	for body, c := range map[string]struct {
		args string
		code int
		want string
	}{
		leads: {"", exitOK, `"a\x1b[2J"  2.5/64/1  4.0/0/0  3      7 in 2 jobs  5        limit 11, share 13  1.5     0.250 above  17    19`},
		`{"entry":"e","leader":"f","address":"g:1"}`: {"", exitFailed, "e does not lead; ask f (g:1)"},
		`{"entry":"e","version":3}`:                  {"-json", exitFailed, `{"entry":"e","version":3}`},
		"no JSON":                                    {"", exitFailed, "does not answer with a status"},
		"":                                           {"-no", exitUsage, "usage"},
	} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, body) }))
		var out bytes.Buffer
		args := append([]string{"accounts"}, strings.Fields(c.args+" "+s.Listener.Addr().String())...)
		assert.Equal(t, Main(args, &out, &out), c.code, out.String())
		assert.Assert(t, strings.Contains(out.String(), c.want), out.String())
		s.Close()
	}
	assert.Equal(t, Main([]string{"accounts"}, &bytes.Buffer{}, &bytes.Buffer{}), exitUsage)
}
