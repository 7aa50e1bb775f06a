package pools

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/bench/inproc"
	"chervilgauge.example/chervilgauge/internal/fake/oplog"
	"chervilgauge.example/chervilgauge/internal/plat/logsvc"
	"chervilgauge.example/chervilgauge/internal/serve/ctrl"
	"chervilgauge.example/chervilgauge/internal/wire/opspb"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

// Guards against a new entry that can't start, or starts with a different state, after retention
// has deleted the records before the newest snapshot.
func TestStartFromSnapshot(t *testing.T) {
	w := start(t, inproc.WithEntries(2))
	c := operators(t, w, 0)
	_, err := c.PutTeam(t.Context(), &recpb.Team{Name: "a", Weight: 7})
	assert.NilError(t, err)
	w.Log.SetLimits(oplog.Limits{})
	log, err := logsvc.New(w.LogURL())
	assert.NilError(t, err)
	defer log.Close()
	// All readers count and skip records that can't be decoded. A snapshot is due after 2,000.
	const snapshotRecords = 2000
	for range snapshotRecords + 100 {
		_, err := log.Append(t.Context(), ctrl.Stream, []byte{0xff})
		assert.NilError(t, err)
	}
	waitUntil(t, "no snapshot is written", func() bool { return w.Entries[0].SnapshotOffset() >= snapshotRecords })
	body := fmt.Sprintf(`{"stream":%q,"first":%d}`, ctrl.Stream, w.Entries[0].SnapshotOffset()+1)
	resp, err := http.Post(w.LogURL()+"/cut", "application/json", strings.NewReader(body))
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode/100, 2)
	_, err = w.AddEntry(t.Context(), 2)
	assert.NilError(t, err)
	assert.NilError(t, w.WaitReady(t.Context(), 2))
	r, err := operators(t, w, 2).Status(t.Context(), &opspb.StatusAsk{})
	assert.NilError(t, err)
	assert.Equal(t, len(r.GetTeams()), 1)
	assert.Equal(t, len(r.GetInstances()), 4)
	waitUntil(t, "states differ or lag", func() bool {
		a, b := w.Entries[0].StateHash(), w.Entries[2].StateHash()
		return a == b
	})
}
