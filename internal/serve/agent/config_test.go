package agent

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/serve/relay"
	"chervilgauge.example/chervilgauge/platform/fake"
)

// slowListener accepts connections that carry rate bytes a second to the other end.
type slowListener struct {
	net.Listener
	rate int
}

func (l slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return slowConn{conn, l.rate}, err
}

type slowConn struct {
	net.Conn
	rate int
}

func (c slowConn) Write(b []byte) (int, error) {
	const part = 8 << 10
	written := 0
	for len(b) > 0 {
		n := min(len(b), part)
		time.Sleep(time.Duration(n) * time.Second / time.Duration(c.rate))
		m, err := c.Conn.Write(b[:n])
		if written += m; err != nil {
			return written, err
		}
		b = b[n:]
	}
	return written, nil
}

// Guards against a large configuration that never reaches an entry which can't read the store: its
// transfer was cut off with the poll that carried it.
func TestLargeConfigurationArrivesThroughASlowLink(t *testing.T) {
	const rate, routes = 10e6 / 8, 5000
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	leader := &peerStandIn{addr: lis.Addr().String()}
	leader.digest.Store(&relay.Digest{Leads: true, Token: 1})
	srv, err := relay.Serve(context.Background(), slowListener{lis, rate}, leader)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, srv.Close()) })
	r := startFollower(t, leader.addr)
	var many []string
	for i := range routes {
		many = append(many, fmt.Sprintf(`{"name":"q%d","host":"jobs.example","path_prefix":"/q%d/","service":"pool-a","timeout_ms":3000,`+
			`"target_runtime_ms":600,"priority":0,"max_attempts":2,"slack_factor":1.6}`, i, i))
	}
	leader.configVersion.Store(7)
	leader.digest.Store(&relay.Digest{Leads: true, Token: 1, Config: fmt.Appendf(nil,
		`{"version":7,"routes":[%s],"services":[{"name":"pool-a","admission_control":true}],"limits":{"max_body_bytes":65536}}`, strings.Join(many, ","))})
	r.platform.Store.Set(fake.Faults{Unresponsive: true})
	r.until("the configuration is in force", func() bool { return r.entries[0].Config().Version == 7 })
	assert.Equal(t, len(r.entries[0].Config().Queues), routes)
}
