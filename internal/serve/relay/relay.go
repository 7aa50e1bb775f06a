// Package relay carries requests between entries over drpc: callers' requests about jobs from the
// entry that received them to the leader, polls and announcements of the leader, and the leader's
// calls to executors that other entries make.
package relay

import (
	"context"
	"math"
	"net"
	"time"

	"github.com/zeebo/errs"
	"storj.io/drpc/drpcmux"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/serve/peers"
	"chervilgauge.example/chervilgauge/internal/serve/proxy"
	"chervilgauge.example/chervilgauge/internal/wire/workpb"
)

// Err is the class of failures to reach another entry. The call may have been carried out.
var Err = errs.Class("relay")

// Verdict is the outcome of a submission or a cancel.
type Verdict uint32

// Verdicts.
const (
	// NotLeader means that the entry does not lead, and that nothing was done.
	NotLeader Verdict = iota
	// Stored means that the job or cancel is stored.
	Stored
	// Refused means that it is not stored and will not be.
	Refused
	// Unknown means that it may be stored.
	Unknown
	// NotFound means that there is no such job.
	NotFound
	// Limited means that a job is not stored and will not be, because of the limit or share of its
	// client account.
	Limited
)

// Answer is the answer to a submission.
type Answer struct {
	Verdict Verdict
	// RetryAfter is the time after which the caller may try again, 0 for no such advice.
	RetryAfter time.Duration
	// Cause is the reason for a verdict other than Stored.
	Cause string
}

// Submission is a job that a caller submits.
type Submission struct {
	ID    string
	Queue string
	Body  []byte
	// Timeout is the caller's timeout.
	Timeout time.Duration
	// Account is the caller's client account, empty for none.
	Account string
}

// Digest is an entry's answer to a poll.
type Digest struct {
	Leads bool
	Token uint64
	// LeaseAge is the time since the leader's last renewal of its lease.
	LeaseAge time.Duration
	// Pending is the number of pending jobs of each queue, nil if it is unknown.
	Pending map[string]int
	// Config is the leader's configuration, set only if it is newer than the follower's.
	Config []byte
	// Addr is the address of the leader that the answering entry follows.
	Addr string
	// PollInterval is the time that the follower must wait before its next poll.
	PollInterval time.Duration
	// ViewAge is the age of the answering entry's view of the configuration when it answered. It is only
	// set if HasView is: the entry may have no view, or be of a version that does not send it.
	ViewAge time.Duration
	HasView bool
}

// Follower describes an entry that polls the leader.
type Follower struct {
	Name, Addr string
	// Version is the version of the configuration above which the leader sends its own.
	Version int64
	// Rank is the entry's rank as a candidate for leader, 0 for the first.
	Rank   int
	Centre string
	// Leaving reports whether the entry is stopping.
	Leaving bool
	// Memory is the memory of the entry's machine in MiB, 0 if it is not known.
	Memory int64
}

// Handler answers requests of other entries. A Handler of an entry that does not lead answers
// NotLeader, or false.
type Handler interface {
	Submit(ctx context.Context, s Submission) Answer
	Query(ctx context.Context, id string) (model.State, bool)
	Cancel(ctx context.Context, id string, wait time.Duration) Verdict
	Digest(ctx context.Context, f Follower) Digest
	// Announce reports that another entry leads, or designates the handler's own entry as the
	// successor.
	Announce(token uint64, name, addr string)
	// ProxyCalls makes a leader's calls to executors until the stream ends.
	ProxyCalls(s proxy.ServerStream) error
}

// ProxyStream is the name of the RPC that opens the stream for calls to executors.
const ProxyStream = "/chervilgauge.work.v1.Relay/Carry"

type server struct {
	workpb.DRPCRelayUnimplementedServer
	handler Handler
}

// Serve serves requests of other entries until the returned server is closed. It returns an Err.
func Serve(ctx context.Context, lis net.Listener, h Handler, opts ...peers.Option) (*peers.Server, error) {
	mux := drpcmux.New()
	if err := workpb.DRPCRegisterRelay(mux, &server{handler: h}); err != nil {
		return nil, Err.Wrap(err)
	}
	return peers.ServeMux(ctx, lis, mux, nil, opts...), nil
}

