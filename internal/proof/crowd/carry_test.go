package crowd

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcwire"

	"chervilgauge.example/chervilgauge/internal/wire/workpb"
)

// message returns the frames of an encoded message on the first stream.
func message(t *testing.T, number uint64, m proto.Message) []byte {
	t.Helper()
	data, err := proto.Marshal(m)
	assert.NilError(t, err)
	return packet(drpcwire.KindMessage, 1, number, data)
}

// Guards against a process that runs out of memory by specifications that are sent to it and never used.
func TestManySpecifications(t *testing.T) {
	r := newRig(t)
	call := packet(drpcwire.KindInvoke, 1, 1, []byte(relayService+"Carry"))
	for i := range 1000 {
		call = append(call, message(t, uint64(i)+2, &workpb.Orders{Specs: []*workpb.Spec{{Job: fmt.Sprint(i), Text: string(make([]byte, 250_000))}}})...)
	}
	r.withCrowd(r.peers, inPieces(nil, call, 64<<10))
}

// Guards against a process without memory or descriptors by very many orders to executors that don't answer.
func TestManyOrdersInProgress(t *testing.T) {
	r := newRig(t)
	call := packet(drpcwire.KindInvoke, 1, 1, []byte(relayService+"Carry"))
	for i := range 200 {
		m := &workpb.Orders{}
		for j := range 250 {
			m.Orders = append(m.Orders, &workpb.Order{Seq: uint64(250*i + j), Kind: 2, Addr: fmt.Sprintf("127.1.%d.%d:9", i, j+1), Id: fmt.Sprint(i, j), Limit: 60_000})
		}
		call = append(call, message(t, uint64(i)+2, m)...)
	}
	r.withCrowd(r.peers, times(4, func(int) client { return inPieces(nil, call, 64<<10) })...)
}
