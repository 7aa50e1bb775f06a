// Package joblog finds the lines about one job in the logs of entries and sorts them by time.
package joblog

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Err is the class of failures to read a log.
var Err = errs.Class("logs")

// maxLine is the maximum length of a line in bytes. Lines of entries are below 1 KB; a longer
// line ends Find with an error.
const maxLine = 1 << 20

// Line is a parsed log line about a job.
type Line struct {
	Time    time.Time
	Entry   string
	Message string
	// Fields holds the other fields except the level as text, by name.
	Fields map[string]string
}

// String returns the line as text: time, entry, message and the fields sorted by name.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s: %s", l.Time.Format("15:04:05.000"), l.Entry, l.Message)
	for _, k := range slices.Sorted(maps.Keys(l.Fields)) {
		fmt.Fprintf(&b, " %s=%s", k, l.Fields[k])
	}
	return b.String()
}

// Find returns the lines of a log about a job or one of its tasks. It ignores text before the
// first brace of a line and lines that no entry wrote. It returns an Err.
func Find(r io.Reader, job string) ([]Line, error) {
	var out []Line
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		if !bytes.Contains(s.Bytes(), []byte(job)) {
			continue
		}
		if l, ok := parse(s.Bytes(), job); ok {
			out = append(out, l)
		}
	}
	return out, Err.Wrap(s.Err())
}

// parse parses a line and reports whether it is about the job.
func parse(text []byte, job string) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var fields map[string]any
	// Skip lines of other programs and truncated lines.
	if err := json.Unmarshal(text[start:], &fields); err != nil {
		return Line{}, false
	}
	l := Line{Fields: map[string]string{}}
	matches := false
	for k, v := range fields {
		s := fmt.Sprint(v)
		switch k {
		case "time":
			t, err := time.Parse(time.RFC3339Nano, s)
			if err != nil {
				return Line{}, false
			}
			l.Time = t
		case "entry":
			l.Entry = s
		case "message":
			l.Message = s
		case "level":
		default:
			matches = matches || (k == "job" || k == "task") && (s == job || strings.HasPrefix(s, job+"."))
			l.Fields[k] = s
		}
	}
	return l, matches
}

// Sort sorts lines by time, in place.
func Sort(ls []Line) {
	slices.SortStableFunc(ls, func(a, b Line) int { return a.Time.Compare(b.Time) })
}
