// Package orders follows what operators write to the platform's store: the configuration and the
// waves.
package orders

import (
	"context"
	"errors"
	"maps"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/platform"
)

const (
	// readWait is how long a read waits for a change. A read on an unresponsive connection ends
	// after readWait + readStall. Their sum must stay below 2 s, the time within which a
	// configuration must be in force.
	readWait  = 800 * time.Millisecond
	readStall = 500 * time.Millisecond
	// slowAnswer is the time for an answer from which on the store counts as slow. Reads of a slow store
	// don't wait for a change: an answer that takes 1 s would come after readWait + readStall.
	slowAnswer = readStall / 2
	// retryPause is the time between reads after a failure.
	retryPause = 100 * time.Millisecond
)

// Store is the part of the platform's store that Orders read, see platform.Client.
type Store interface {
	Newest(ctx context.Context, topic string, part int, after string, stall time.Duration) ([]platform.Record, bool, int64, error)
	Read(ctx context.Context, topic string, part int, from int64, wait, stall time.Duration) ([]platform.Record, int64, error)
}

// Wave is a wave that an operator ordered.
type Wave struct {
	model.Wave
	// FirstSeen is when this entry first read it, on the entry's clock.
	FirstSeen time.Duration
}

// Orders holds the operators' orders read so far. It is safe for concurrent use.
type Orders struct {
	client Store
	log    zerolog.Logger
	clk    clock.Clock

	conf atomic.Pointer[model.Config]
	raw  atomic.Pointer[[]byte]
	// keysSince are, by account, the versions since which their keys have not changed. It is never modified.
	keysSince atomic.Pointer[map[string]int64]
	lastRead  atomic.Int64 // when the store last answered, on the entry's clock
	view      viewTime
	// followed is the offset up to which each record was read. Only the reader uses it.
	followed int64
	// behind is the first read since whose answer the end that it reported was not reached, with hasBehind.
	// Only the reader uses it.
	behind    readEnd
	hasBehind bool

	mu    sync.Mutex
	waves map[int64]Wave
	// moved holds the services that queues belonged to, by queue, and until when, in Unix time.
	moved map[string]map[string]time.Duration

	cancel context.CancelFunc
	done   chan struct{}
}

// readEnd is the end of the log that a read reported, and when the read was sent.
type readEnd struct {
	sent time.Duration
	end  int64
}

// Start follows the operators' orders until Close.
func Start(ctx context.Context, c Store, clk clock.Clock, log zerolog.Logger) *Orders {
	ctx, cancel := context.WithCancel(ctx)
	o := &Orders{client: c, log: log, clk: clk, waves: map[int64]Wave{}, moved: map[string]map[string]time.Duration{}, cancel: cancel, done: make(chan struct{})}
	go o.run(ctx)
	return o
}

// Close stops following the orders and waits for the reader to end.
func (o *Orders) Close() {
	o.cancel()
	<-o.done
}

// Config returns the newest configuration, or nil if none was read.
func (o *Orders) Config() *model.Config { return o.conf.Load() }

// RawConfig returns the encoded configuration for entries with an older one, or nil if none was
// read. It holds the digests of keys in place of the keys.
func (o *Orders) RawConfig() []byte {
	if p := o.raw.Load(); p != nil {
		return *p
	}
	return nil
}

// SinceLastRead returns the time since the store last answered.
func (o *Orders) SinceLastRead() time.Duration { return o.clk.Now() - time.Duration(o.lastRead.Load()) }

// Waves returns a copy of the waves, by number.
func (o *Orders) Waves() map[int64]Wave {
	o.mu.Lock()
	defer o.mu.Unlock()
	return maps.Clone(o.waves)
}

func (o *Orders) run(ctx context.Context) {
	defer close(o.done)
	from, ok := int64(0), false
	lost, slow := false, false
	for ctx.Err() == nil {
		var err error
		begin := o.clk.Now()
		if !ok {
			from, err = o.ReadAll(ctx)
		} else {
			wait := readWait
			if slow {
				wait = 0
			}
			from, err = o.ReadNext(ctx, from, wait)
		}
		slow = err != nil || slow && o.clk.Now()-begin > slowAnswer
		ok = err == nil
		if gone := (*platform.GoneError)(nil); !ok && !errors.As(err, &gone) && from > 0 {
			// The orders read so far stay in force, and reading continues at the same offset.
			ok = true
		}
		if err != nil && ctx.Err() == nil {
			if !lost {
				o.log.Warn().Err(err).Msg("reading operators' orders failed")
			}
			lost = true
			clock.Pause(ctx, o.clk, retryPause)
			continue
		}
		if lost && ctx.Err() == nil {
			o.log.Info().Msg("reading operators' orders works again")
		}
		lost = false
		o.lastRead.Store(int64(o.clk.Now()))
	}
}

