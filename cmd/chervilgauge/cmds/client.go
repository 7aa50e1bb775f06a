package cmds

import (
	"context"
	"crypto/tls"
	"flag"
	"fmt"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"chervilgauge.example/chervilgauge/internal/setup/certs"
	"chervilgauge.example/chervilgauge/internal/setup/config"
	"chervilgauge.example/chervilgauge/internal/wire/opspb"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

// refusedError says that the system refused a change, and what to do.
type refusedError struct {
	text    string
	current uint64
}

func (e *refusedError) Error() string {
	if e.current > 0 {
		return fmt.Sprintf("%s; look at 'chervilgauge status' and repeat with -base %d", e.text, e.current)
	}
	return e.text
}

// target holds the flags that all commands of the operators' client share.
type target struct {
	addr    string
	timeout time.Duration
	files   config.Files
	change  string
	base    uint64
	wait    bool
}

func targetFlags(fs *flag.FlagSet) *target {
	t := &target{}
	fs.StringVar(&t.addr, "addr", "127.0.0.1:8081", "operators' `address` of an entry")
	fs.DurationVar(&t.timeout, "timeout", 10*time.Second, "longest time for the command")
	fs.StringVar(&t.files.Cert, "cert", "", "certificate `file` for mutual TLS")
	fs.StringVar(&t.files.Key, "key", "", "key `file` for mutual TLS")
	fs.StringVar(&t.files.Authority, "authority", "", "authority `file` for mutual TLS")
	return t
}

// editFlags adds the flags of commands that change something.
func editFlags(fs *flag.FlagSet) *target {
	t := targetFlags(fs)
	fs.StringVar(&t.change, "change", "", "`id` of the change; repeating a command with the same id is safe")
	fs.Uint64Var(&t.base, "base", 0, "`version` of the object that the change is based on, 0 to create")
	fs.BoolVar(&t.wait, "wait", false, "wait until the change is in force on every entry")
	return t
}

func (t *target) edit(remove bool) *recpb.Edit {
	return &recpb.Edit{Change: t.change, Base: t.base, Remove: remove}
}

// dial connects to the entry and returns a function that closes the connection.
func (t *target) dial() (opspb.OperatorsClient, func(), error) {
	creds := insecure.NewCredentials()
	if t.files != (config.Files{}) {
		conf, err := t.tls()
		if err != nil {
			return nil, nil, err
		}
		creds = credentials.NewTLS(conf)
	}
	conn, err := grpc.NewClient(t.addr, grpc.WithTransportCredentials(creds))
	if err != nil {
		return nil, nil, errFailed.Wrap(err)
	}
	return opspb.NewOperatorsClient(conn), func() { _ = conn.Close() }, nil
}

func (t *target) tls() (*tls.Config, error) {
	if t.files.Cert == "" || t.files.Key == "" || t.files.Authority == "" {
		return nil, errUsage.New("-cert, -key and -authority go together")
	}
	s, err := certs.Open(t.files)
	if err != nil {
		return nil, err
	}
	return s.Client()
}

// send makes one change and prints its version.
func (t *target) send(e *env, call func(ctx context.Context, c opspb.OperatorsClient) (*opspb.Change, error)) error {
	return t.with(e, func(ctx context.Context, c opspb.OperatorsClient) error {
		change, err := call(ctx, c)
		if err != nil {
			return explain(err)
		}
		say(e.out, "accepted as version %d (change %s)\n", change.GetVersion(), change.GetChange())
		if !t.wait {
			return nil
		}
		return inForce(ctx, e, c, change.GetVersion(), t.timeout)
	})
}

// with runs a function with a client of the entry, within the timeout.
func (t *target) with(e *env, f func(ctx context.Context, c opspb.OperatorsClient) error) error {
	c, done, err := t.dial()
	if err != nil {
		return err
	}
	defer done()
	ctx, cancel := context.WithTimeout(e.ctx, t.timeout)
	defer cancel()
	return f(ctx, c)
}

// inForce waits until every entry has applied a version.
func inForce(ctx context.Context, e *env, c opspb.OperatorsClient, version uint64, limit time.Duration) error {
	r, err := c.Wait(ctx, &opspb.WaitAsk{Version: version, Timeout: uint32(limit.Milliseconds())})
	if err != nil {
		return explain(err)
	}
	if !r.GetReached() {
		return errFailed.New("not in force yet on %v", r.GetLagging())
	}
	say(e.out, "in force on every entry\n")
	return nil
}

// explain turns a gRPC status into an error that says what to do.
func explain(err error) error {
	s := status.Convert(err)
	switch s.Code() {
	case codes.Aborted, codes.FailedPrecondition, codes.InvalidArgument:
		return &refusedError{text: s.Message(), current: currentOf(s)}
	case codes.Unavailable, codes.DeadlineExceeded:
		return errFailed.New("%s; repeating the command with the same -change id is safe", s.Message())
	}
	return errFailed.New("%s", s.Message())
}

func currentOf(s *status.Status) uint64 {
	for _, d := range s.Details() {
		if c, ok := d.(*opspb.Conflict); ok {
			return c.GetCurrent()
		}
	}
	return 0
}
