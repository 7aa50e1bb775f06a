package proxy

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/wire/workpb"
)

// carryOut has an entry carry out orders, and returns their outcomes and the executors' record.
func carryOut(t *testing.T, in *workpb.Orders) ([]*workpb.Outcome, *execRecorder) {
	t.Helper()
	rec := &execRecorder{}
	p := newPipe(t.Context())
	served := make(chan error, 1)
	go func() { served <- Serve(entryEnd{p}, rec, clock.NewSystem()) }()
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
