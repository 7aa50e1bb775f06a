package agent

import (
	"context"
	"maps"
	"sync"
	"time"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/serve/lead"
)

const (
	// announceTimeout bounds the announcement of a new leader to all entries, and each attempt to store
	// this entry's registration.
	announceTimeout = 800 * time.Millisecond
	// reannounceInterval is the time between announcements to entries that have not polled the leader
	// for that long. Polls are at most 2 s apart.
	reannounceInterval = 3 * time.Second
)

// announce announces the new leader to the other entries, and again to those that do not poll it: the store may refuse
// requests of some of them, which could not find it otherwise. These are the entries that are registered when it
// takes over, and those that have polled it since: one can register or restart at any time.
func (a *Agent) announce(ctx context.Context, elected lead.Leader) {
	a.announcing.Add(1)
	go func() {
		defer a.announcing.Done()
		begin, peers, isRead := a.clk.Now(), map[string]string{}, false
		for {
			call, cancel := context.WithTimeout(ctx, announceTimeout)
			if !isRead {
				isRead = a.addRegistered(call, peers)
			}
			maps.Copy(peers, a.elector.FollowerAddrs(begin))
			silent := maps.Clone(peers)
			maps.DeleteFunc(silent, func(name, _ string) bool {
				return a.elector.HasFollower(name, min(reannounceInterval, a.clk.Now()-begin))
			})
			a.announceTo(call, elected, silent)
			cancel()
			if clock.Pause(ctx, a.clk, reannounceInterval); ctx.Err() != nil || a.elector.Leader() != elected {
				return
			}
		}
	}()
}

// addRegistered adds the addresses of the registered entries by name, and returns false if they can't be read.
func (a *Agent) addRegistered(ctx context.Context, peers map[string]string) bool {
	rs, _, _, err := a.client.Newest(ctx, entriesTopic, 0, "", announceTimeout)
	if err != nil {
		a.log.Warn().Err(err).Msg("reading the registrations of entries failed; trying again")
		return false
	}
	for _, r := range rs {
		if r.Key == a.settings.Node || len(r.Value) == 0 {
			continue
		}
		peer := decodeRegistration(r.Value)
		a.execs.RecordPeer(r.Key, peer.addr, peer.centre, peer.rank)
		peers[r.Key] = peer.addr
	}
	a.log.Info().Int("entries", len(peers)).Msg("registered entries are read")
	return true
}

// announceTo announces a leader to entries, whose addresses are by name, and waits for their answers.
func (a *Agent) announceTo(ctx context.Context, elected lead.Leader, peers map[string]string) {
	var all sync.WaitGroup
	for name, addr := range peers {
		all.Add(1)
		go func() {
			defer all.Done()
			if err := a.peerClient.Announce(ctx, addr, elected.Token, elected.Name, elected.Addr); err != nil {
				a.log.Debug().Err(err).Str("peer", name).Msg("announcing the leader to an entry failed")
			}
		}()
	}
	all.Wait()
}
