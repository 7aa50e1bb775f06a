// Package trail finds the decisions about one job in the logs of several entries.
package trail

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

// Err is the class of logs that can't be read.
var Err = errs.Class("logs")

// maxLine bounds a line in bytes. Lines of entries are below 1 KB.
const maxLine = 1 << 20

// Line is one line about a job.
type Line struct {
	Time    time.Time
	Entry   string
	Message string
	// Fields are the other fields, as text, by name.
	Fields map[string]string
}

// String returns the line as one row.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s: %s", l.Time.Format("15:04:05.000"), l.Entry, l.Message)
	for _, k := range slices.Sorted(maps.Keys(l.Fields)) {
		fmt.Fprintf(&b, " %s=%s", k, l.Fields[k])
	}
	return b.String()
}

// Find returns the lines of a log about a job or one of its tasks. Text before a line's
// first brace, and lines that are not of an entry, are passed over. It returns an Err.
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

func parse(text []byte, job string) (Line, bool) {
	at := bytes.IndexByte(text, '{')
	if at < 0 {
		return Line{}, false
	}
	var fields map[string]any
	// A line that another program wrote, or that was cut off, says nothing of the job.
	if err := json.Unmarshal(text[at:], &fields); err != nil {
		return Line{}, false
	}
	l := Line{Fields: map[string]string{}}
	about := false
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
			about = about || (k == "job" || k == "task") && (s == job || strings.HasPrefix(s, job+"."))
			l.Fields[k] = s
		}
	}
	return l, about
}

// Sort puts lines in order of time.
func Sort(ls []Line) {
	slices.SortStableFunc(ls, func(a, b Line) int { return a.Time.Compare(b.Time) })
}
