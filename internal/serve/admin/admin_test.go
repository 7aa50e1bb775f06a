package admin

import (
	"context"
	"net"
	"slices"
	"testing"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/fleet/state"
	"chervilgauge.example/chervilgauge/internal/serve/ctrl"
	"chervilgauge.example/chervilgauge/internal/wire/opspb"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

// fakeControl returns the same result for every record and keeps the submitted records.
type fakeControl struct {
	settled ctrl.Result
	err     error
	view    *ctrl.View
	got     []*recpb.Record
}

func (f *fakeControl) Submit(_ context.Context, r *recpb.Record) (ctrl.Result, error) {
	f.got = append(f.got, r)
	return f.settled, f.err
}

func (f *fakeControl) View() *ctrl.View { return f.view }

func (f *fakeControl) MaySend() bool { return true }

func (f *fakeControl) GossipFast() {}

// dial serves the operators' interface for a Control over gRPC and returns a client.
func dial(t *testing.T, c Control) opspb.OperatorsClient {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := Serve(lis, c, clock.NewFake(time.Unix(0, 0)), "entry-1", nil)
	conn, err := grpc.NewClient(lis.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	assert.NilError(t, err)
	t.Cleanup(func() {
		assert.NilError(t, conn.Close())
		assert.NilError(t, s.Close())
	})
	return opspb.NewOperatorsClient(conn)
}

// violatedFields returns the fields that an error lists as invalid.
func violatedFields(t *testing.T, err error) []string {
	t.Helper()
	assert.Equal(t, status.Code(err), codes.InvalidArgument)
	var out []string
	for _, d := range status.Convert(err).Details() {
		for _, v := range d.(*errdetails.BadRequest).GetFieldViolations() {
			out = append(out, v.GetField())
		}
	}
	slices.Sort(out)
	return out
}

// conflictDetails returns the details of a change that was not accepted.
func conflictDetails(t *testing.T, err error) *opspb.Conflict {
	t.Helper()
	details := status.Convert(err).Details()
	assert.Equal(t, len(details), 1, "%v", err)
	return details[0].(*opspb.Conflict)
}

// Guards against reporting only the first invalid field, and against an invalid change that reaches
// the log.
func TestEveryFaultIsListed(t *testing.T) {
	f := &fakeControl{}
	c := dial(t, f)
	_, err := c.PutInstance(t.Context(), &recpb.Instance{Name: "A", Addr: "host:1", Rack: "r 1", Conns: 1, Slots: 2})
	assert.DeepEqual(t, violatedFields(t, err), []string{"addr", "centre", "conns", "name", "pool", "rack"})
	_, err = c.PutInstance(t.Context(), &recpb.Instance{})
	assert.DeepEqual(t, violatedFields(t, err), []string{"addr", "centre", "name", "pool", "rack", "slots"})
	_, err = c.PutPool(t.Context(), &recpb.Pool{Budget: &recpb.Budget{Rack: 1, Centre: 1}})
	assert.DeepEqual(t, violatedFields(t, err), []string{"budget.centre", "budget.rack", "budget.total", "name"})
	_, err = c.PutService(t.Context(), &recpb.Service{Name: "-"})
	assert.DeepEqual(t, violatedFields(t, err), []string{"name", "pool", "weight"})
	_, err = c.PutTeam(t.Context(), &recpb.Team{})
	assert.DeepEqual(t, violatedFields(t, err), []string{"name", "weight"})
	assert.Equal(t, len(f.got), 0)
}

// Guards against refusing a deletion for fields that it does not need.
func TestDeletionNeedsTheNameOnly(t *testing.T) {
	f := &fakeControl{settled: ctrl.Result{Offset: 4, Verdict: state.Verdict{Kind: state.Accepted}}}
	c := dial(t, f)
	remove := &recpb.Edit{Remove: true, Base: 3}
	_, err := c.PutInstance(t.Context(), &recpb.Instance{Edit: remove, Name: "a"})
	assert.NilError(t, err)
	_, err = c.PutPool(t.Context(), &recpb.Pool{Edit: remove, Name: "a"})
	assert.NilError(t, err)
	_, err = c.PutService(t.Context(), &recpb.Service{Edit: remove, Name: "a"})
	assert.NilError(t, err)
	_, err = c.PutTeam(t.Context(), &recpb.Team{Edit: remove, Name: "a"})
	assert.NilError(t, err)
	assert.Equal(t, len(f.got), 4)
}

// Guards against an accepted change without the id and version that a repetition or the next change
// needs, and against a repetition that returns another version.
func TestAcceptedChange(t *testing.T) {
	f := &fakeControl{settled: ctrl.Result{Offset: 9, Verdict: state.Verdict{Kind: state.Accepted}}}
	c := dial(t, f)
	r, err := c.PutTeam(t.Context(), &recpb.Team{Name: "a", Weight: 1})
	assert.NilError(t, err)
	assert.Equal(t, r.GetVersion(), uint64(9))
	assert.Assert(t, r.GetChange() != "")
	assert.Equal(t, f.got[0].GetTeam().GetEdit().GetChange(), r.GetChange())

	f.settled = ctrl.Result{Offset: 12, Verdict: state.Verdict{Kind: state.Duplicate, FirstKind: state.Accepted, FirstOffset: 9}}
	r, err = c.PutTeam(t.Context(), &recpb.Team{Edit: &recpb.Edit{Change: "c"}, Name: "a", Weight: 1})
	assert.NilError(t, err)
	assert.Equal(t, r.GetVersion(), uint64(9))
	assert.Equal(t, r.GetChange(), "c")
}

// Guards against a conflict without the current version, also if the refused change is repeated,
// and against refusals that look like conflicts.
func TestConflictCarriesTheCurrentVersion(t *testing.T) {
	f := &fakeControl{}
	c := dial(t, f)
	for _, one := range []struct {
		verdict state.Verdict
		code    codes.Code
	}{
		{state.Verdict{Kind: state.Conflict, Current: 7}, codes.Aborted},
		{state.Verdict{Kind: state.Duplicate, FirstKind: state.Conflict, Current: 7, FirstOffset: 8}, codes.Aborted},
		{state.Verdict{Kind: state.Refused, Reason: state.OverBudget}, codes.FailedPrecondition},
		{state.Verdict{Kind: state.Duplicate, FirstKind: state.Refused, Reason: state.NotFound, FirstOffset: 8}, codes.FailedPrecondition},
		{state.Verdict{Kind: state.Refused, Reason: state.Malformed}, codes.InvalidArgument},
	} {
		f.settled = ctrl.Result{Offset: 9, Verdict: one.verdict}
		_, err := c.Drain(t.Context(), &recpb.Drain{Edit: &recpb.Edit{Change: "c", Base: 3}, Name: "a"})
		assert.Equal(t, status.Code(err), one.code, "%v", one.verdict)
		d := conflictDetails(t, err)
		assert.Equal(t, d.GetCurrent(), one.verdict.Current)
		assert.Equal(t, d.GetReason(), one.verdict.Reason.String())
		assert.Equal(t, d.GetChange(), "c")
	}
}

// Guards against reporting a change of unknown outcome as accepted or refused, or without the id
// under which repeating it is safe.
func TestUnsettledChangeSaysSo(t *testing.T) {
	f := &fakeControl{err: &ctrl.UnsettledError{}}
	_, err := dial(t, f).Order(t.Context(), &recpb.Wave{Name: "spring", Pools: []string{"a"}})
	assert.Equal(t, status.Code(err), codes.Unavailable)
	assert.ErrorContains(t, err, "may still take effect")
	d := conflictDetails(t, err)
	assert.Equal(t, d.GetReason(), "unsettled")
	assert.Assert(t, d.GetChange() != "")
	assert.Equal(t, d.GetChange(), f.got[0].GetWave().GetEdit().GetChange())
}

// Guards against a status or a wait that takes this entry's own offset from gossip, which it does
// not send to itself, and against a wait that an evicted entry delays.
func TestOwnOffset(t *testing.T) {
	st := state.New()
	for n, r := range []*recpb.Record{
		{Body: &recpb.Record_Join{Join: &recpb.Join{Name: "entry-1", Incarnation: 1, Addr: "a:1"}}},
		{Body: &recpb.Record_Join{Join: &recpb.Join{Name: "entry-2", Incarnation: 2, Addr: "b:1"}}},
		{Body: &recpb.Record_Join{Join: &recpb.Join{Name: "entry-3", Incarnation: 3, Addr: "c:1"}}},
		{Body: &recpb.Record_Evict{Evict: &recpb.Evict{Name: "entry-3", Incarnation: 3}}},
	} {
		r.Id, r.Schema = append(make([]byte, 15), byte(n+1)), state.Schema
		var v state.Verdict
		st, v = st.Apply(uint64(n+1), r)
		assert.Assert(t, v.OK(), "%v", v)
	}
	c := dial(t, &fakeControl{view: &ctrl.View{State: st, AppliedOffsets: map[string]uint64{"entry-2": 3, "entry-3": 1}}})
	r, err := c.Status(t.Context(), &opspb.StatusAsk{})
	assert.NilError(t, err)
	assert.Equal(t, r.GetMembers()[0].GetApplied(), uint64(4))
	w, err := c.Wait(t.Context(), &opspb.WaitAsk{Version: 3, Timeout: 60_000})
	assert.NilError(t, err)
	assert.Assert(t, w.GetReached())
	w, err = c.Wait(t.Context(), &opspb.WaitAsk{Version: 4, Timeout: 1})
	assert.NilError(t, err)
	assert.DeepEqual(t, w.GetLagging(), []string{"entry-2"})
}
