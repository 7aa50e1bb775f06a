package agent

import (
	"context"
	"math"
	"net"
	"time"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/jobs/elect"
	"chervilgauge.example/chervilgauge/internal/serve/peers"
	"chervilgauge.example/chervilgauge/internal/serve/relay"
	"chervilgauge.example/chervilgauge/internal/watch/links"
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
// send it to all of them at once after each change, and it can be large.
func (a *Agent) wantedConfigAbove() int64 {
	if a.orders.SinceLastRead() < storeReachableAge {
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

// fetchConfig gets the leader's configuration if its version is above one.
func (a *Agent) fetchConfig(ctx context.Context, version int64) {
	elected := a.elector.Leader()
	if elected.Addr == "" || elected.IsSelf {
		return
	}
	// Without a name, the request does not count as a poll of a follower.
	d, err := a.configClient.Digest(ctx, elected.Addr, relay.Follower{Version: version, Rank: elect.Rank(a.settings.Cores)})
	if err != nil {
		a.log.Debug().Err(err).Msg("requesting the configuration from the leader failed")
		return
	}
	if len(d.Config) == 0 {
		return
	}
	if err := a.orders.SetConfig(d.Config); err != nil {
		a.log.Error().Err(err).Msg("configuration from the leader can't be decoded")
	}
}
