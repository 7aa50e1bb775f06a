package proxy

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/wire/workpb"
)

// carryOut has an entry carry out orders, and returns their outcomes and the executors' record.
func carryOut(t *testing.T, in *workpb.Orders) ([]*workpb.Outcome, *execRecorder) {
	t.Helper()
	rec := &execRecorder{}
	p := newPipe(t.Context())
	served := make(chan error, 1)
	go func() { served <- Serve(entryEnd{p}, rec, NewLimits(1000, 1<<20), clock.NewSystem(), zerolog.Nop()) }()
	assert.NilError(t, leaderEnd{p}.Send(in))
	var out []*workpb.Outcome
	for len(out) < len(in.GetOrders()) {
		m, err := leaderEnd{p}.Recv()
		assert.NilError(t, err)
		out = append(out, m.GetOutcomes()...)
	}
	p.cancel()
	<-served
	return out, rec
}

// Guards against a task that is started without its job's specification, which the entry does not have.
func TestStartWithoutSpecificationIsRefused(t *testing.T) {
	start := &workpb.Order{Seq: 1, Kind: uint32(kindStart), Task: "j.0.0.1", Attempt: 1, Limit: 5000}
	out, rec := carryOut(t, &workpb.Orders{Orders: []*workpb.Order{start}, Specs: []*workpb.Spec{{Job: "other", Text: "x"}}})
	assert.Equal(t, verdict(out[0].GetVerdict()), verdictRefused)
	assert.Equal(t, rec.count(), 0)
	_, rec = carryOut(t, &workpb.Orders{Orders: []*workpb.Order{start}, Specs: []*workpb.Spec{{Job: "j"}}})
	assert.Equal(t, rec.count(), 1)
}

// Whatever orders an entry receives, each gets one outcome, and only tasks with a name are started.
func FuzzOrders(f *testing.F) {
	for _, o := range []*workpb.Order{
		{Seq: 1, Kind: uint32(kindStart), Task: "j.0.0.1", Attempt: 1, Limit: 50}, {Seq: 2, Kind: uint32(kindStop), Task: "x", Limit: 1},
		{Kind: uint32(kindPoll), Deadline: 1 << 62, Wait: 1 << 31, Limit: 50}, {Kind: 99, Limit: 1 << 31},
	} {
		data, err := proto.Marshal(&workpb.Orders{Orders: []*workpb.Order{o}, Specs: []*workpb.Spec{{Job: "j", Text: "s"}}})
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var in workpb.Orders
		if proto.Unmarshal(data, &in) != nil || len(in.GetOrders()) > 50 {
			return
		}
		out, rec := carryOut(t, &in)
		assert.Equal(t, len(out), len(in.GetOrders()))
		for _, s := range rec.starts {
			assert.Assert(t, s.Task.Job != "")
		}
	})
}

// Whatever outcome a leader receives, its lists are decoded within range, and sent on they are the same.
func FuzzOutcome(f *testing.F) {
	for _, o := range []*workpb.Outcome{
		{Clock: 1500, Born: 77, Running: []*workpb.Running{{Task: "j.0.1.3", Attempt: 4, Saved: "s", Percent: 12.5, Tail: 90}}, Ended: []*workpb.Finish{{Seq: 5, Task: "j.0.1.3", Attempt: 3, How: 2}, {Seq: 6}}},
		{Clock: 1<<63 - 1, Verdict: 9, Reason: 300, Ended: []*workpb.Finish{{Seq: -1, Task: "x", How: 99}}},
	} {
		data, err := proto.Marshal(o)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var in workpb.Outcome
		if proto.Unmarshal(data, &in) != nil {
			return
		}
		if err := outcomeError(&in); err != nil {
			assert.Assert(t, err.Error() != "")
		}
		res := decodeLists(&in)
		assert.Assert(t, res.Clock >= 0 && res.Clock < 1<<62*time.Nanosecond)
		for _, e := range res.Ended {
			assert.Assert(t, e.Ending <= model.EndedAlone)
		}
		var first, second workpb.Outcome
		encodeLists(&first, res)
		encodeLists(&second, decodeLists(&first))
		assert.Assert(t, proto.Equal(&first, &second))
	})
}
