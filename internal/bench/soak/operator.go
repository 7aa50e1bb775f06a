package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/platform"
	"chervilgauge.example/chervilgauge/platform/fake"
)

const (
	host = "jobs.example"
	// waveWindow is how long a wave may take.
	waveWindow = 20 * time.Second
	// probeInterval is the time between probes of an entry's configuration.
	probeInterval = 250 * time.Millisecond
	// configApply is the time after which a configuration is in force, downgradeSlack the time after
	// which an older one must not have an effect once a newer one had, and slowSlack the same for an
	// entry that was disturbed.
	configApply, downgradeSlack, slowSlack = 2 * time.Second, 250 * time.Millisecond, 2 * time.Second
	// operatorStream is the random stream of the operator.
	operatorStream = 1 << 40
)

// services and queues are in all configurations.
var (
	services = []model.Service{{Name: "pool-a", EnforcesCapacity: true}, {Name: "pool-b"}, {Name: "rest", Standby: true}}
	queues   = []model.Queue{queue("qa", "/a/", "pool-a", 0), queue("qb", "/b/", "pool-b", 1)}
)

func queue(name, prefix, service string, priority int) model.Queue {
	return model.Queue{
		Name: name, Host: host, Prefix: prefix, Service: service, Priority: priority, Attempts: maxAttempts, Slack: 1.6,
		Objective: 600 * time.Millisecond, Timeout: callTimeout,
	}
}

func waveKey(n int64) string { return fmt.Sprint(platform.WavePrefix, n) }

// markerPath is the prefix of a queue that only one version of the configuration has.
func markerPath(version int64) string { return fmt.Sprintf("/v%d/", version) }

// written is a version of the configuration and when it was acknowledged.
type written struct {
	version int64
	at      time.Duration
	// keys reports for each account whether it has its changing key.
	keys [accounts]bool
	// limits holds the limit of each account in thousandths of a core, 0 for none.
	limits [accounts]int64
}

// operator changes the configuration.
type operator struct {
	store *fake.Store
	mu    sync.Mutex
	rng   *rand.Rand
	all   []written
	// limits are those of the next version.
	limits [accounts]int64
}

// newOperator returns an operator that draws from a seed.
func newOperator(store *fake.Store, seed uint64) *operator {
	o := &operator{store: store, rng: rand.New(rand.NewPCG(seed, operatorStream))}
	for _, account := range limitedAccounts {
		o.limits[account] = baseLimit
	}
	return o
}

// configure writes the next version, with changing keys drawn at random.
func (o *operator) configure(now time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.write(now, func(*written) {})
}

// setLimit writes the next version with another limit of an account, which later versions keep.
func (o *operator) setLimit(account int, cores int64, now time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.limits[account] = cores
	o.write(now, func(*written) {})
}

// setKey writes the next version, in which an account has its changing key or not.
func (o *operator) setKey(account int, has bool, now time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.write(now, func(w *written) { w.keys[account] = has })
}

// write writes the next version after a change to what was drawn. The caller holds mu.
func (o *operator) write(now time.Duration, change func(*written)) {
	version := int64(1)
	if n := len(o.all); n > 0 {
		version = o.all[n-1].version + 1 + o.rng.Int64N(3)
	}
	c := model.Config{Version: version, Services: services, BodyLimit: 1 << 16}
	c.Queues = append(append(c.Queues, queues...), queue("marker", markerPath(version), "pool-a", 1))
	w := written{version: version, at: now, limits: o.limits}
	for i := range w.keys {
		w.keys[i] = o.rng.IntN(2) == 0
	}
	change(&w)
	var all []fake.Account
	for i := range w.keys {
		a := fake.Account{Name: accountName(i), Keys: []string{keptKey(i)}, Weight: otherWeight, Cores: w.limits[i]}
		if i == hotAccount {
			a.Weight = hotWeight
		}
		if w.keys[i] {
			a.Keys = append(a.Keys, changingKey(i))
		}
		all = append(all, a)
	}
	o.store.Put(platform.OperatorTopic, platform.ConfigKey, fake.EncodeConfig(c, all...))
	o.all = append(o.all, w)
}

// newest returns up to n of the newest versions, the newest one first.
func (o *operator) newest(n int) []written {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []written
	for i := len(o.all) - 1; i >= 0 && len(out) < n; i-- {
		out = append(out, o.all[i])
	}
	return out
}

// probe asks an entry for the marker queues of the newest versions until the context ends, and
// checks that its configuration is in force in time and does not go back.
func (r *run) probe(ctx context.Context, c *caller, e *entry) {
	defer c.http.CloseIdleConnections()
	var seen written // the newest version of which an effect was seen, and when
	life := 0
	for ctx.Err() == nil {
		for _, v := range r.operator.newest(3) {
			if n := e.life(); n != life {
				life, seen = n, written{}
			}
			begin := r.clk.Now()
			status, _ := c.call(e.index, http.MethodGet, markerPath(v.version), nil, callTimeout)
			calm := r.unplanned.isCalmSince(e.index, begin-stabilityWindow) && r.planned.isCalmSince(e.index, begin-stabilityWindow)
			if e.life() != life {
				break
			}
			slack := downgradeSlack
			if !calm {
				slack = slowSlack
			}
			switch {
			case status == http.StatusOK && v.version < seen.version && begin > seen.at+slack:
				r.found("CONFIG", "", "%s went back from version %d, seen at %s, to %d at %s", e.name, seen.version, seen.at, v.version, begin)
			case status == http.StatusOK && v.version > seen.version:
				seen = written{version: v.version, at: r.clk.Now()}
			case status == http.StatusNotFound && calm && begin > v.at+configApply && r.operator.newest(1)[0] == v:
				r.found("CONFIG", "", "%s does not have version %d, written at %s, at %s", e.name, v.version, v.at, begin)
			}
		}
		r.probeKey(c, e)
		clock.Pause(ctx, r.clk, probeInterval)
	}
}
