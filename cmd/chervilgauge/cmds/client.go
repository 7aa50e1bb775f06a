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

// refusedError reports that the system refused a change.
type refusedError struct {
	text string
	// current is the current version of the object in a conflict, otherwise 0.
	current uint64
}

func (e *refusedError) Error() string {
	if e.current > 0 {
		return fmt.Sprintf("%s; look at 'chervilgauge status' and repeat with -base %d", e.text, e.current)
	}
	return e.text
}

// clientFlags holds the values of the flags that the commands of the operators' client share.
type clientFlags struct {
	addr    string
	timeout time.Duration
	files   config.Files
	change  string
	base    uint64
	wait    bool
}

// addClientFlags adds the flags of all commands that call an entry.
func addClientFlags(fs *flag.FlagSet) *clientFlags {
	f := &clientFlags{}
	fs.StringVar(&f.addr, "addr", "127.0.0.1:8081", "operators' `address` of an entry")
	fs.DurationVar(&f.timeout, "timeout", 10*time.Second, "longest time for the command")
	fs.StringVar(&f.files.Cert, "cert", "", "certificate `file` for mutual TLS")
	fs.StringVar(&f.files.Key, "key", "", "key `file` for mutual TLS")
	fs.StringVar(&f.files.Authority, "authority", "", "authority `file` for mutual TLS")
	return f
}

// addEditFlags adds the flags of commands that change an object.
func addEditFlags(fs *flag.FlagSet) *clientFlags {
	f := addClientFlags(fs)
	fs.StringVar(&f.change, "change", "", "`id` of the change; repeating a command with the same id is safe")
	fs.Uint64Var(&f.base, "base", 0, "`version` of the object that the change is based on, 0 to create")
	fs.BoolVar(&f.wait, "wait", false, "wait until the change is in force on every entry")
	return f
}

// newEdit returns the common part of a change, as the flags set it.
func (f *clientFlags) newEdit(remove bool) *recpb.Edit {
	return &recpb.Edit{Change: f.change, Base: f.base, Remove: remove}
}

// dial returns a client of the entry and a function that closes its connection.
func (f *clientFlags) dial() (opspb.OperatorsClient, func(), error) {
	creds := insecure.NewCredentials()
	if f.files != (config.Files{}) {
		conf, err := f.tlsConfig()
		if err != nil {
			return nil, nil, err
		}
		creds = credentials.NewTLS(conf)
	}
	conn, err := grpc.NewClient(f.addr, grpc.WithTransportCredentials(creds))
	if err != nil {
		return nil, nil, errFailed.Wrap(err)
	}
	return opspb.NewOperatorsClient(conn), func() { _ = conn.Close() }, nil
}

// tlsConfig returns the configuration for mutual TLS. It returns an errUsage or a certs.Err.
func (f *clientFlags) tlsConfig() (*tls.Config, error) {
	if f.files.Cert == "" || f.files.Key == "" || f.files.Authority == "" {
		return nil, errUsage.New("-cert, -key and -authority go together")
	}
	s, err := certs.Open(f.files)
	if err != nil {
		return nil, err
	}
	return s.Client()
}

// send makes one change and prints its version. With -wait it then waits until the change is in
// force on every entry.
func (f *clientFlags) send(e *env, call func(ctx context.Context, c opspb.OperatorsClient) (*opspb.Change, error)) error {
	return f.withClient(e, func(ctx context.Context, c opspb.OperatorsClient) error {
		change, err := call(ctx, c)
		if err != nil {
			return convertError(err)
		}
		printf(e.out, "accepted as version %d (change %s)\n", change.GetVersion(), change.GetChange())
		if !f.wait {
			return nil
		}
		return waitInForce(ctx, e, c, change.GetVersion(), f.timeout)
	})
}

// withClient calls call with a client of the entry and with a context that ends after the
// timeout.
func (f *clientFlags) withClient(e *env, call func(ctx context.Context, c opspb.OperatorsClient) error) error {
	c, closeConn, err := f.dial()
	if err != nil {
		return err
	}
	defer closeConn()
	ctx, cancel := context.WithTimeout(e.ctx, f.timeout)
	defer cancel()
	return call(ctx, c)
}

// waitInForce waits until every entry has applied a version. It returns an errFailed if some
// entries have not applied it within the limit.
func waitInForce(ctx context.Context, e *env, c opspb.OperatorsClient, version uint64, limit time.Duration) error {
	r, err := c.Wait(ctx, &opspb.WaitAsk{Version: version, Timeout: uint32(limit.Milliseconds())})
	if err != nil {
		return convertError(err)
	}
	if !r.GetReached() {
		return errFailed.New("not in force yet on %v", r.GetLagging())
	}
	printf(e.out, "in force on every entry\n")
	return nil
}

// convertError converts a gRPC status to a *refusedError or an errFailed whose text describes
// how to proceed.
func convertError(err error) error {
	s := status.Convert(err)
	switch s.Code() {
	case codes.Aborted, codes.FailedPrecondition, codes.InvalidArgument:
		return &refusedError{text: s.Message(), current: currentVersion(s)}
	case codes.Unavailable, codes.DeadlineExceeded:
		return errFailed.New("%s; repeating the command with the same -change id is safe", s.Message())
	}
	return errFailed.New("%s", s.Message())
}

// currentVersion returns the current version of the object in a conflict, 0 for other errors.
func currentVersion(s *status.Status) uint64 {
	for _, d := range s.Details() {
		if c, ok := d.(*opspb.Conflict); ok {
			return c.GetCurrent()
		}
	}
	return 0
}
