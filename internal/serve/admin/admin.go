// Package admin serves operators over gRPC. It appends each change to the log and returns the
// verdict that was read back.
package admin

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/google/uuid"
	"github.com/zeebo/errs"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/serve/ctrl"
	"chervilgauge.example/chervilgauge/internal/wire/opspb"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

// Err is the error class of failures of the operators' listener.
var Err = errs.Class("operators")

// Control gives access to the control state of the entry.
type Control interface {
	Submit(ctx context.Context, r *recpb.Record) (ctrl.Result, error)
	View() *ctrl.View
	MaySend() bool
	// GossipFast speeds up the reports of what the other entries have applied.
	GossipFast()
}

// Server is the operators' listener.
type Server struct {
	opspb.UnimplementedOperatorsServer
	control Control
	clk     clock.Clock
	name    string
	srv     *grpc.Server
	done    chan error
}

// submitTimeout bounds one change if the operator sets no deadline.
const submitTimeout = 10 * time.Second

// Serve starts to serve operators. A nil TLS configuration means plain TCP.
func Serve(lis net.Listener, c Control, clk clock.Clock, name string, conf *tls.Config) *Server {
	var opts []grpc.ServerOption
	if conf != nil {
		opts = append(opts, grpc.Creds(credentials.NewTLS(conf)))
	}
	s := &Server{control: c, clk: clk, name: name, srv: grpc.NewServer(opts...), done: make(chan error, 1)}
	opspb.RegisterOperatorsServer(s.srv, s)
	go func() { s.done <- s.srv.Serve(lis) }()
	return s
}

// Close finishes the calls in progress and stops the server. Errors are of class Err.
func (s *Server) Close() error {
	s.srv.GracefulStop()
	return Err.Wrap(<-s.done)
}

// submitChange appends an operator's change and returns the change id and the version, or the
// reason for which the change was not accepted.
func (s *Server) submitChange(ctx context.Context, e *recpb.Edit, r *recpb.Record) (*opspb.Change, error) {
	if e.Change == "" {
		e.Change = uuid.NewString()
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	settled, err := s.control.Submit(ctx, r)
	if err != nil {
		return nil, unsettledChange(e.Change, err)
	}
	if !settled.Verdict.OK() {
		return nil, refusedChange(e.Change, settled.Verdict)
	}
	version := settled.Offset
	if settled.Verdict.FirstOffset != 0 {
		version = settled.Verdict.FirstOffset
	}
	return &opspb.Change{Change: e.Change, Version: version}, nil
}

// PutPool creates, replaces or deletes a pool.
func (s *Server) PutPool(ctx context.Context, r *recpb.Pool) (*opspb.Change, error) {
	r.Edit = editOrEmpty(r.Edit)
	if err := checkPool(r); err != nil {
		return nil, err
	}
	return s.submitChange(ctx, r.Edit, &recpb.Record{Body: &recpb.Record_Pool{Pool: r}})
}

// PutService creates, replaces or deletes a service.
func (s *Server) PutService(ctx context.Context, r *recpb.Service) (*opspb.Change, error) {
	r.Edit = editOrEmpty(r.Edit)
	if err := checkService(r); err != nil {
		return nil, err
	}
	return s.submitChange(ctx, r.Edit, &recpb.Record{Body: &recpb.Record_Service{Service: r}})
}

// PutTeam creates, replaces or deletes a team.
func (s *Server) PutTeam(ctx context.Context, r *recpb.Team) (*opspb.Change, error) {
	r.Edit = editOrEmpty(r.Edit)
	if err := checkTeam(r); err != nil {
		return nil, err
	}
	return s.submitChange(ctx, r.Edit, &recpb.Record{Body: &recpb.Record_Team{Team: r}})
}

// PutInstance registers, replaces or deletes an instance.
func (s *Server) PutInstance(ctx context.Context, r *recpb.Instance) (*opspb.Change, error) {
	r.Edit = editOrEmpty(r.Edit)
	if err := checkInstance(r); err != nil {
		return nil, err
	}
	return s.submitChange(ctx, r.Edit, &recpb.Record{Body: &recpb.Record_Instance{Instance: r}})
}

// Drain requests to drain an instance for a reboot or a move.
func (s *Server) Drain(ctx context.Context, r *recpb.Drain) (*opspb.Change, error) {
	r.Edit = editOrEmpty(r.Edit)
	return s.submitChange(ctx, r.Edit, &recpb.Record{Body: &recpb.Record_Drain{Drain: r}})
}

// Cancel cancels a drain.
func (s *Server) Cancel(ctx context.Context, r *recpb.Cancel) (*opspb.Change, error) {
	r.Edit = editOrEmpty(r.Edit)
	return s.submitChange(ctx, r.Edit, &recpb.Record{Body: &recpb.Record_Cancel{Cancel: r}})
}

// Order starts, halts, resumes or ends a wave, or resumes it without the instances that did not
// come back.
func (s *Server) Order(ctx context.Context, r *recpb.Wave) (*opspb.Change, error) {
	r.Edit = editOrEmpty(r.Edit)
	return s.submitChange(ctx, r.Edit, &recpb.Record{Body: &recpb.Record_Wave{Wave: r}})
}

// Remove evicts and fences an entry. The operator vouches that the entry has ended.
func (s *Server) Remove(ctx context.Context, r *opspb.MemberAsk) (*opspb.Change, error) {
	e := &recpb.Edit{}
	if _, err := s.submitChange(ctx, e, &recpb.Record{Body: &recpb.Record_Evict{
		Evict: &recpb.Evict{Name: r.GetName(), Incarnation: r.GetIncarnation()}}}); err != nil {
		return nil, err
	}
	return s.submitChange(ctx, e, &recpb.Record{Body: &recpb.Record_Fence{
		Fence: &recpb.Fence{Name: r.GetName(), Incarnation: r.GetIncarnation()}}})
}

// Submit submits or cancels a job.
func (s *Server) Submit(ctx context.Context, r *recpb.Job) (*opspb.Change, error) {
	r.Edit = editOrEmpty(r.Edit)
	return s.submitChange(ctx, r.Edit, &recpb.Record{Body: &recpb.Record_Job{Job: r}})
}

func editOrEmpty(e *recpb.Edit) *recpb.Edit {
	if e == nil {
		return &recpb.Edit{}
	}
	return e
}
