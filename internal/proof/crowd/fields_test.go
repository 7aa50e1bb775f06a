package crowd

import (
	"fmt"
	"strings"
	"testing"
)

// Guards against a process that runs out of memory by unfinished headers of very many short fields, whose decoded
// form is many times as large as what was sent.
func TestManyHeaderFields(t *testing.T) {
	r := newRig(t)
	var fields strings.Builder
	for i := 0; fields.Len() < 19<<10; i++ {
		fmt.Fprintf(&fields, "%x:\r\n", i)
	}
	header := r.submission(strings.TrimSuffix(fields.String(), "\r\n"))
	r.withCrowd(r.front, times(connections, func(int) client { return inPieces(nil, header[:len(header)-2], 4<<10) })...)
}
