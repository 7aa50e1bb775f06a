// Command standin serves a log, an instance list and endpoints on loopback TCP, so
// that entries can be run and checked without a platform.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"

	"chervilgauge.example/chervilgauge/internal/core/ports"
	"chervilgauge.example/chervilgauge/internal/fake/endpt"
	"chervilgauge.example/chervilgauge/internal/fake/fleet"
	"chervilgauge.example/chervilgauge/internal/fake/oplog"
)

// settings are the values of the flags.
type settings struct {
	host     string
	port     int
	count    int
	slots    int
	services string
	run      float64
}

func main() {
	var s settings
	flag.StringVar(&s.host, "host", "127.0.0.1", "IP `address` to listen on")
	flag.IntVar(&s.port, "port", 9000, "`port` of the log; the list has the next one, endpoint n port+100+n for requests and port+500+n for orders")
	flag.IntVar(&s.count, "endpoints", 4, "`number` of endpoints, at most 400; instance inst-n runs endpoint n")
	flag.IntVar(&s.slots, "slots", 8, "`number` of slots of each endpoint")
	flag.StringVar(&s.services, "services", "", "comma-separated `names` of the services that each endpoint hosts, all if empty")
	flag.Float64Var(&s.run, "run", 0, "mean run time in `ms`, exponentially distributed")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := serve(ctx, s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// addr returns the address of a port counted from that of the log.
func (s settings) addr(offset int) string {
	return net.JoinHostPort(s.host, strconv.Itoa(s.port+offset))
}

// serve runs the stand-ins until ctx ends. It returns a local.ErrListen.
func serve(ctx context.Context, s settings) error {
	l := oplog.New(oplog.WithAddr(s.addr(0)))
	defer l.Close()
	logURL, err := l.Start()
	if err != nil {
		return err
	}
	endpoints := map[string]*endpt.Endpoint{}
	names := make([]string, 0, s.count)
	for n := 1; n <= s.count; n++ {
		e := s.endpoint(n)
		defer e.Close()
		if err := e.Start(); err != nil {
			return err
		}
		name := fmt.Sprintf("inst-%d", n)
		names = append(names, name)
		endpoints[name] = e
	}
	f := fleet.New(
		fleet.WithAddr(s.addr(1)),
		fleet.WithInstances(names...),
		fleet.WithHook(func(name string, p ports.Phase, _ uint64) { follow(endpoints[name], p) }),
		fleet.WithFaults(fleet.Faults{Leave: 1000, Reboot: 5000}),
	)
	defer f.Close()
	listURL, err := f.Start()
	if err != nil {
		return err
	}
	show(logURL, listURL, endpoints)
	<-ctx.Done()
	return nil
}

func (s settings) endpoint(n int) *endpt.Endpoint {
	opts := []endpt.Option{
		endpt.WithAddr(s.addr(100 + n)),
		endpt.WithControl(s.addr(500 + n)),
		endpt.WithSlots(s.slots),
		endpt.WithFaults(endpt.Faults{Run: s.run, Exp: true, Seed: uint64(n)}),
	}
	if s.services != "" {
		opts = append(opts, endpt.WithServices(strings.Split(s.services, ",")...))
	}
	return endpt.New(opts...)
}

// follow lets an endpoint do what its instance does. An instance that was added
// later has none.
func follow(e *endpt.Endpoint, p ports.Phase) {
	if e == nil {
		return
	}
	if p == ports.Down {
		e.Stop()
		return
	}
	f := e.Faults()
	f.Leaving = p == ports.Leaving
	if err := e.SetFaults(f); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if err := e.Resume(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}

// show prints the addresses as JSON.
func show(logURL, listURL string, endpoints map[string]*endpt.Endpoint) {
	type addresses struct {
		Addr    string `json:"addr"`
		Control string `json:"control"`
	}
	all := map[string]addresses{}
	for name, e := range endpoints {
		all[name] = addresses{e.Addr(), e.Control()}
	}
	_ = json.NewEncoder(os.Stdout).Encode(struct {
		Log       string               `json:"log"`
		List      string               `json:"list"`
		Endpoints map[string]addresses `json:"endpoints"`
	}{logURL, listURL, all})
}
