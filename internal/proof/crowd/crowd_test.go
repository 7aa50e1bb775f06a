package crowd

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"storj.io/drpc/drpcwire"
)

// The sizes of the crowds are chosen so that a process without bounds exceeds those of the settings: what
// the clients of one crowd send is more than memoryMiB, or they are more than the descriptors.
const (
	bodies      = 800
	connections = 3000
	messages    = 120
	// legalBytes is a size that both the configuration and the store allow.
	legalBytes = 260_000
	// missing are the bytes that a client that stalls leaves out at the end, and stalling is how many of
	// ten clients stall.
	missing, stalling = 16, 9
	// holdTime is how long the clients hold their connections after they have sent.
	holdTime = 2 * time.Second
)

// withCrowd lets clients act on an address and serves an ordinary request while they hold their
// connections, and another one afterwards.
func (r *rig) withCrowd(addr string, all ...client) {
	r.t.Helper()
	c := open(addr, all...)
	time.Sleep(holdTime)
	r.serveOrdinary()
	c.close()
	r.serveOrdinary()
	r.check()
}

// withBodies lets clients send submissions. Those that stall leave out the end of what they send.
func (r *rig) withBodies(header string, data []byte, piece int, whole []byte) {
	r.t.Helper()
	r.withCrowd(r.front, times(bodies, func(i int) client {
		if i%10 < stalling {
			return inPieces(r.submission(header), data, piece)
		}
		return inPieces(r.submission(header), whole, piece)
	})...)
}

// Guards against a process that runs out of memory: many whole bodies of legal size arrive at once.
func TestWholeBodies(t *testing.T) {
	r := newRig(t)
	body := legalBody(legalBytes)
	r.withBodies(fmt.Sprint("Content-Length: ", legalBytes), body, legalBytes, body)
}

// Guards against a process that runs out of memory: many bodies of announced, legal size arrive in pieces,
// and most stall short of their end.
func TestAnnouncedBodiesInPieces(t *testing.T) {
	r := newRig(t)
	body := legalBody(legalBytes)
	r.withBodies(fmt.Sprint("Content-Length: ", legalBytes), body[:legalBytes-missing], 8<<10, body)
}

// Guards against a process that runs out of memory: the same with large chunks.
func TestLargeChunks(t *testing.T) {
	testChunks(t, 64<<10)
}

// Guards against a process that runs out of memory: the same with very small chunks.
func TestSmallChunks(t *testing.T) {
	testChunks(t, 16)
}

func testChunks(t *testing.T, size int) {
	r := newRig(t)
	data := chunked(legalBody(legalBytes), size)
	r.withBodies("Transfer-Encoding: chunked", data[:len(data)-missing], 32<<10, append(bytes.Clone(data), "0\r\n\r\n"...))
}

// Guards against a process that reads bodies which were announced to be far over the limit.
func TestAnnouncedBodiesOverTheLimit(t *testing.T) {
	r := newRig(t)
	body := bytes.Repeat([]byte{' '}, bodyLimit-missing)
	r.withBodies(fmt.Sprint("Content-Length: ", 256*bodyLimit), body, 16<<10, bytes.Repeat(body, 16))
}

// Guards against a process that runs out of memory, or that reads on: bodies far over the limit are just
// sent.
func TestSentBodiesOverTheLimit(t *testing.T) {
	r := newRig(t)
	data := chunked(bytes.Repeat([]byte{' '}, 16*bodyLimit), 64<<10)
	r.withBodies("Transfer-Encoding: chunked", data, 16<<10, data)
}

// Guards against a process without free descriptors or memory: many connections have an unfinished header.
func TestUnfinishedHeaders(t *testing.T) {
	r := newRig(t)
	r.withCrowd(r.front, r.unfinishedHeaders()...)
}

func (r *rig) unfinishedHeaders() []client {
	header := r.submission("X-Padding: " + string(bytes.Repeat([]byte{'x'}, 12<<10)))
	return times(connections, func(int) client { return inPieces(nil, header[:len(header)-missing], 4<<10) })
}

// Guards against a process without free descriptors: many connections stay idle, half of them after a
// request.
func TestIdleConnections(t *testing.T) {
	r := newRig(t)
	r.withCrowd(r.front, idle("GET "+prefix)...)
}

// idle returns clients that hold a connection, half of them after a request.
func idle(request string) []client {
	return times(connections, func(i int) client {
		if i%2 == 0 {
			return func(func([]byte) bool) {}
		}
		return inPieces([]byte(request+" HTTP/1.1\r\nHost: "+host+"\r\n\r\n"), nil, 1)
	})
}

// Guards against a process without free descriptors or memory by the ports for readiness and metrics.
func TestOtherHTTPPorts(t *testing.T) {
	for _, name := range []string{"ready", "metrics"} {
		addr := func(r *rig) string {
			if name == "ready" {
				return r.ready
			}
			return r.metrics
		}
		t.Run(name, func(t *testing.T) {
			t.Run("headers", func(t *testing.T) {
				r := newRig(t)
				r.withCrowd(addr(r), r.unfinishedHeaders()...)
			})
			t.Run("idle", func(t *testing.T) {
				r := newRig(t)
				r.withCrowd(addr(r), idle("GET /metrics")...)
			})
			t.Run("bodies", func(t *testing.T) {
				r := newRig(t)
				header := []byte(fmt.Sprintf("POST /metrics HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n", host, 16*bodyLimit))
				r.withCrowd(addr(r), times(bodies, func(int) client { return inPieces(header, make([]byte, bodyLimit), 16<<10) })...)
			})
		})
	}
}

// Guards against a process that runs out of memory by large messages on the port for calls between entries,
// which are never finished.
func TestUnfinishedMessages(t *testing.T) {
	r := newRig(t)
	frame := drpcwire.AppendFrame(nil, drpcwire.Frame{
		Data: make([]byte, 64<<10), ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindInvoke,
	})
	r.withCrowd(r.peers, times(messages, func(int) client { return inPieces(nil, bytes.Repeat(frame, 56), len(frame)) })...)
}

// Guards against a process without free descriptors by connections to the port for calls between entries.
func TestIdlePeers(t *testing.T) {
	r := newRig(t)
	r.withCrowd(r.peers, times(connections, func(int) client { return func(func([]byte) bool) {} })...)
}

// decoded is the number of submissions whose decoded form is large.
const decoded = 40

// withDecoded lets clients submit jobs whose decoded form is large, and lets the entry load them again.
func (r *rig) withDecoded(body []byte) {
	r.t.Helper()
	r.withCrowd(r.front, times(decoded, func(int) client {
		return inPieces(r.submission(fmt.Sprint("Content-Length: ", len(body))), body, len(body))
	})...)
	r.restart()
	r.check()
}

// Guards against a process that runs out of memory by jobs of 20,000 steps, at their submission and when
// it loads them.
func TestJobsOfManySteps(t *testing.T) {
	body := []byte(`{"phases":[`)
	for i := range 20_000 {
		if i > 0 {
			body = append(body, ',')
		}
		body = append(body, `{"count":1}`...)
	}
	newRig(t).withDecoded(append(body, "]}"...))
}

// Guards against a process that runs out of memory by jobs of 100,000 tasks that wait, at their submission
// and when it loads them.
func TestJobsOfManyTasks(t *testing.T) {
	newRig(t).withDecoded([]byte(`{"phases":[{"count":100000,"cpu":10,"mem_mb":1,"required_label":"none"}]}`))
}
