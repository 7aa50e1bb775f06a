package pools

import (
	"net/http"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/bench/world"
	"chervilgauge.example/chervilgauge/internal/fake/oplog"
	"chervilgauge.example/chervilgauge/internal/flow/claim"
	"chervilgauge.example/chervilgauge/internal/plat/stream"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

// landed says whether a claim of the id is in the log.
func landed(t *testing.T, log *stream.Client, id claim.ID) bool {
	t.Helper()
	b, err := log.Read(t.Context(), claim.Stream(id.Slice()), 1, 1000, 0)
	assert.NilError(t, err)
	for _, item := range b.Items {
		r := &recpb.Claims{}
		assert.NilError(t, proto.Unmarshal(item.Data, r))
		for _, c := range r.GetClaims() {
			if claim.ID(c.GetId()) == id {
				return true
			}
		}
	}
	return false
}

// runs returns how often an id ran, over all endpoints.
func runs(w *world.World, id claim.ID) int {
	n := 0
	for _, e := range w.Endpoints {
		n += e.Counts().IDs[id.String()]
	}
	return n
}

// Guards against a request that runs after its caller was told not-run, because its
// claim is appended late, and against one that can never run again for that reason.
func TestLateClaim(t *testing.T) {
	w := start(t)
	log, err := stream.New(w.LogURL())
	assert.NilError(t, err)
	defer log.Close()
	h := &http.Client{}
	defer h.CloseIdleConnections()
	send := func(entry int, id claim.ID, attempt int, timeout time.Duration) world.Reply {
		return world.Send(t.Context(), h, w.Entries[entry].Addrs().Callers, world.Call{
			Service: "plan", ID: id.String(), Attempt: attempt, Timeout: timeout})
	}
	// One id for each slice, so that claims go through the entry itself and through others.
	ids := map[int]claim.ID{}
	for len(ids) < claim.Slices {
		id := claim.NewID()
		ids[id.Slice()] = id
	}
	w.Log.SetFaults("", oplog.Faults{SlowAppend: 1500})
	told := make(chan world.Reply)
	for _, id := range ids {
		go func() { told <- send(0, id, 1, 500*time.Millisecond) }()
	}
	for range ids {
		r := <-told
		assert.NilError(t, r.Err)
		assert.Equal(t, r.Outcome, "not-run", "%s", r.Body)
	}
	w.Log.SetFaults("", oplog.Faults{})
	for _, id := range ids {
		until(t, "claim does not land", func() bool { return landed(t, log, id) })
	}
	// Longer than the pause between two reads of a claims stream and the run time.
	time.Sleep(300 * time.Millisecond)
	for _, id := range ids {
		assert.Equal(t, runs(w, id), 0, "a request ran after it was told not-run")
	}
	for _, id := range ids {
		r := send(1, id, 2, 5*time.Second)
		assert.NilError(t, r.Err)
		assert.Equal(t, r.Outcome, "answered", "%s", r.Body)
		assert.Equal(t, runs(w, id), 1)
	}
}