func (s *server) Submit(ctx context.Context, a *workpb.SubmitAsk) (*workpb.SubmitReply, error) {
	r := s.handler.Submit(ctx, Submission{
		ID: a.GetId(), Queue: a.GetQueue(), Body: a.GetBody(), Timeout: time.Duration(a.GetWait()) * time.Millisecond, Account: a.GetAccount(),
	})
	return &workpb.SubmitReply{
		Leads: r.Verdict != NotLeader, Verdict: uint32(r.Verdict), After: uint32(r.RetryAfter.Milliseconds()), Cause: r.Cause,
	}, nil
}

func (s *server) Query(ctx context.Context, a *workpb.QueryAsk) (*workpb.QueryReply, error) {
	st, ok := s.handler.Query(ctx, a.GetId())
	return &workpb.QueryReply{Leads: ok, State: uint32(st)}, nil
}

func (s *server) Cancel(ctx context.Context, a *workpb.CancelAsk) (*workpb.CancelReply, error) {
	v := s.handler.Cancel(ctx, a.GetId(), time.Duration(a.GetWait())*time.Millisecond)
	return &workpb.CancelReply{Leads: v != NotLeader, Verdict: uint32(v)}, nil
}

func (s *server) Digest(ctx context.Context, a *workpb.DigestAsk) (*workpb.DigestReply, error) {
	d := s.handler.Digest(ctx, Follower{
		Name: a.GetName(), Addr: a.GetAddr(), Version: a.GetVersion(), Rank: int(a.GetPlace()), Centre: a.GetZone(), Leaving: a.GetLeaving(),
		Memory: int64(a.GetMemory()),
	})
	return EncodeDigest(d), nil
}

// EncodeDigest encodes a digest.
func EncodeDigest(d Digest) *workpb.DigestReply {
	out := &workpb.DigestReply{
		Leads: d.Leads, Token: d.Token, Age: uint32(d.LeaseAge.Milliseconds()), Config: d.Config, Addr: d.Addr,
		Counted: d.Pending != nil, Pause: uint32(d.PollInterval.Milliseconds()), View: encodeView(d.ViewAge, d.HasView),
	}
	for q, n := range d.Pending {
		out.Backlog = append(out.Backlog, &workpb.Backlog{Queue: q, N: uint32(n)})
	}
	return out
}

// encodeView encodes the age of a view as milliseconds, rounded up, plus 1. No view, and one that is too
// old for the field, is 0.
func encodeView(age time.Duration, ok bool) uint32 {
	age = max(age, 0)
	ms := age.Milliseconds()
	if age%time.Millisecond > 0 {
		ms++
	}
	if !ok || ms >= math.MaxUint32 {
		return 0
	}
	return uint32(ms) + 1
}

func (s *server) Announce(_ context.Context, a *workpb.AnnounceAsk) (*workpb.AnnounceReply, error) {
	s.handler.Announce(a.GetToken(), a.GetName(), a.GetAddr())
	return &workpb.AnnounceReply{Token: a.GetToken()}, nil
}

func (s *server) Carry(stream workpb.DRPCRelay_CarryStream) error {
	return s.handler.ProxyCalls(stream)
}

// Client makes calls to other entries.
type Client struct{ conns *peers.Client }

// NewClient returns a client.
func NewClient(opts ...peers.ClientOption) *Client { return &Client{peers.NewClient(nil, opts...)} }

// Close closes idle connections. It returns an Err.
func (c *Client) Close() error { return Err.Wrap(c.conns.Close()) }

func (c *Client) rpc(ctx context.Context, addr string) workpb.DRPCRelayClient {
	return workpb.NewDRPCRelayClient(c.conns.Conn(ctx, addr))
}

