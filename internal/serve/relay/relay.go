// Package relay carries callers' requests about jobs from the entry that received them
// to the leader, over drpc.
package relay

import (
	"context"
	"net"
	"time"

	"github.com/zeebo/errs"
	"storj.io/drpc/drpcmux"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/serve/peers"
	"chervilgauge.example/chervilgauge/internal/serve/proxy"
	"chervilgauge.example/chervilgauge/internal/wire/workpb"
)

// Err is the class of failures to reach another entry. The call may have been handled.
var Err = errs.Class("relay")

// Verdict is what becomes of a submission or a cancel.
type Verdict uint32

// Verdicts.
const (
	// Elsewhere says that the entry does not lead, and that nothing was done.
	Elsewhere Verdict = iota
	// Taken says that it is stored.
	Taken
	// Refused says that it is not stored and never will be.
	Refused
	// Unsure says that it may be stored.
	Unsure
	// Gone says that there is no such job.
	Gone
)

// Answer is the answer to a submission.
type Answer struct {
	Verdict Verdict
	// After is when to come back after a refusal, and Cause why it was refused.
	After time.Duration
	Cause string
}

// Submission is a job that a caller hands in.
type Submission struct {
	ID    string
	Queue string
	Body  []byte
	// Wait is how long the caller waits.
	Wait time.Duration
}

// Digest is what a leader says of itself.
type Digest struct {
	Leads bool
	Token uint64
	// Age is how long ago its lease was renewed.
	Age time.Duration
	// Backlog has the pending jobs of each queue, nil if they are not known.
	Backlog map[string]int
	// Config is the leader's configuration where it is newer than the asker's.
	Config []byte
	// Addr is the leader that the entry knows.
	Addr string
	// Pause is how long to wait until the next question.
	Pause time.Duration
}

// Asker is an entry that asks for a digest.
type Asker struct {
	Name, Addr string
	// Version is that of the configuration that it has in force.
	Version int64
	// Place is that in the order of claims.
	Place int
	Zone  string
	// Leaving says that the entry stops.
	Leaving bool
}

// Desk answers for the leader. A Desk that does not lead answers Elsewhere, or false.
type Desk interface {
	Submit(ctx context.Context, s Submission) Answer
	Query(ctx context.Context, id string) (model.State, bool)
	Cancel(ctx context.Context, id string, wait time.Duration) Verdict
	Digest(ctx context.Context, by Asker) Digest
	// Announce says that another entry leads, or asks the desk's own entry to claim.
	Announce(token uint64, name, addr string)
	// Carry makes a leader's calls to executors until the stream ends.
	Carry(s proxy.Stream) error
}

type server struct {
	workpb.DRPCRelayUnimplementedServer
	desk Desk
}

// Serve serves other entries until Close. It returns an Err.
func Serve(ctx context.Context, lis net.Listener, d Desk) (*peers.Server, error) {
	mux := drpcmux.New()
	if err := workpb.DRPCRegisterRelay(mux, &server{desk: d}); err != nil {
		return nil, Err.Wrap(err)
	}
	return peers.ServeMux(ctx, lis, mux, nil), nil
}

func (s *server) Submit(ctx context.Context, a *workpb.SubmitAsk) (*workpb.SubmitReply, error) {
	r := s.desk.Submit(ctx, Submission{
		ID: a.GetId(), Queue: a.GetQueue(), Body: a.GetBody(), Wait: time.Duration(a.GetWait()) * time.Millisecond,
	})
	return &workpb.SubmitReply{
		Leads: r.Verdict != Elsewhere, Verdict: uint32(r.Verdict), After: uint32(r.After.Milliseconds()), Cause: r.Cause,
	}, nil
}

func (s *server) Query(ctx context.Context, a *workpb.QueryAsk) (*workpb.QueryReply, error) {
	st, ok := s.desk.Query(ctx, a.GetId())
	return &workpb.QueryReply{Leads: ok, State: uint32(st)}, nil
}

func (s *server) Cancel(ctx context.Context, a *workpb.CancelAsk) (*workpb.CancelReply, error) {
	v := s.desk.Cancel(ctx, a.GetId(), time.Duration(a.GetWait())*time.Millisecond)
	return &workpb.CancelReply{Leads: v != Elsewhere, Verdict: uint32(v)}, nil
}

