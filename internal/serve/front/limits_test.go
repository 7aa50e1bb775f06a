package front

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// unlimited has a configuration whose limit for bodies is far above the memory of an entry.
type unlimited struct{ stubJobs }

func (u unlimited) View() View {
	c := *u.stubJobs.View().Config
	c.BodyLimit = 1 << 62
	return View{Config: c.Indexed()}
}

// endless is a body without an end, which counts the bytes that are read of it.
type endless struct{ n int64 }

func (e *endless) Read(p []byte) (int, error) {
	if e.n += int64(len(p)); e.n > 64<<20 {
		return 0, io.ErrUnexpectedEOF
	}
	return len(p), nil
}

// Guards against an entry that runs out of memory because of a body that could not be stored anyway.
func TestBodiesAreLimitedWhateverTheConfiguration(t *testing.T) {
	body := &endless{}
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, "http://jobs.example/q/0123456789abcdef", body)
	newHandler(unlimited{}, zerolog.Nop()).router().ServeHTTP(w, r)
	assert.Equal(t, w.Code, http.StatusBadRequest)
	assert.Assert(t, body.n < 16<<20, "%d bytes were read", body.n)
}