// Submit submits a job to the leader. It returns an Err.
func (c *Client) Submit(ctx context.Context, addr string, s Submission) (Answer, error) {
	r, err := c.rpc(ctx, addr).Submit(ctx, &workpb.SubmitAsk{
		Id: s.ID, Queue: s.Queue, Body: s.Body, Wait: uint32(s.Timeout.Milliseconds()), Account: s.Account,
	})
	if err != nil {
		return Answer{}, Err.Wrap(err)
	}
	return Answer{decodeVerdict(r.GetVerdict()), time.Duration(r.GetAfter()) * time.Millisecond, r.GetCause()}, nil
}

// Query requests a job's state from the leader. It returns false if the entry does not lead or does
// not know the state. It returns an Err.
func (c *Client) Query(ctx context.Context, addr, id string) (model.State, bool, error) {
	r, err := c.rpc(ctx, addr).Query(ctx, &workpb.QueryAsk{Id: id})
	if err != nil {
		return model.Unknown, false, Err.Wrap(err)
	}
	s, ok := decodeState(r.GetState())
	return s, ok && r.GetLeads(), nil
}

// decodeState decodes a job's state. It returns false for a state that this version does not know.
func decodeState(n uint32) (model.State, bool) {
	if n > uint32(model.Cancelled) {
		return model.Unknown, false
	}
	return model.State(n), true
}

// Cancel cancels a job at the leader. It returns an Err.
func (c *Client) Cancel(ctx context.Context, addr, id string, wait time.Duration) (Verdict, error) {
	r, err := c.rpc(ctx, addr).Cancel(ctx, &workpb.CancelAsk{Id: id, Wait: uint32(wait.Milliseconds())})
	if err != nil {
		return Unknown, Err.Wrap(err)
	}
	return decodeVerdict(r.GetVerdict()), nil
}

// decodeVerdict decodes a verdict. One that this version does not know is Unknown.
func decodeVerdict(n uint32) Verdict {
	if n > uint32(Limited) {
		return Unknown
	}
	return Verdict(n)
}

// Digest polls an entry for its digest. It returns an Err.
func (c *Client) Digest(ctx context.Context, addr string, f Follower) (Digest, error) {
	r, err := c.rpc(ctx, addr).Digest(ctx, &workpb.DigestAsk{
		Name: f.Name, Addr: f.Addr, Version: f.Version, Place: uint32(f.Rank), Zone: f.Centre, Leaving: f.Leaving,
		Memory: uint32(min(max(f.Memory, 0), math.MaxUint32)),
	})
	if err != nil {
		return Digest{}, Err.Wrap(err)
	}
	return DecodeDigest(r), nil
}

// maxPollInterval bounds the time between two polls. A leader asks for at most 1 s, and an entry that
// polls more rarely detects too late that its leader has failed.
const maxPollInterval = 2 * time.Second

// DecodeDigest decodes a digest.
func DecodeDigest(r *workpb.DigestReply) Digest {
	d := Digest{
		Leads: r.GetLeads(), Token: r.GetToken(), LeaseAge: time.Duration(r.GetAge()) * time.Millisecond,
		Config: r.GetConfig(), Addr: r.GetAddr(), PollInterval: min(time.Duration(r.GetPause())*time.Millisecond, maxPollInterval),
	}
	if v := r.GetView(); v > 0 {
		d.ViewAge, d.HasView = time.Duration(v-1)*time.Millisecond, true
	}
	if !r.GetCounted() {
		return d
	}
	d.Pending = map[string]int{}
	for _, b := range r.GetBacklog() {
		d.Pending[b.GetQueue()] = int(b.GetN())
	}
	return d
}

// Announce sends the token, name and address of the leader, or of the designated successor, to an
// entry. It returns an Err.
func (c *Client) Announce(ctx context.Context, addr string, token uint64, name, leader string) error {
	_, err := c.rpc(ctx, addr).Announce(ctx, &workpb.AnnounceAsk{Token: token, Addr: leader, Name: name})
	return Err.Wrap(err)
}

// OpenProxy opens the stream for calls to executors to an entry that makes them. It returns an Err.
func (c *Client) OpenProxy(ctx context.Context, addr string) (proxy.ClientStream, error) {
	stream, err := c.rpc(ctx, addr).Carry(ctx)
	if err != nil {
		return nil, Err.Wrap(err)
	}
	return stream, nil
}
