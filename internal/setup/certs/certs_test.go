package certs

import (
	"crypto/tls"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/fake/issuer"
	"chervilgauge.example/chervilgauge/internal/setup/config"
)

func newAuthority(t *testing.T) *issuer.Authority {
	t.Helper()
	a, err := issuer.New(t.TempDir())
	assert.NilError(t, err)
	return a
}

func issue(t *testing.T, a *issuer.Authority, name string) config.Files {
	t.Helper()
	f, err := a.Issue(name)
	assert.NilError(t, err)
	return f
}

func open(t *testing.T, f config.Files) *Source {
	t.Helper()
	s, err := Open(f)
	assert.NilError(t, err)
	return s
}

// handshake connects a client to a server and returns the serial number of the server's
// certificate, or the error of the side that failed.
func handshake(t *testing.T, server, client *Source) (string, error) {
	t.Helper()
	lis, err := tls.Listen("tcp", "127.0.0.1:0", server.Server())
	assert.NilError(t, err)
	defer func() { _ = lis.Close() }()
	serverErr := make(chan error, 1)
	go func() { serverErr <- acceptOne(lis) }()
	conf, err := client.Client()
	assert.NilError(t, err)
	conn, err := tls.Dial("tcp", lis.Addr().String(), conf)
	if err != nil {
		<-serverErr
		return "", err
	}
	defer func() { _ = conn.Close() }()
	// With TLS 1.3 a client receives the refusal of its certificate with its first read.
	if _, err := io.ReadAll(conn); err != nil {
		<-serverErr
		return "", err
	}
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.String(), <-serverErr
}

// acceptOne accepts one connection, completes its handshake and closes it.
func acceptOne(lis net.Listener) error {
	conn, err := lis.Accept()
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	return conn.(*tls.Conn).Handshake()
}

// Guards against mutual TLS that accepts a certificate of another authority, on either side.
func TestAuthorities(t *testing.T) {
	own, other := newAuthority(t), newAuthority(t)
	server := open(t, issue(t, own, "server"))
	_, err := handshake(t, server, open(t, issue(t, own, "client")))
	assert.NilError(t, err)

	foreign := issue(t, other, "client")
	_, err = handshake(t, server, open(t, foreign))
	assert.ErrorContains(t, err, "unknown authority")

	// The client accepts the server, but its own certificate is of another authority.
	foreign.Authority = issue(t, own, "server").Authority
	_, err = handshake(t, server, open(t, foreign))
	assert.ErrorContains(t, err, "unknown certificate authority")
}

// Guards against an incomplete or mixed-up set of files that starts a listener without mutual
// TLS.
func TestHalfSetIsRefused(t *testing.T) {
	complete := issue(t, newAuthority(t), "server")
	for _, f := range []config.Files{
		{Cert: complete.Cert},
		{Cert: complete.Cert, Key: complete.Key},
		{Cert: complete.Cert, Authority: complete.Authority},
		{Key: complete.Key, Authority: complete.Authority},
		{Cert: complete.Cert, Key: complete.Key, Authority: complete.Key},
		{Cert: complete.Authority, Key: complete.Key, Authority: complete.Authority},
	} {
		_, err := Open(f)
		assert.Assert(t, Err.Has(err), "%+v: %v", f, err)
	}
}

// Guards against a certificate that is renewed in place and not loaded, and against failed
// connections while only a part of the new files is written.
func TestFilesAreReadAgain(t *testing.T) {
	a := newAuthority(t)
	files := issue(t, a, "server")
	server, client := open(t, files), open(t, issue(t, a, "client"))
	first, err := handshake(t, server, client)
	assert.NilError(t, err)

	// touch sets the modification time, so that it differs also on file systems with coarse
	// times.
	touch := func(ahead time.Duration) {
		at := time.Now().Add(ahead)
		assert.NilError(t, os.Chtimes(files.Cert, at, at))
	}
	old, err := os.ReadFile(files.Key)
	assert.NilError(t, err)
	issue(t, a, "server")
	renewed, err := os.ReadFile(files.Key)
	assert.NilError(t, err)

	assert.NilError(t, os.WriteFile(files.Key, old, 0o600))
	touch(time.Minute)
	partial, err := handshake(t, server, client)
	assert.NilError(t, err)
	assert.Equal(t, partial, first)

	assert.NilError(t, os.WriteFile(files.Key, renewed, 0o600))
	touch(2 * time.Minute)
	second, err := handshake(t, server, client)
	assert.NilError(t, err)
	assert.Assert(t, second != first)
}
