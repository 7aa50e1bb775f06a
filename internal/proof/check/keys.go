package check

import (
	"context"
	"fmt"
	"slices"
	"time"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/serve/agent"
	"chervilgauge.example/chervilgauge/internal/serve/front"
	"chervilgauge.example/chervilgauge/internal/serve/orders"
	"chervilgauge.example/chervilgauge/platform"
)

const (
	keyTick   = time.Second
	keyRevoke = 5 * time.Second
	// servedTicks is the age of a view up to which valid keys must be accepted.
	servedTicks = 4
	// keyDrift is by how much the clocks of entries are slow, of those with even numbers, or fast.
	keyDrift = 0.001
	// keyOrigins is the difference between the origins of entries' clocks.
	keyOrigins = time.Hour
	// maxKeyStates bounds the memory of a search, which is incomplete beyond.
	maxKeyStates = 1_000_000
	// never is earlier than all views.
	never = -100
	// removedKey is in the first configuration only, keptKey in all.
	removedKey, keptKey = "removed", "kept"
)

// KeyRecord is a record that operators write.
type KeyRecord uint8

// Records.
const (
	// AllKeys is a configuration with all keys. It is the first record.
	AllKeys KeyRecord = iota
	// FewerKeys is a configuration without a key.
	FewerKeys
	// Faulty is a configuration that can't be decoded.
	Faulty
	// Other is not a configuration.
	Other
)

// KeyLimits bound a search of KeyModel. Each is the largest number of such steps on any path.
type KeyLimits struct {
	Ticks int
	// Askers is the number of entries that ask others, and Readers of those that read the store, 0 for all.
	Askers, Readers int
	// Reads are reads of the store, and Asks requests to other entries, by all entries.
	Reads, Asks int
	// Lost are calls that their senders give up.
	Lost              int
	Restarts, Suspend int
	// Gone are reads whose history was deleted, after which the newest records are listed.
	Gone int
}

// KeyModel is a model of the entries' views of the keys in strict mode. Each entry reads the store and asks
// any of the others, which stands for every leader that it may follow. A call is carried out, and its answer
// arrives, at any times after it was sent. A new configuration is acknowledged at once: later acknowledgements
// only leave more time. A client's call is made in each state, and is sent and checked at that time. A
// suspended entry takes no step; what it had sent is carried out.
//
// The state of an entry is that of its orders.Orders. A step restores these and runs ReadAll, ReadNext,
// agent.FetchConfig, agent.ConfigDigest, or agent.ViewOf and front.View.CheckKey.
type KeyModel struct {
	entries, page  int
	script         []KeyRecord
	limits         KeyLimits
	sleepingClocks bool
	unread         bool
	earlier        bool
	written        bool

	log   []platform.Record
	queue model.Queue
	// known are snapshots with each version of the configuration.
	known map[int64]orders.Snapshot
}

// KeyOption changes a KeyModel.
type KeyOption func(*KeyModel)

// WithEntries sets the number of entries.
func WithEntries(n int) KeyOption { return func(m *KeyModel) { m.entries = n } }

// WithRecords sets what operators write after the first configuration.
func WithRecords(rs ...KeyRecord) KeyOption {
	return func(m *KeyModel) { m.script = append([]KeyRecord{AllKeys}, rs...) }
}

// WithReadPage has the store answer a read with at most n records.
func WithReadPage(n int) KeyOption { return func(m *KeyModel) { m.page = n } }

// WithUnread starts the search with an entry, the first one, that has not read the store.
func WithUnread() KeyOption { return func(m *KeyModel) { m.unread = true } }

// WithAllWritten has all records written at the start, after the reads of the entries that have read.
func WithAllWritten() KeyOption { return func(m *KeyModel) { m.written = true } }

// WithEarlierVersions has answers of other entries that don't have the age of their view.
func WithEarlierVersions() KeyOption { return func(m *KeyModel) { m.earlier = true } }

// WithClocksStopped gives entries clocks that stop while they are suspended.
func WithClocksStopped() KeyOption { return func(m *KeyModel) { m.sleepingClocks = true } }

