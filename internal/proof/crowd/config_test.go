package crowd

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcwire"

	"chervilgauge.example/chervilgauge/internal/wire/workpb"
	"chervilgauge.example/chervilgauge/platform"
)

// Guards against a process that runs out of memory by clients that request its configuration and don't read it.
func TestUnreadConfigurations(t *testing.T) {
	r := newRig(t)
	var queues strings.Builder
	for i := range 6000 {
		fmt.Fprintf(&queues, `,{"name":"q%d","host":"h%d.example","path_prefix":"/a/","service":"pool-a","timeout_ms":3000,"target_runtime_ms":600,"priority":0,"max_attempts":2,"slack_factor":1.6}`, i, i)
	}
	r.platform.Store.Put(platform.OperatorTopic, platform.ConfigKey, fmt.Appendf(nil, `{"version":2,"routes":[{"name":"qa","host":%q,`+
		`"path_prefix":%q,"service":"pool-a","timeout_ms":3000,"target_runtime_ms":600,"priority":0,"max_attempts":2,"slack_factor":1.6}%s],`+
		`"services":[{"name":"pool-a"}],"limits":{"max_body_bytes":%d,"max_header_bytes":16384}}`, host, prefix, queues.String(), bodyLimit))
	time.Sleep(holdTime)
	call := packet(drpcwire.KindInvoke, 1, 1, []byte(relayService+"Digest"))
	call = append(call, message(t, 2, &workpb.DigestAsk{})...)
	call = append(call, packet(drpcwire.KindCloseSend, 1, 3, nil)...)
	for range 300 {
		conn, err := net.Dial("tcp", r.peers)
		assert.NilError(t, err)
		defer conn.Close()
		assert.NilError(t, conn.(*net.TCPConn).SetReadBuffer(4<<10))
		_, err = conn.Write(call)
		assert.NilError(t, err)
	}
	time.Sleep(holdTime)
	r.serveOrdinary()
	r.check()
}
