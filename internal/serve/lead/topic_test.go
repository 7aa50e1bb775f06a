package lead

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/platform"
)

func appendRaw(t *testing.T, e *Elector, records ...string) {
	t.Helper()
	var rs [][]byte
	for _, r := range records {
		rs = append(rs, []byte(r))
	}
	_, _, err := e.client.Append(context.Background(), platform.Append{Topic: topic, Records: rs, At: -1})
	assert.NilError(t, err)
}

// Guards against two leaders: a claim of another entry was dropped because a record that can't be
// read follows it, and the former leader renewed its lease after it.
func TestClaimBeforeUnreadableRecordCounts(t *testing.T) {
	for _, garbage := range []string{
		"x", "", "null", "[]", `{"token":"1"}`, `{"kind":"claim","name":"b","token":18446744073709551615}`,
		`{"kind":"claim","name":"b","token":3}`, `{"kind":"renew","name":"b","token":12}`, `{"kind":"other","token":11}`,
	} {
		e := newFollower(t, clock.NewFake(time.Unix(0, 0)))
		e.topicEnd, e.leader = 10, Leader{Token: 1, Name: "self", Addr: "x", IsSelf: true}
		appendRaw(t, e, `{"kind":"claim","name":"third","addr":"127.0.0.1:1","nonce":"t","token":11}`, garbage)
		assert.Assert(t, !e.isStillLeader(context.Background(), 1), garbage)
		assert.Equal(t, e.topicEnd, int64(12))
	}
}

// Guards against an election that stands still after records that can't be read, or because of a token
// above that of any later claim: they are skipped, and an entry claims after them.
func TestUnreadableRecordDoesNotStopTheElection(t *testing.T) {
	const high = `{"kind":"renew","name":"b","addr":"127.0.0.1:1","token":18446744073709551615}`
	for _, garbage := range [][]string{{high, "x"}, {"x", high}} {
		clk := clock.NewFake(time.Unix(0, 0))
		e := newFollower(t, clk)
		e.topicEnd = 10
		appendRaw(t, e, garbage...)
		for !e.Leader().IsSelf {
			assert.Assert(t, clk.Now() < 5*time.Second)
			assert.Equal(t, e.Leader().Token, uint64(1))
			clk.Advance(200 * time.Millisecond)
			e.follow(context.Background())
		}
		assert.Equal(t, e.Leader().Token, uint64(13))
	}
}

// Whatever a record holds, its token is one that a claim before it can have.
func FuzzRecord(f *testing.F) {
	f.Add([]byte(`{"kind":"claim","name":"a","addr":"127.0.0.1:1","nonce":"n","token":8,"at":1}`), int64(7))
	f.Add([]byte(`{"kind":"resign","name":"a","token":3,"next":"b"}`), int64(7))
	f.Add([]byte("null"), int64(0))
	f.Fuzz(func(t *testing.T, value []byte, offset int64) {
		offset = max(offset, 0)
		r, err := decodeRecord(platform.Record{Offset: offset, Value: value})
		if err != nil {
			assert.Equal(t, r, record{})
			return
		}
		assert.Assert(t, r.Token > 0 && r.Token <= uint64(offset)+1)
	})
}