func (s *server) Digest(ctx context.Context, a *workpb.DigestAsk) (*workpb.DigestReply, error) {
	d := s.desk.Digest(ctx, Asker{
		Name: a.GetName(), Addr: a.GetAddr(), Version: a.GetVersion(), Place: int(a.GetPlace()), Zone: a.GetZone(), Leaving: a.GetLeaving(),
	})
	out := &workpb.DigestReply{
		Leads: d.Leads, Token: d.Token, Age: uint32(d.Age.Milliseconds()), Config: d.Config, Addr: d.Addr,
		Counted: d.Backlog != nil, Pause: uint32(d.Pause.Milliseconds()),
	}
	for q, n := range d.Backlog {
		out.Backlog = append(out.Backlog, &workpb.Backlog{Queue: q, N: uint32(n)})
	}
	return out, nil
}

func (s *server) Announce(_ context.Context, a *workpb.AnnounceAsk) (*workpb.AnnounceReply, error) {
	s.desk.Announce(a.GetToken(), a.GetName(), a.GetAddr())
	return &workpb.AnnounceReply{Token: a.GetToken()}, nil
}

func (s *server) Carry(stream workpb.DRPCRelay_CarryStream) error { return s.desk.Carry(stream) }

// Client calls other entries.
type Client struct{ conns *peers.Client }

// NewClient returns a client.
func NewClient() *Client { return &Client{peers.NewClient(nil)} }

// Close closes idle connections. It returns an Err.
func (c *Client) Close() error { return Err.Wrap(c.conns.Close()) }

func (c *Client) to(ctx context.Context, addr string) workpb.DRPCRelayClient {
	return workpb.NewDRPCRelayClient(c.conns.Conn(ctx, addr))
}

// Submit hands a job to the leader. It returns an Err.
func (c *Client) Submit(ctx context.Context, addr string, s Submission) (Answer, error) {
	r, err := c.to(ctx, addr).Submit(ctx, &workpb.SubmitAsk{
		Id: s.ID, Queue: s.Queue, Body: s.Body, Wait: uint32(s.Wait.Milliseconds()),
	})
	if err != nil {
		return Answer{}, Err.Wrap(err)
	}
	return Answer{Verdict(r.GetVerdict()), time.Duration(r.GetAfter()) * time.Millisecond, r.GetCause()}, nil
}

// Query asks the leader for a job's state, false if the entry does not lead. It returns
// an Err.
func (c *Client) Query(ctx context.Context, addr, id string) (model.State, bool, error) {
	r, err := c.to(ctx, addr).Query(ctx, &workpb.QueryAsk{Id: id})
	if err != nil {
		return model.Unknown, false, Err.Wrap(err)
	}
	return model.State(r.GetState()), r.GetLeads(), nil
}

// Cancel cancels a job at the leader. It returns an Err.
func (c *Client) Cancel(ctx context.Context, addr, id string, wait time.Duration) (Verdict, error) {
	r, err := c.to(ctx, addr).Cancel(ctx, &workpb.CancelAsk{Id: id, Wait: uint32(wait.Milliseconds())})
	if err != nil {
		return Unsure, Err.Wrap(err)
	}
	return Verdict(r.GetVerdict()), nil
}

// Digest asks an entry what it says of itself. It returns an Err.
func (c *Client) Digest(ctx context.Context, addr string, by Asker) (Digest, error) {
	r, err := c.to(ctx, addr).Digest(ctx, &workpb.DigestAsk{
		Name: by.Name, Addr: by.Addr, Version: by.Version, Place: uint32(by.Place), Zone: by.Zone, Leaving: by.Leaving,
	})
	if err != nil {
		return Digest{}, Err.Wrap(err)
	}
	d := Digest{
		Leads: r.GetLeads(), Token: r.GetToken(), Age: time.Duration(r.GetAge()) * time.Millisecond,
		Config: r.GetConfig(), Addr: r.GetAddr(), Pause: time.Duration(r.GetPause()) * time.Millisecond,
	}
	if r.GetCounted() {
		d.Backlog = map[string]int{}
	}
	for _, b := range r.GetBacklog() {
		d.Backlog[b.GetQueue()] = int(b.GetN())
	}
	return d, nil
}

// Announce tells an entry who leads. It returns an Err.
func (c *Client) Announce(ctx context.Context, addr string, token uint64, name, leader string) error {
	_, err := c.to(ctx, addr).Announce(ctx, &workpb.AnnounceAsk{Token: token, Addr: leader, Name: name})
	return Err.Wrap(err)
}

// Carry opens a stream to an entry that makes calls to executors. It returns an Err.
func (c *Client) Carry(ctx context.Context, addr string) (proxy.Way, error) {
	w, err := c.to(ctx, addr).Carry(ctx)
	if err != nil {
		return nil, Err.Wrap(err)
	}
	return w, nil
}
