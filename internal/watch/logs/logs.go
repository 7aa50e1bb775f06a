// Package logs sets up structured logging. Log lines are written only for changes of state;
// events of single requests are counted in metrics instead.
package logs

import (
	"io"

	"github.com/rs/zerolog"
)

// timeFormat has milliseconds, because related decisions are only some milliseconds apart.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// The format is a global variable of the library, which loggers may read at any time.
func init() { zerolog.TimeFieldFormat = timeFormat }

// New returns a logger that writes JSON lines with a time and the entry's name. An unknown or
// empty level means info.
func New(w io.Writer, level, name string) zerolog.Logger {
	l, err := zerolog.ParseLevel(level)
	if err != nil || level == "" {
		l = zerolog.InfoLevel
	}
	return zerolog.New(w).Level(l).With().Timestamp().Str("entry", name).Logger()
}
