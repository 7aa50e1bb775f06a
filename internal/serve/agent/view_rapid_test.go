package agent

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/serve/front"
	"chervilgauge.example/chervilgauge/internal/serve/orders"
	"chervilgauge.example/chervilgauge/internal/serve/relay"
	"chervilgauge.example/chervilgauge/platform"
)

const (
	simRevoke = 5 * time.Second
	simKeys   = 2
	simSteps  = 120
	// simReadAge is the age of a view from which on keys may be refused although the store is reachable.
	simReadAge = simRevoke - 250*time.Millisecond
)

// simVersion is a configuration in the simulated store, and when it was acknowledged.
type simVersion struct {
	at   time.Duration
	keys [simKeys]bool
}

// simEntry is an entry of which only the configuration and its view are simulated.
type simEntry struct {
	*Agent
	clk *clock.Fake
	// lastRead is when the newest successful read of this process was sent, -1 for none.
	lastRead time.Duration
	life     int
	version  int64
}

// simMessage is a read of the store or a request to the leader that is under way. It is carried out at the
// store or the leader, and then answered, at any later times.
type simMessage struct {
	to, life   int
	sent       time.Duration // on the clock of the test
	sentLocal  time.Duration // on the entry's clock
	isRead     bool
	isDone     bool
	version    int
	fromLeader relay.Digest
}

// keySim is a store and entries with clocks of different origins. Entry 0 answers the others.
type keySim struct {
	t        *rapid.T
	rng      *rand.Rand
	now      time.Duration
	versions []simVersion
	entries  []*simEntry
	messages []*simMessage
}

func (s *keySim) restart(i int) {
	e := s.entries[i]
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // the simulation reads in place of the reader
	o := orders.Start(ctx, nil, e.clk, zerolog.Nop())
	o.Close()
	e.Agent = &Agent{orders: o, clk: e.clk, log: zerolog.Nop(), settings: platform.Settings{Bounds: platform.Bounds{StrictRevoke: true, Revoke: simRevoke}}}
	e.lastRead, e.version = -1, 0
	e.life++
}

// advance lets time pass at once, as for a suspended entry: nothing happens meanwhile.
func (s *keySim) advance(d time.Duration) {
	s.now += d
	for _, e := range s.entries {
		e.clk.Advance(d)
	}
}

func (s *keySim) encoded(version int) []byte {
	v, keys := s.versions[version], ""
	for k, ok := range v.keys {
		if ok {
			keys += fmt.Sprintf(`,"key-%d"`, k)
		}
	}
	return fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"q"}],"tenants":[{"name":"a","api_keys":["any"%s]}]}`, version+1, keys)
}

func (s *keySim) write() {
	v := simVersion{at: s.now}
	for k := range v.keys {
		v.keys[k] = s.rng.IntN(2) == 0
	}
	s.versions = append(s.versions, v)
}

func (s *keySim) send(to int, isRead bool) {
	e := s.entries[to]
	s.messages = append(s.messages, &simMessage{to: to, life: e.life, sent: s.now, sentLocal: e.clk.Now(), isRead: isRead})
}

// step carries a message out, or delivers its answer.
func (s *keySim) step(i int) {
	m := s.messages[i]
	e := s.entries[m.to]
	switch {
	case !m.isDone && m.isRead:
		m.version = len(s.versions) - 1
	case !m.isDone:
		m.fromLeader = ConfigDigest(s.entries[0].orders, e.configVersion())
	default:
		s.messages = append(s.messages[:i], s.messages[i+1:]...)
		if e.life == m.life {
			s.answer(m, e)
		}
		return
	}
	m.isDone = true
}

func (s *keySim) answer(m *simMessage, e *simEntry) {
	if !m.isRead {
		assert.NilError(s.t, applyDigest(e.orders, m.fromLeader, m.sentLocal))
	} else {
		// As Orders does with the records of a read.
		assert.NilError(s.t, e.orders.SetConfig(s.encoded(m.version)))
		e.orders.ExtendView(m.sentLocal)
		e.lastRead = max(e.lastRead, m.sent)
	}
	assert.Assert(s.t, e.configVersion() >= e.version, "the configuration went back")
	e.version = e.configVersion()
}

// call makes a call with a key that was sent now, and checks the outcome.
func (s *keySim) call(entry, key int) {
	e := s.entries[entry]
	v := e.View()
	if v.Config == nil {
		return
	}
	account, why := v.CheckKey(v.Config.Queue("q"), []string{fmt.Sprintf("key-%d", key)})
	assert.Equal(s.t, why == front.Accepted, account == "a")
	// Whether a version that was the newest one within the last simRevoke has the key, and whether all
	// of these have it.
	some, all := false, true
	for i := len(s.versions) - 1; i >= 0; i-- {
		some, all = some || s.versions[i].keys[key], all && s.versions[i].keys[key]
		if s.versions[i].at <= s.now-simRevoke {
			break
		}
	}
	if why == front.Accepted {
		assert.Assert(s.t, some, "a key is accepted at %v although no version of the last %v has it", s.now, simRevoke)
	}
	if all && e.lastRead >= 0 && s.now-e.lastRead < simReadAge {
		assert.Equal(s.t, why, front.Accepted, "last read at %v, now %v", e.lastRead, s.now)
	}
}

// Guards against a history of reads, answers of the leader, delays, suspensions and restarts after which an
// entry accepts a key that was removed longer ago than allowed, refuses a valid one although it reads the
// store, or puts an older configuration into force.
func TestNoHistoryLetsARemovedKeyThrough(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// The actions are drawn evenly: rapid prefers the first choices, and most histories would only wait.
		s := &keySim{t: t, rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), rapid.Uint64().Draw(t, "stream")))}
		for i := range 2 {
			s.entries = append(s.entries, &simEntry{clk: clock.NewFake(time.Unix(0, 0))})
			s.entries[i].clk.Advance(time.Duration(i) * time.Hour)
			s.restart(i)
		}
		s.write()
		actions := map[string]func(entry int){
			"write": func(int) { s.write() },
			"read":  func(entry int) { s.send(entry, true) },
			"ask":   func(entry int) { s.send(max(entry, 1), false) },
			"step": func(int) {
				if n := len(s.messages); n > 0 {
					s.step(s.rng.IntN(n))
				}
			},
			"wait": func(int) {
				waits := []time.Duration{time.Millisecond, 300 * time.Millisecond, 2 * time.Second, simReadAge, simRevoke}
				s.advance(waits[s.rng.IntN(len(waits))])
			},
			"restart": s.restart,
		}
		// Some actions are listed twice or more, because most histories need them to get anywhere.
		names := []string{"write", "read", "read", "ask", "ask", "step", "step", "step", "step", "step", "step", "wait", "wait", "restart"}
		for range simSteps {
			actions[names[s.rng.IntN(len(names))]](s.rng.IntN(len(s.entries)))
			for i := range s.entries {
				for k := range simKeys {
					s.call(i, k)
				}
			}
		}
	})
}
