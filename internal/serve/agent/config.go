package agent

import (
	"context"
	"math"
	"net"
	"time"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/jobs/elect"
	"chervilgauge.example/chervilgauge/internal/serve/front"
	"chervilgauge.example/chervilgauge/internal/serve/orders"
	"chervilgauge.example/chervilgauge/internal/serve/peers"
	"chervilgauge.example/chervilgauge/internal/serve/relay"
	"chervilgauge.example/chervilgauge/internal/watch/links"
	"chervilgauge.example/chervilgauge/platform"
)

const (
	// storeReachableAge is the longest time since the store's last answer at which this entry counts as
	// able to read the configuration itself: the longest wait of a read plus its latency.
	storeReachableAge = 1 * time.Second
	// configInterval is the time between requests for the leader's configuration.
	configInterval = 500 * time.Millisecond
	// configStall is how long no byte of the configuration may arrive before the transfer is given up.
	// The time for all of it depends on its size and on the link.
	configStall = 1500 * time.Millisecond
)

// newConfigClient returns a client whose calls end only when nothing arrives for configStall.
func (a *Agent) newConfigClient() *relay.Client {
	return relay.NewClient(peers.WithStall(configStall), peers.WithDial(a.network.Dial), peers.WithConnWrapper(func(conn net.Conn) net.Conn {
		return a.traffic.Conn(links.Entries, conn)
	}))
}

// wantedConfigAbove returns the version of the configuration above which the leader should send its
// own. Entries that can read the store read the configuration there: the leader would otherwise
// send it to all of them at once after each change, and it can be large. Entries that can't decode the
// newest configuration there and may have missed the previous one ask for that.
func (a *Agent) wantedConfigAbove() int64 {
	if a.orders.SinceLastRead() < storeReachableAge && !a.orders.MayLackConfig() {
		return math.MaxInt64
	}
	return a.configVersion()
}

// followConfig gets the configuration from the leader while this entry can't read the store. It does
// so apart from the polls of the leader, whose time limit a large configuration would exceed.
func (a *Agent) followConfig(ctx context.Context) {
	defer close(a.configDone)
	for ctx.Err() == nil {
		if version := a.wantedConfigAbove(); version < math.MaxInt64 {
			a.fetchConfig(ctx, version)
		}
		clock.Pause(ctx, a.clk, configInterval)
	}
}

// fetchConfig gets the leader's configuration if its version is above one, and the age of the leader's
// view of it, which counts from when the request is sent.
func (a *Agent) fetchConfig(ctx context.Context, version int64) {
	elected := a.elector.Leader()
	if elected.Addr == "" || elected.IsSelf {
		return
	}
	err := FetchConfig(a.orders, a.clk, func() (relay.Digest, error) {
		// Without a name, the request does not count as a poll of a follower.
		return a.configClient.Digest(ctx, elected.Addr, relay.Follower{Version: version, Rank: elect.Rank(a.settings.Cores)})
	})
	switch {
	case platform.ErrFormat.Has(err):
		a.log.Error().Err(err).Msg("configuration from the leader can't be decoded")
	case err != nil:
		a.log.Debug().Err(err).Msg("requesting the configuration from the leader failed")
	}
}

// FetchConfig asks another entry for its digest and applies the configuration and the view in it.
func FetchConfig(o *orders.Orders, clk clock.Clock, ask func() (relay.Digest, error)) error {
	sent := clk.Now()
	d, err := ask()
	if err != nil {
		return err
	}
	return applyDigest(o, d, sent)
}

// applyDigest puts the configuration in an answer into force. It then extends the view of the
// configuration by the answer's, whose age counts from when the request was sent: the answer may be late.
func applyDigest(o *orders.Orders, d relay.Digest, sent time.Duration) error {
	if len(d.Config) > 0 {
		if err := o.SetConfig(d.Config); err != nil {
			return err
		}
	}
	if d.HasView {
		o.ExtendView(sent - d.ViewAge)
	}
	return nil
}

// ConfigDigest returns a digest with the age of an entry's view, and with its configuration if that is
// above a version.
func ConfigDigest(o *orders.Orders, version int64) relay.Digest {
	var out relay.Digest
	// The age comes first, so that the configuration is at least as new as the age says.
	out.ViewAge, out.HasView = o.ViewAge()
	if c := o.Config(); c != nil && c.Version > version {
		out.Config = o.RawConfig()
	}
	return out
}

// ViewOf returns the configuration in force and the age of the view of it.
func ViewOf(o *orders.Orders, b platform.Bounds) front.View {
	// The age comes first, so that the configuration is at least as new as the age says.
	age, ok := o.ViewAge()
	return front.View{Config: o.Config(), Age: age, HasAge: ok, Strict: b.StrictRevoke, Revoke: b.Revoke}
}
