package cmds

import (
	"encoding/json"
	"fmt"
	"net"
	"strconv"

	"chervilgauge.example/chervilgauge/internal/core/ports"
	"chervilgauge.example/chervilgauge/internal/fake/endpt"
	"chervilgauge.example/chervilgauge/internal/fake/fleet"
	"chervilgauge.example/chervilgauge/internal/fake/oplog"
)

// Offsets of the ports of the fakes from the port of the log, and the times of a reboot in
// milliseconds.
const (
	listOffset     = 1
	endpointOffset = 100
	controlOffset  = 500
	// maxEndpoints keeps the ports of endpoints below those of their controls.
	maxEndpoints = 400
	leaveTime    = 1000
	rebootTime   = 5000
)

// fakePlatform configures fakes of the log, the instance list and endpoints in one process.
type fakePlatform struct {
	host     string
	port     int // of the log
	count    int // of endpoints
	slots    int // of each endpoint
	services []string
	run      float64 // run time of a request in milliseconds
}

// addr returns the address of the port at an offset from that of the log.
func (p fakePlatform) addr(offset int) string {
	return net.JoinHostPort(p.host, strconv.Itoa(p.port+offset))
}

// serve runs the fakes until a signal. It returns a local.ErrListen or, with too many endpoints,
// an errUsage.
func (p fakePlatform) serve(e *env) error {
	if p.count > maxEndpoints {
		return errUsage.New("-endpoints must not be above %d", maxEndpoints)
	}
	l := oplog.New(oplog.WithAddr(p.addr(0)))
	defer l.Close()
	logURL, err := l.Start()
	if err != nil {
		return err
	}
	endpoints := map[string]*endpt.Endpoint{}
	names := make([]string, 0, p.count)
	for n := 1; n <= p.count; n++ {
		ep := p.endpoint(n)
		defer ep.Close()
		if err := ep.Start(); err != nil {
			return err
		}
		name := fmt.Sprintf("inst-%d", n)
		names = append(names, name)
		endpoints[name] = ep
	}
	f := fleet.New(
		fleet.WithAddr(p.addr(listOffset)),
		fleet.WithInstances(names...),
		fleet.WithHook(func(name string, phase ports.Phase, _ uint64) {
			if ep, ok := endpoints[name]; ok {
				ep.ApplyPhase(phase)
			}
		}),
		fleet.WithFaults(fleet.Faults{Leave: leaveTime, Reboot: rebootTime}),
	)
	defer f.Close()
	listURL, err := f.Start()
	if err != nil {
		return err
	}
	if err := p.printAddrs(e, logURL, listURL, endpoints); err != nil {
		return err
	}
	<-e.ctx.Done()
	return nil
}

// endpoint returns the fake endpoint with number n, starting at 1.
func (p fakePlatform) endpoint(n int) *endpt.Endpoint {
	opts := []endpt.Option{
		endpt.WithAddr(p.addr(endpointOffset + n)),
		endpt.WithControl(p.addr(controlOffset + n)),
		endpt.WithSlots(p.slots),
		endpt.WithFaults(endpt.Faults{Run: p.run, Exp: true, Seed: uint64(n)}),
	}
	if len(p.services) > 0 {
		opts = append(opts, endpt.WithServices(p.services...))
	}
	return endpt.New(opts...)
}

// printAddrs prints the addresses as JSON.
func (p fakePlatform) printAddrs(e *env, logURL, listURL string, endpoints map[string]*endpt.Endpoint) error {
	type addresses struct {
		Addr    string `json:"addr"`
		Control string `json:"control"`
	}
	all := map[string]addresses{}
	for name, ep := range endpoints {
		all[name] = addresses{ep.Addr(), ep.Control()}
	}
	return errFailed.Wrap(json.NewEncoder(e.out).Encode(struct {
		Log       string               `json:"log"`
		List      string               `json:"list"`
		Endpoints map[string]addresses `json:"endpoints"`
	}{logURL, listURL, all}))
}
