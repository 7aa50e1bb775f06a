package crowd

import (
	"fmt"
	"testing"
)

// Guards against requests that are not counted any more once their clients were told to send the body, and against
// a process that runs out of memory by trailers.
func TestInterimAnswersAndTrailers(t *testing.T) {
	r := newRig(t)
	body := legalBody(legalBytes)
	trailer := append(chunked(body, 16<<10), "0\r\n"...)
	for i := range 4000 {
		trailer = fmt.Appendf(trailer, "%x:\r\n", i)
	}
	r.withCrowd(r.front, times(bodies, func(i int) client {
		if i%2 == 0 {
			return inPieces(r.submission(fmt.Sprint("Content-Length: ", legalBytes), "Expect: 100-continue"), body[:legalBytes-missing], 16<<10)
		}
		return inPieces(r.submission("Transfer-Encoding: chunked", "Trailer: 1, 2, 3"), trailer, 16<<10)
	})...)
}
