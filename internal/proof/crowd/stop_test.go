package crowd

import (
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcwire"

	"chervilgauge.example/chervilgauge/internal/wire/workpb"
)

// Guards against an entry that does not stop because clients don't read its answers.
func TestStopWithUnreadAnswers(t *testing.T) {
	r := newRig(t)
	call := packet(drpcwire.KindInvoke, 1, 1, []byte(relayService+"Carry"))
	m := &workpb.Orders{}
	for i := range uint64(250) {
		m.Orders = append(m.Orders, &workpb.Order{Seq: i, Kind: 1, Task: "j.0.0.1"})
	}
	for i := range uint64(2000) {
		call = append(call, message(t, i+2, m)...)
	}
	var all sync.WaitGroup
	for range 4 {
		conn, err := net.Dial("tcp", r.peers)
		assert.NilError(t, err)
		assert.NilError(t, conn.(*net.TCPConn).SetReadBuffer(4<<10))
		all.Go(func() { _, _ = conn.Write(call) })
		defer conn.Close()
	}
	time.Sleep(holdTime)
	r.serveOrdinary()
	r.check()
	assert.NilError(t, r.cmd.Process.Signal(syscall.SIGTERM))
	select {
	case <-r.ended:
		assert.Equal(t, r.cmd.ProcessState.ExitCode(), 0)
	case <-time.After(testTimeout):
		t.Fatal("the process does not stop")
	}
	all.Wait()
}
