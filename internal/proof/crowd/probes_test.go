package crowd

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a process that runs out of memory by many requests of the metrics at once.
func TestManyReadersOfMetrics(t *testing.T) {
	r := newRig(t)
	request := bytes.Repeat([]byte("GET /metrics HTTP/1.1\r\nHost: "+host+"\r\n\r\n"), 20)
	r.withCrowd(r.metrics, times(3*connections, func(int) client { return inPieces(nil, request, len(request)) })...)
}

// Guards against a probe of the readiness that isn't answered while others hold as many connections as the port has,
// with unfinished requests, idle, or with requests without end.
func TestProbesAreAnswered(t *testing.T) {
	r := newRig(t)
	request := []byte("GET / HTTP/1.1\r\nHost: " + host + "\r\n\r\n")
	c := open(r.ready, times(300, func(i int) client {
		return inPieces(nil, bytes.Repeat(request, i%3*2000)[:max(i%3*2000*len(request)-1, 0)], 16<<10)
	})...)
	defer c.close()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	deadline := time.Now().Add(testTimeout)
	for answered := 0; answered < 3; {
		req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+r.ready+"/", nil)
		assert.NilError(t, err)
		if resp, err := client.Do(req); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			assert.Equal(t, resp.StatusCode, http.StatusOK)
			answered++
		}
		assert.Assert(t, time.Now().Before(deadline), "the probe is not answered")
	}
	r.check()
}

// Guards against callers that are kept out, and against a process that runs out of memory, by clients that send
// requests without end and don't read the answers.
func TestUnreadAnswers(t *testing.T) {
	r := newRig(t)
	request := bytes.Repeat([]byte("GET "+prefix+" HTTP/1.1\r\nHost: "+host+"\r\n\r\n"), 200)
	var conns []net.Conn
	var all sync.WaitGroup
	for range 500 {
		conn, err := net.Dial("tcp", r.front)
		assert.NilError(t, err)
		conns = append(conns, conn)
		assert.NilError(t, conn.(*net.TCPConn).SetReadBuffer(4<<10))
		all.Go(func() {
			_ = conn.SetWriteDeadline(time.Now().Add(testTimeout))
			for {
				if _, err := conn.Write(request); err != nil {
					return
				}
			}
		})
	}
	defer all.Wait()
	defer func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
	}()
	time.Sleep(holdTime)
	begin := time.Now()
	r.serveOrdinary()
	t.Logf("served after %s", time.Since(begin))
	r.check()
}
