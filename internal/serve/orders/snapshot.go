package orders

import (
	"time"

	"github.com/rs/zerolog"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
)

// Snapshot is what Orders hold of the configuration and of the reader's position, without the waves. It is
// comparable; the zero value is that of a new process. Model checks keep it between the steps of a process.
type Snapshot struct {
	Config *model.Config
	Raw    *[]byte

	view      viewState
	followed  int64
	behind    readEnd
	hasBehind bool
}

// Snapshot returns a snapshot. Only the reader, or the caller of Restore, may call it.
func (o *Orders) Snapshot() Snapshot {
	o.view.mu.Lock()
	defer o.view.mu.Unlock()
	return Snapshot{o.conf.Load(), o.raw.Load(), o.view.viewState, o.followed, o.behind, o.hasBehind}
}

// Restore returns Orders whose caller takes the part of the reader.
func Restore(s Snapshot, c Store, clk clock.Clock) *Orders {
	o := &Orders{client: c, log: zerolog.Nop(), clk: clk, waves: map[int64]Wave{}, moved: map[string]map[string]time.Duration{}}
	o.conf.Store(s.Config)
	o.raw.Store(s.Raw)
	o.view.viewState = s.view
	o.followed, o.behind, o.hasBehind = s.followed, s.behind, s.hasBehind
	return o
}
