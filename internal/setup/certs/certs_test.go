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

func authority(t *testing.T) *issuer.Authority {
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

// exchange connects client to server and returns the serial number of the server's
// certificate, or the failure that either side reports.
func exchange(t *testing.T, server, client *Source) (string, error) {
	t.Helper()
	lis, err := tls.Listen("tcp", "127.0.0.1:0", server.Server())
	assert.NilError(t, err)
	defer func() { _ = lis.Close() }()
	served := make(chan error, 1)
	go func() { served <- serveOne(lis) }()
	conf, err := client.Client()
	assert.NilError(t, err)
	conn, err := tls.Dial("tcp", lis.Addr().String(), conf)
	if err != nil {
		<-served
		return "", err
	}
	defer func() { _ = conn.Close() }()
	// With TLS 1.3 a client learns of a refused certificate when it reads.
	if _, err := io.ReadAll(conn); err != nil {
		<-served
		return "", err
	}
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.String(), <-served
}

func serveOne(lis net.Listener) error {
	conn, err := lis.Accept()
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	return conn.(*tls.Conn).Handshake()
}

// Guards against mutual TLS that accepts a peer of another authority, on either side.
func TestAuthorities(t *testing.T) {
	own, other := authority(t), authority(t)
	server := open(t, issue(t, own, "server"))
	_, err := exchange(t, server, open(t, issue(t, own, "client")))
	assert.NilError(t, err)

	foreign := issue(t, other, "client")
	_, err = exchange(t, server, open(t, foreign))
	assert.ErrorContains(t, err, "unknown authority")

	// The client trusts the server, but its own certificate is of another authority.
	foreign.Authority = issue(t, own, "server").Authority
	_, err = exchange(t, server, open(t, foreign))
	assert.ErrorContains(t, err, "unknown certificate authority")
}

// Guards against a half set of files that starts a listener without mutual TLS.
func TestHalfSetIsRefused(t *testing.T) {
	whole := issue(t, authority(t), "server")
	for _, f := range []config.Files{
		{Cert: whole.Cert},
		{Cert: whole.Cert, Key: whole.Key},
		{Cert: whole.Cert, Authority: whole.Authority},
		{Key: whole.Key, Authority: whole.Authority},
		{Cert: whole.Cert, Key: whole.Key, Authority: whole.Key},
		{Cert: whole.Authority, Key: whole.Key, Authority: whole.Authority},
	} {
		_, err := Open(f)
		assert.Assert(t, Err.Has(err), "%+v: %v", f, err)
	}
}

// Guards against a certificate that is renewed in place and not taken up, and against
// an outage while the new files are only partly written.
func TestFilesAreReadAgain(t *testing.T) {
	a := authority(t)
	files := issue(t, a, "server")
	server, client := open(t, files), open(t, issue(t, a, "client"))
	first, err := exchange(t, server, client)
	assert.NilError(t, err)

	// stamp makes sure that the time of change differs on any file system.
	stamp := func(ahead time.Duration) {
		at := time.Now().Add(ahead)
		assert.NilError(t, os.Chtimes(files.Cert, at, at))
	}
	old, err := os.ReadFile(files.Key)
	assert.NilError(t, err)
	issue(t, a, "server")
	renewed, err := os.ReadFile(files.Key)
	assert.NilError(t, err)

	assert.NilError(t, os.WriteFile(files.Key, old, 0o600))
	stamp(time.Minute)
	half, err := exchange(t, server, client)
	assert.NilError(t, err)
	assert.Equal(t, half, first)

	assert.NilError(t, os.WriteFile(files.Key, renewed, 0o600))
	stamp(2 * time.Minute)
	second, err := exchange(t, server, client)
	assert.NilError(t, err)
	assert.Assert(t, second != first)
}