// ReadAll reads the newest record of each key. It returns the offset from which reading continues. Only the
// reader, or the caller of Restore, may call it.
func (o *Orders) ReadAll(ctx context.Context) (int64, error) {
	from, after, sent := int64(-1), "", o.clk.Now()
	o.hasBehind = false
	for {
		rs, more, end, err := o.client.Newest(ctx, platform.OperatorTopic, 0, after, readWait+readStall)
		if err != nil {
			return 0, err
		}
		if from < 0 {
			from = end
		}
		for _, r := range rs {
			// The list has no earlier configuration than the newest one.
			if !o.apply(r) && r.Offset >= o.followed {
				o.view.beginGap(o.clk.Now())
			}
			after = r.Key
		}
		if !more || len(rs) == 0 {
			o.view.extendByRead(sent)
			o.followed = from
			return from, nil
		}
	}
}

// ReadNext reads the records from an offset on, or waits for one, and returns the offset from which reading
// continues. Only the reader, or the caller of Restore, may call it.
// The store may answer with a part of the records; the view is extended to a read once the end that it
// reported is reached. Reads may never reach their own end while much is written.
func (o *Orders) ReadNext(ctx context.Context, from int64, wait time.Duration) (int64, error) {
	sent := o.clk.Now()
	rs, end, err := o.client.Read(ctx, platform.OperatorTopic, 0, from, wait, readWait+readStall-wait)
	if err != nil {
		return from, err
	}
	for _, r := range rs {
		o.apply(r)
	}
	from += int64(len(rs))
	o.followed = from
	if o.hasBehind && from >= o.behind.end {
		o.view.extendByRead(o.behind.sent)
		o.hasBehind = false
	}
	switch {
	case from == end:
		o.view.extendByRead(sent)
	case !o.hasBehind:
		o.behind, o.hasBehind = readEnd{sent, end}, true
	}
	return from, nil
}

// apply applies a record. It returns false for a configuration that can't be decoded.
func (o *Orders) apply(r platform.Record) bool {
	if len(r.Value) == 0 {
		return true
	}
	if r.Key == platform.ConfigKey {
		if err := o.SetConfig(r.Value); err != nil {
			o.log.Error().Err(err).Int64("offset", r.Offset).Msg("configuration can't be decoded")
			return false
		}
		o.view.endGap() // earlier configurations don't matter any more
		return true
	}
	o.applyWave(r)
	return true
}

func (o *Orders) applyWave(r platform.Record) {
	if _, ok := platform.WaveKey(r.Key); !ok {
		return
	}
	w, err := platform.DecodeWave(r.Value)
	if err != nil {
		o.log.Error().Err(err).Str("key", r.Key).Msg("wave can't be decoded")
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if old, ok := o.waves[w.Number]; ok {
		o.waves[w.Number] = Wave{w, old.FirstSeen}
		return
	}
	o.waves[w.Number] = Wave{w, o.clk.Now()}
	o.log.Info().Str("wave", strconv.FormatInt(w.Number, 10)).Int("instances", len(w.Instances)).
		Int("most", w.MaxConcurrent).Dur("within", w.Window).Msg("wave is ordered")
}

// SetConfig decodes a configuration and puts it into force unless one of the same or a newer
// version is in force. It returns an ErrFormat.
func (o *Orders) SetConfig(value []byte) error {
	value, err := platform.RedactConfig(value)
	if err != nil {
		return err
	}
	// What is in force is decoded from what other entries get.
	c, err := platform.DecodeConfig(value)
	if err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	old := o.conf.Load()
	if old != nil && old.Version >= c.Version {
		return nil
	}
	if old != nil {
		o.recordMoves(old, c)
	}
	since := keysSince(old, o.KeysSince(), c)
	o.keysSince.Store(&since) // first, so that each account of the configuration has one
	o.conf.Store(c)
	o.raw.Store(&value)
	o.log.Info().Int64("version", c.Version).Int("queues", len(c.Queues)).Msg("configuration is in force")
	return nil
}

// recordMoves records the services of queues that another configuration moves or removes. The caller
// holds mu.
func (o *Orders) recordMoves(old, next *model.Config) {
	for i := range old.Queues {
		q := &old.Queues[i]
		if n := next.Queue(q.Name); n != nil && n.Service == q.Service {
			continue
		}
		if o.moved[q.Name] == nil {
			o.moved[q.Name] = map[string]time.Duration{}
		}
		o.moved[q.Name][q.Service] = time.Duration(o.clk.Wall().UnixNano())
	}
}

// FormerServices returns the services that a queue belonged to at a Unix time or later, and to which
// a later configuration that this entry has read does not assign it.
func (o *Orders) FormerServices(queue string, since time.Duration) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []string
	for service, until := range o.moved[queue] {
		if until >= since {
			out = append(out, service)
		}
	}
	return out
}
