package config

import (
	"strconv"
	"time"

	"github.com/tailscale/hujson"
)

// duration returns a function that reads a duration, a string such as "250ms", from low to
// high inclusive.
func duration(dst *time.Duration, low, high time.Duration) parseFunc {
	return func(v *hujson.Value) string {
		var s string
		if problem := text(&s)(v); problem != "" {
			return "expected a duration as a string, such as \"250ms\""
		}
		d, err := time.ParseDuration(s)
		if err != nil {
			return "expected a duration, such as \"250ms\""
		}
		if d < low || d > high {
			return "expected a duration from " + low.String() + " to " + high.String()
		}
		*dst = d
		return ""
	}
}

// integer returns a function that reads a whole number from low to high inclusive.
func integer[T int | int64](dst *T, low, high T) parseFunc {
	return func(v *hujson.Value) string {
		n, err := strconv.ParseInt(string(literal(v)), 10, 64)
		if err != nil || T(n) < low || T(n) > high {
			return "expected a whole number from " + strconv.FormatInt(int64(low), 10) +
				" to " + strconv.FormatInt(int64(high), 10)
		}
		*dst = T(n)
		return ""
	}
}

// share returns a function that reads a number from 0 to 1.
func share(dst *float64) parseFunc {
	return func(v *hujson.Value) string {
		x, err := strconv.ParseFloat(string(literal(v)), 64)
		if err != nil || !(x >= 0 && x <= 1) {
			return "expected a number from 0 to 1"
		}
		*dst = x
		return ""
	}
}
