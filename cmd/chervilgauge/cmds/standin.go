package cmds

import (
	"bytes"
	"context"
	"flag"
	"net/http"
	"strings"
	"time"

	"chervilgauge.example/chervilgauge/internal/core/ports"
	"chervilgauge.example/chervilgauge/internal/fake/endpt"
	"chervilgauge.example/chervilgauge/internal/fake/fleet"
	"chervilgauge.example/chervilgauge/internal/fake/oplog"
)

// runStandin runs a fake until a signal.
func runStandin(e *env, fs *flag.FlagSet, args []string) error {
	addr := fs.String("addr", "127.0.0.1:0", "`address` to listen on")
	instances := fs.String("instances", "", "comma-separated `names` of the list's instances")
	controls := fs.String("controls", "", "comma-separated `name=URL` of endpoint controls that reboots act on")
	services := fs.String("services", "", "comma-separated `services` of the endpoint, empty for all")
	slots := fs.Int("slots", 8, "requests that the endpoint runs at a time")
	run := fs.Float64("run", 0, "run time of the endpoint's requests in `ms`")
	port := fs.Int("port", 9000, "`port` of the log for all; the list has the next one, endpoint n port+100+n for requests and port+500+n for orders")
	count := fs.Int("endpoints", 4, "`number` of endpoints for all; instance inst-n runs endpoint n")
	rate := fs.Float64("rate", 500, "appends per second that the log accepts, 0 for no limit")
	rest, err := parse(fs, args, 1)
	if err != nil {
		return err
	}
	switch rest[0] {
	case "log":
		return runFakeLog(e, *addr, *rate)
	case "list":
		return runFakeList(e, *addr, splitList(*instances), splitList(*controls))
	case "all":
		p := fakePlatform{host: "127.0.0.1", port: *port, count: *count, slots: *slots, services: splitList(*services), run: *run}
		return p.serve(e)
	case "endpoint":
		return runFakeEndpoint(e, *addr, splitList(*services), *slots, *run)
	}
	return errUsage.New("unknown fake %q; expected all, log, list or endpoint", rest[0])
}

// splitList splits a comma-separated list. It returns nil for an empty string.
func splitList(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(s, ",")
}

func runFakeLog(e *env, addr string, rate float64) error {
	l := oplog.New(oplog.WithAddr(addr), oplog.WithRate(rate))
	url, err := l.Start()
	if err != nil {
		return err
	}
	defer l.Close()
	return e.announce("log", url)
}

func runFakeList(e *env, addr string, names, controls []string) error {
	f := fleet.New(fleet.WithAddr(addr), fleet.WithInstances(names...), fleet.WithHook(rebootHook(controls)))
	url, err := f.Start()
	if err != nil {
		return err
	}
	defer f.Close()
	return e.announce("list", url)
}

func runFakeEndpoint(e *env, addr string, services []string, slots int, run float64) error {
	opts := []endpt.Option{endpt.WithAddr(addr), endpt.WithSlots(slots), endpt.WithFaults(endpt.Faults{Run: run})}
	if len(services) > 0 {
		opts = append(opts, endpt.WithServices(services...))
	}
	ep := endpt.New(opts...)
	if err := ep.Start(); err != nil {
		return err
	}
	defer ep.Close()
	return e.announce("endpoint", "http://"+ep.Addr()+" control "+ep.Control())
}

// announce prints where a fake listens and waits for a signal.
func (e *env) announce(kind, url string) error {
	printf(e.out, "%s %s\n", kind, url)
	<-e.ctx.Done()
	return nil
}

// controlTimeout is the longest time for one request to an endpoint's control address.
const controlTimeout = time.Second

// rebootHook returns a hook that sets the faults of endpoints according to the phases of their
// instances. Controls have the form name=URL.
func rebootHook(controls []string) fleet.Hook {
	urls := map[string]string{}
	for _, c := range controls {
		name, url, _ := strings.Cut(c, "=")
		urls[name] = url
	}
	return func(name string, phase ports.Phase, _ uint64) {
		url, ok := urls[name]
		if !ok {
			return
		}
		switch phase {
		case ports.Leaving:
			sendFaults(http.MethodPut, url, `{"leaving":true}`)
		case ports.Down:
			sendFaults(http.MethodPut, url, `{"refuse":true}`)
		case ports.Live:
			sendFaults(http.MethodDelete, url, "")
		}
	}
}

// sendFaults sends a request that sets or clears faults of a fake endpoint. It ignores errors,
// because a fake that can't be reached is equivalent to one that is down.
func sendFaults(method, url, body string) {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url+"/faults", bytes.NewReader([]byte(body)))
	if err != nil {
		return
	}
	resp, err := http.DefaultClient.Do(req)
	if err == nil {
		_ = resp.Body.Close()
	}
}
