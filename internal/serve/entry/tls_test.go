package entry

import (
	"context"
	"crypto/tls"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"chervilgauge.example/chervilgauge/internal/fake/fleet"
	"chervilgauge.example/chervilgauge/internal/fake/issuer"
	"chervilgauge.example/chervilgauge/internal/fake/oplog"
	"chervilgauge.example/chervilgauge/internal/serve/peers"
	"chervilgauge.example/chervilgauge/internal/setup/certs"
	"chervilgauge.example/chervilgauge/internal/setup/config"
	"chervilgauge.example/chervilgauge/internal/wire/opspb"
	"chervilgauge.example/chervilgauge/internal/wire/peerpb"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

// callTimeout is longer than a call takes even with the race detector.
const callTimeout = 10 * time.Second

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

func clientConfig(t *testing.T, a *issuer.Authority) *tls.Config {
	t.Helper()
	s, err := certs.Open(issue(t, a, "client"))
	assert.NilError(t, err)
	c, err := s.Client()
	assert.NilError(t, err)
	return c
}

// startPair starts two entries whose operators' and peers' listeners use mutual TLS.
func startPair(t *testing.T, operators, peers *issuer.Authority) []*Entry {
	t.Helper()
	log, list := oplog.New(), fleet.New()
	logURL, err := log.Start()
	assert.NilError(t, err)
	t.Cleanup(log.Close)
	listURL, err := list.Start()
	assert.NilError(t, err)
	t.Cleanup(list.Close)
	var out []*Entry
	for _, name := range []string{"entry-1", "entry-2"} {
		cfg := config.Default()
		cfg.Name, cfg.Centre = name, "north"
		cfg.Listen = config.Listen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0",
			Peers: "127.0.0.1:0", Health: "127.0.0.1:0"}
		cfg.Log.URL, cfg.List.URL = logURL, listURL
		cfg.Stop.Lag = 0
		cfg.TLS = config.TLS{Operators: issue(t, operators, name), Peers: issue(t, peers, name)}
		e, err := Start(context.Background(), cfg, zerolog.Nop())
		assert.NilError(t, err)
		t.Cleanup(func() { assert.NilError(t, e.Close(context.Background())) })
		out = append(out, e)
	}
	return out
}

// putPool puts a pool through an entry's operators' listener.
func putPool(t *testing.T, e *Entry, creds credentials.TransportCredentials) error {
	t.Helper()
	conn, err := grpc.NewClient(e.Addrs().Operators, grpc.WithTransportCredentials(creds))
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
	defer cancel()
	_, err = opspb.NewOperatorsClient(conn).PutPool(ctx, &recpb.Pool{Name: "plan", Budget: &recpb.Budget{Total: 1}})
	return err
}

// requestGossip requests the digest from an entry's peers' listener.
func requestGossip(t *testing.T, e *Entry, conf *tls.Config) error {
	t.Helper()
	c := peers.NewClient(func() (*tls.Config, error) { return conf, nil })
	defer func() { assert.NilError(t, c.Close()) }()
	ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
	defer cancel()
	_, err := c.To(ctx, e.Addrs().Peers).Gossip(ctx, &peerpb.DigestAsk{})
	return err
}

// Guards against entries that can't reach each other under mutual TLS, and against listeners for
// operators or peers that accept a client without TLS, without a certificate, or with one of an
// unknown authority or of the other listener's authority.
func TestMutualTLS(t *testing.T) {
	operators, peers, untrusted := newAuthority(t), newAuthority(t), newAuthority(t)
	entries := startPair(t, operators, peers)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, e := range entries {
			if ok, why := e.Ready(); !ok || len(e.core.View().Live) < len(entries) {
				return poll.Continue("%s has heard from %d members, %s", e.cfg.Name, len(e.core.View().Live), why)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(callTimeout), poll.WithDelay(20*time.Millisecond))

	for name, creds := range map[string]credentials.TransportCredentials{
		"unknown authority":              credentials.NewTLS(clientConfig(t, untrusted)),
		"peers' authority":               credentials.NewTLS(clientConfig(t, peers)),
		"plain TCP":                      insecure.NewCredentials(),
		"no certificate":                 credentials.NewTLS(&tls.Config{InsecureSkipVerify: true}),
		"unknown authority, not checked": credentials.NewTLS(unverified(clientConfig(t, untrusted))),
	} {
		assert.Equal(t, status.Code(putPool(t, entries[0], creds)), codes.Unavailable, name)
	}
	assert.NilError(t, putPool(t, entries[0], credentials.NewTLS(clientConfig(t, operators))))

	for name, conf := range map[string]*tls.Config{
		"unknown authority":              clientConfig(t, untrusted),
		"operators' authority":           clientConfig(t, operators),
		"no certificate":                 {InsecureSkipVerify: true},
		"unknown authority, not checked": unverified(clientConfig(t, untrusted)),
	} {
		assert.Assert(t, requestGossip(t, entries[1], conf) != nil, name)
	}
	assert.NilError(t, requestGossip(t, entries[1], clientConfig(t, peers)))
}

// unverified returns client settings that accept any server certificate, so that only the server's
// check of the client is left.
func unverified(c *tls.Config) *tls.Config {
	c.InsecureSkipVerify = true
	return c
}
