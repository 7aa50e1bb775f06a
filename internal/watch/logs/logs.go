// Package logs sets up structured logging. Log lines are written only for changes
// of state; what happens per request is counted.
package logs

import (
	"io"

	"github.com/rs/zerolog"
)

// timeFormat has milliseconds: decisions follow one another within some of them.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// The library keeps the format in a variable that loggers read at any time.
func init() { zerolog.TimeFieldFormat = timeFormat }

// New returns a logger that writes JSON lines with a time and the entry's name. An
// unknown level means info.
func New(w io.Writer, level, name string) zerolog.Logger {
	l, err := zerolog.ParseLevel(level)
	if err != nil || level == "" {
		l = zerolog.InfoLevel
	}
	return zerolog.New(w).Level(l).With().Timestamp().Str("entry", name).Logger()
}
