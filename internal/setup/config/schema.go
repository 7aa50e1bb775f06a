package config

import (
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

var validName = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// schema returns the fields of a settings file with the destination of each value.
func schema(cfg *Config) []field {
	return []field{
		{name: "name", required: true, parse: name(&cfg.Name)},
		{name: "centre", required: true, parse: name(&cfg.Centre)},
		{name: "listen", required: true, fields: []field{
			{name: "callers", required: true, parse: addr(&cfg.Listen.Callers)},
			{name: "operators", required: true, parse: addr(&cfg.Listen.Operators)},
			{name: "peers", required: true, parse: addr(&cfg.Listen.Peers)},
			{name: "health", required: true, parse: addr(&cfg.Listen.Health)},
		}, check: distinct(&cfg.Listen)},
		{name: "seeds", parse: addrs(&cfg.Seeds)},
		{name: "log", required: true, fields: remote(&cfg.Log)},
		{name: "list", required: true, fields: remote(&cfg.List)},
		{name: "workers", fields: remote(&cfg.Workers)},
		{name: "limits", fields: limits(&cfg.Limits)},
		{name: "stop", fields: []field{
			{name: "lag", parse: duration(&cfg.Stop.Lag, 0, time.Minute)},
			{name: "limit", parse: duration(&cfg.Stop.Limit, time.Second, time.Hour)},
		}},
		{name: "trace", fields: []field{
			{name: "file", parse: text(&cfg.Trace.File)},
			{name: "share", parse: share(&cfg.Trace.Share)},
		}},
		{name: "logs", fields: []field{
			{name: "level", parse: oneOf(&cfg.Logs.Level, "debug", "info", "warn", "error")},
		}},
		{name: "tls", fields: []field{
			{name: "operators", fields: files(&cfg.TLS.Operators)},
			{name: "peers", fields: files(&cfg.TLS.Peers)},
		}},
		{name: "spare", fields: []field{
			{name: "buffer", parse: share(&cfg.Spare.Buffer)},
			{name: "flood", parse: share(&cfg.Spare.Flood)},
		}},
	}
}

func remote(r *Remote) []field {
	return []field{
		{name: "url", required: true, parse: baseURL(&r.URL)},
		{name: "timeout", parse: duration(&r.Timeout, 10*time.Millisecond, time.Minute)},
	}
}

func limits(l *Limits) []field {
	return []field{
		{name: "body", parse: integer(&l.Body, 1, 1<<30)},
		{name: "queue", parse: duration(&l.Queue, time.Millisecond, time.Hour)},
		{name: "run", parse: duration(&l.Run, time.Millisecond, time.Hour)},
		{name: "header", parse: duration(&l.Header, 10*time.Millisecond, time.Minute)},
		{name: "claim", parse: duration(&l.Claim, 10*time.Millisecond, time.Minute)},
		{name: "outcomes", parse: integer(&l.Outcomes, 1<<10, 1<<40)},
		{name: "conns", parse: integer(&l.Conns, 1, 10_000)},
		{name: "waiting", parse: integer(&l.Waiting, 1, 10_000_000)},
	}
}

// files requires all three fields, so that an incomplete group is refused.
func files(f *Files) []field {
	return []field{
		{name: "cert", required: true, parse: nonEmpty(&f.Cert)},
		{name: "key", required: true, parse: nonEmpty(&f.Key)},
		{name: "authority", required: true, parse: nonEmpty(&f.Authority)},
	}
}

// distinct returns a check that the listeners have different addresses.
func distinct(l *Listen) func() string {
	return func() string {
		all := []string{l.Callers, l.Operators, l.Peers, l.Health}
		slices.Sort(all)
		if len(slices.Compact(all)) < 4 {
			return "each listener needs an address of its own"
		}
		return ""
	}
}

// text returns a function that reads a string.
func text(dst *string) parseFunc {
	return func(v *hujson.Value) string {
		l := literal(v)
		if len(l) == 0 || l.Kind() != '"' {
			return "expected a string"
		}
		*dst = l.String()
		return ""
	}
}

// checked returns a function that reads a string and checks it.
func checked(dst *string, check func(s string) string) parseFunc {
	read := text(dst)
	return func(v *hujson.Value) string {
		if problem := read(v); problem != "" {
			return problem
		}
		return check(*dst)
	}
}

// nonEmpty returns a function that reads a string that is not empty.
func nonEmpty(dst *string) parseFunc {
	return checked(dst, func(s string) string {
		if s == "" {
			return "must not be empty"
		}
		return ""
	})
}

// name returns a function that reads a name that matches validName.
func name(dst *string) parseFunc {
	return checked(dst, func(s string) string {
		if !validName.MatchString(s) {
			return "expected lower-case letters, digits and hyphens, at most 63"
		}
		return ""
	})
}

// addr returns a function that reads an IP address with a port other than 0.
func addr(dst *string) parseFunc {
	return checked(dst, func(s string) string {
		ap, err := netip.ParseAddrPort(s)
		if err != nil || ap.Port() == 0 {
			return "expected an IP address with a port, such as 127.0.0.1:8080"
		}
		return ""
	})
}

// addrs returns a function that reads a list of addresses.
func addrs(dst *[]string) parseFunc {
	return func(v *hujson.Value) string {
		list, ok := v.Value.(*hujson.Array)
		if !ok {
			return "expected a list of addresses"
		}
		*dst = nil
		for i := range list.Elements {
			var a string
			if problem := addr(&a)(&list.Elements[i]); problem != "" {
				return problem
			}
			*dst = append(*dst, a)
		}
		return ""
	}
}

// baseURL returns a function that reads an HTTP URL whose host is an IP address.
func baseURL(dst *string) parseFunc {
	return checked(dst, func(s string) string {
		u, err := url.Parse(s)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
			return "expected a URL, such as http://127.0.0.1:9000"
		}
		if _, err := netip.ParseAddr(u.Hostname()); err != nil {
			return "expected an IP address as host"
		}
		return ""
	})
}

// oneOf returns a function that reads one of the allowed strings.
func oneOf(dst *string, allowed ...string) parseFunc {
	return checked(dst, func(s string) string {
		if !slices.Contains(allowed, s) {
			return "expected one of " + strings.Join(allowed, ", ")
		}
		return ""
	})
}