// NewKeys returns a model of 2 entries that have read the first configuration, and a second one that removes a
// key.
func NewKeys(limits KeyLimits, opts ...KeyOption) *KeyModel {
	m := &KeyModel{entries: 2, page: 100, limits: limits, queue: model.Queue{Name: "q"}, known: map[int64]orders.Snapshot{}}
	WithRecords(FewerKeys)(m)
	for _, o := range opts {
		o(m)
	}
	for i, kind := range m.script {
		keys := `"kept"`
		if kind == AllKeys {
			keys += `,"removed"`
		}
		r := platform.Record{Offset: int64(i), Key: platform.ConfigKey}
		switch kind {
		case AllKeys, FewerKeys:
			r.Value = fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"q"}],"tenants":[{"name":"a","api_keys":[%s]}]}`, i+1, keys)
		case Faulty:
			r.Value = []byte(`{"version":`)
		case Other:
			r.Key, r.Value = "other", []byte("{}")
		}
		m.log = append(m.log, r)
	}
	return m
}

// keyState is a state of a KeyModel.
type keyState struct {
	now, written, removedAt int8
	entries                 [maxEntries]keyEntry
	used                    struct{ reads, asks, lost, restarts, suspend, gone int8 }
	broken                  Breach
}

// keyEntry is a process.
type keyEntry struct {
	orders orders.Snapshot
	// from is the offset of the next read, -1 before the first list.
	from      int8
	read, ask keyCall
	suspended bool
	// born is when the process started; its clock starts then.
	born int8
	// slept is the time in suspension, counted only if clocks stop then.
	slept int8
	// asOf is as of when the entry has been told everything, by the store or by the entries that it asked. It is
	// not set with faulty configurations, which can keep it from knowing that.
	asOf int8
}

// keyCall is a call of an entry.
type keyCall struct {
	pending, done bool // done is only set for requests to other entries
	sent          int8 // when it was sent
	sentLocal     time.Duration
	list          bool
	end           int8 // the end of the log when the read was sent
	to            int8
	above         int64 // the version above which a configuration is asked for
	version       int64 // of the configuration in the answer, 0 for none
	view          uint32
	asOf          int8 // as of when the other entry's answer is, by the time of the call
}

// keyClock is the clock of an entry. before is called once before the next reading.
type keyClock struct {
	clock.Clock
	now    time.Duration
	before func()
}

// Now returns the time.
func (c *keyClock) Now() time.Duration {
	if f := c.before; f != nil {
		c.before = nil
		f()
	}
	return c.now
}

// keyStore answers a read whose answer is known. The clock shows the time of the answer from then on.
type keyStore struct {
	m    *KeyModel
	clk  *keyClock
	now  time.Duration
	from int8
	call keyCall
}

func (a keyStore) Newest(context.Context, string, int, string, time.Duration) ([]platform.Record, bool, int64, error) {
	a.clk.now = a.now
	newest := map[string]platform.Record{}
	for _, r := range a.m.log[:a.call.end] {
		newest[r.Key] = r
	}
	var out []platform.Record
	for _, r := range newest {
		out = append(out, r)
	}
	return out, false, int64(a.call.end), nil
}

func (a keyStore) Read(context.Context, string, int, int64, time.Duration, time.Duration) ([]platform.Record, int64, error) {
	a.clk.now = a.now
	return a.m.log[a.from:min(int(a.from)+a.m.page, int(a.call.end))], int64(a.call.end), nil
}

// local returns what the clock of an entry shows.
func (m *KeyModel) local(s *keyState, i int) time.Duration {
	t := time.Duration(s.now-s.entries[i].born-s.entries[i].slept) * keyTick
	drift := time.Duration(keyDrift * float64(t))
	if i%2 == 0 {
		drift = -drift
	}
	return time.Duration(i)*keyOrigins + t + drift
}

// save stores the orders of an entry, with one value for each version of the configuration.
func (m *KeyModel) save(s *keyState, i int, o *orders.Orders) {
	e, next := &s.entries[i], o.Snapshot()
	if next.Config != nil {
		v := next.Config.Version
		if _, ok := m.known[v]; !ok {
			m.known[v] = next
		}
		next.Config, next.Raw = m.known[v].Config, m.known[v].Raw
	}
	if old := e.orders.Config; old != nil && next.Config.Version < old.Version {
		s.broken |= Reverted
	}
	e.orders = next
}

// receiveRead has an entry receive the answer to its read, which was carried out at an end of the log.
func (m *KeyModel) receiveRead(s *keyState, i int, end int8, o *orders.Orders, st *keyStore) {
	e := &s.entries[i]
	c := e.read
	c.end = end
	e.read = keyCall{}
	st.clk.now, st.now, st.from, st.call = c.sentLocal, m.local(s, i), e.from, c
	var from int64
	var err error
	if c.list {
		from, err = o.ReadAll(context.Background())
	} else {
		from, err = o.ReadNext(context.Background(), int64(e.from), 0)
	}
	if err != nil {
		panic(err) // the model answers all reads
	}
	st.clk.now = st.now
	e.from = int8(from)
	if e.from == c.end && !slices.Contains(m.script, Faulty) {
		e.asOf = max(e.asOf, c.sent)
	}
}

// restore returns the orders of an entry at the present time.
func (m *KeyModel) restore(s *keyState, i int) (*orders.Orders, *keyStore) {
	st := &keyStore{m: m, clk: &keyClock{now: m.local(s, i)}}
	return orders.Restore(s.entries[i].orders, st, st.clk), st
}

// Search visits all states breadth-first, until a promise is broken.
func (m *KeyModel) Search() Result {
	s := keyState{written: 1, removedAt: never}
	for i := range m.entries {
		s.entries[i] = keyEntry{from: -1, asOf: never}
		if i > 0 || !m.unread {
			o, st := m.restore(&s, i)
			s.entries[i].read = keyCall{sentLocal: st.clk.now, list: true}
			m.receiveRead(&s, i, 1, o, st)
			m.save(&s, i, o)
		}
	}
	if m.written {
		s.written, s.removedAt = int8(len(m.script)), 0
	}
	return explore(s, maxKeyStates, m.expand, m.normalize, func(s *keyState) Breach {
		for i := range m.entries {
			if !s.entries[i].suspended {
				m.checkCalls(s, i)
			}
		}
		return s.broken
	})
}

// checkCalls makes calls to an entry. A read may be answered while the entry checks the key.
func (m *KeyModel) checkCalls(s *keyState, i int) {
	e := &s.entries[i]
	if e.orders.Config == nil {
		return
	}
	isOver := s.removedAt != never && time.Duration(s.now-s.removedAt)*keyTick >= keyRevoke
	isRecent := s.now-e.asOf <= servedTicks
	if !isOver && !isRecent {
		return
	}
	for _, end := range m.ends(s, i) {
		if end > 0 && !isOver {
			break
		}
		o, st := m.restore(s, i)
		if end > 0 {
			n := *s
			st.clk.before = func() { m.receiveRead(&n, i, end, o, st) }
		}
		v := agent.ViewOf(o, platform.Bounds{StrictRevoke: true, Revoke: keyRevoke})
		if _, why := v.CheckKey(&m.queue, []string{removedKey}); why == front.Accepted && isOver {
			s.broken |= Removed
		}
		if _, why := v.CheckKey(&m.queue, []string{keptKey}); why != front.Accepted && isRecent {
			s.broken |= Unserved
		}
	}
}

// ends returns 0 and the ends of the log at which an entry's read may have been carried out.
func (m *KeyModel) ends(s *keyState, i int) []int8 {
	out := []int8{0}
	if c := s.entries[i].read; c.pending {
		for end := c.end; end <= s.written; end++ {
			out = append(out, end)
		}
	}
	return out
}

// normalize makes equal what has the same successors: views that are too old to accept keys.
func (m *KeyModel) normalize(s *keyState) {
	for i := range m.entries {
		if e := &s.entries[i]; s.now-e.asOf > servedTicks {
			e.asOf = never
		}
	}
}
