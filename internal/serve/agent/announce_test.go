package agent

import (
	"testing"

	"chervilgauge.example/chervilgauge/platform/fake"
)

// Guards against an entry that never has a configuration: it registers after the leader has read the registrations,
// and restarts while the store refuses it, so that only the leader could tell it who leads.
func TestLeaderIsAnnouncedToEntriesThatCameLater(t *testing.T) {
	t.Parallel()
	r := newRig(t, 1, map[string]int{"pool-a": 1})
	r.until("the leader has read the registrations", func() bool { return r.entries[0].localLeader() != nil })
	r.addEntries(1)
	r.start(1)
	r.untilFollowed(1, 0)
	r.until("the leader knows the entry", func() bool { return r.entries[0].elector.HasFollower(r.settings[1].Node, reannounceInterval) })
	r.storeProxies[1].Set(fake.Faults{Busy: true})
	r.kill(r.entries[1])
	r.start(1)
	r.until("the restarted entry has a configuration", func() bool { return r.entries[1].Config() != nil })
}
