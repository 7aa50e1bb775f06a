package relay

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/wire/workpb"
)

// Whatever an entry answers, it is decoded within range.
func FuzzReplies(f *testing.F) {
	for _, m := range []proto.Message{
		&workpb.DigestReply{Leads: true, Token: 7, Age: 9, Backlog: []*workpb.Backlog{{Queue: "q", N: 1<<32 - 1}}, Counted: true},
		&workpb.DigestReply{Backlog: []*workpb.Backlog{{}}, Age: 1<<32 - 1, Pause: 1<<32 - 1},
		&workpb.SubmitReply{Leads: true, Verdict: uint32(Limited)}, &workpb.SubmitReply{Verdict: uint32(Limited) + 1},
		&workpb.SubmitReply{Leads: true, Verdict: 9, After: 1<<32 - 1, Cause: "c"}, &workpb.QueryReply{Leads: true, State: 6},
	} {
		data, err := proto.Marshal(m)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if r := (&workpb.DigestReply{}); proto.Unmarshal(data, r) == nil {
			d := DecodeDigest(r)
			assert.Equal(t, d.Pending != nil, r.GetCounted())
			assert.Assert(t, d.ViewAge >= 0 && d.HasView == (r.GetView() > 0))
			assert.Assert(t, d.LeaseAge >= 0 && d.PollInterval >= 0 && d.PollInterval <= maxPollInterval)
			for _, n := range d.Pending {
				assert.Assert(t, n >= 0)
			}
		}
		if r := (&workpb.SubmitReply{}); proto.Unmarshal(data, r) == nil {
			want := Unknown
			if r.GetVerdict() <= uint32(Limited) {
				want = Verdict(r.GetVerdict())
			}
			assert.Equal(t, decodeVerdict(r.GetVerdict()), want)
		}
		if r := (&workpb.QueryReply{}); proto.Unmarshal(data, r) == nil {
			s, ok := decodeState(r.GetState())
			assert.Assert(t, ok == (uint32(s) == r.GetState()) && s <= model.Cancelled)
		}
	})
}
