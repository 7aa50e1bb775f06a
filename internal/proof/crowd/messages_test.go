package crowd

import (
	"bytes"
	"fmt"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	"storj.io/drpc/drpcmetadata"
	"storj.io/drpc/drpcwire"

	"chervilgauge.example/chervilgauge/internal/wire/workpb"
)

// largeMessage is a size below the limit of a message between entries, 4 MiB.
const largeMessage = 4_000_000

// packet returns the frames of a packet.
func packet(kind drpcwire.Kind, stream, message uint64, data []byte) []byte {
	var out []byte
	for first := true; first || len(data) > 0; first = false {
		n := min(64<<10, len(data))
		out = drpcwire.AppendFrame(out, drpcwire.Frame{
			Data: data[:n], ID: drpcwire.ID{Stream: stream, Message: message}, Kind: kind, Done: n == len(data),
		})
		data = data[n:]
	}
	return out
}

const relayService = "/chervilgauge.work.v1.Relay/"

// Guards against a process that runs out of memory by connections whose large messages were handled: the buffers in
// which they arrived are kept.
func TestServedMessages(t *testing.T) {
	t.Run("large", func(t *testing.T) { testServedMessages(t, messages, largeMessage) })
	t.Run("small", func(t *testing.T) { testServedMessages(t, 3*messages, 32_000) })
}

func testServedMessages(t *testing.T, n, size int) {
	r := newRig(t)
	// A field that the schema does not have, of type bytes.
	ask := protowire.AppendBytes(protowire.AppendTag(nil, 99, protowire.BytesType), make([]byte, size))
	call := packet(drpcwire.KindInvoke, 1, 1, []byte(relayService+"Query"))
	call = append(call, packet(drpcwire.KindMessage, 1, 2, ask)...)
	call = append(call, packet(drpcwire.KindCloseSend, 1, 3, nil)...)
	// One after the other, so that each is handled.
	for range n {
		c := open(r.peers, inPieces(nil, call, 64<<10))
		defer c.close()
	}
	r.serveOrdinary()
	r.check()
}

// Guards against a process that runs out of memory by messages of very many orders, whose decoded form is many times
// as large.
func TestMessagesOfManyOrders(t *testing.T) {
	r := newRig(t)
	call := packet(drpcwire.KindInvoke, 1, 1, []byte(relayService+"Carry"))
	call = append(call, packet(drpcwire.KindMessage, 1, 2, bytes.Repeat([]byte{0x0a, 0}, largeMessage/2))...)
	r.withCrowd(r.peers, inPieces(nil, call, 64<<10))
}

// Guards against a process that runs out of memory by metadata of calls, whose decoded form is many times as large.
func TestMetadata(t *testing.T) {
	r := newRig(t)
	var meta []byte
	for i := 0; len(meta) < largeMessage; i++ {
		meta, _ = drpcmetadata.Encode(meta, map[string]string{fmt.Sprintf("%x", i): ""})
	}
	r.withCrowd(r.peers, times(messages, func(int) client {
		return inPieces(nil, packet(drpcwire.KindInvokeMetadata, 1, 1, meta), 64<<10)
	})...)
}

// Guards against a process that runs out of memory by submissions that come from no entry, so that none has checked
// their bodies: decoding one of very many empty objects allocates many times its size before it is found to be invalid.
func TestUncheckedSubmissions(t *testing.T) {
	for name, size := range map[string]int{"legal": legalBytes, "large": largeMessage} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			body := append([]byte(`{"phases":[`), bytes.Repeat([]byte(`{},`), size/3-10)...)
			body = append(body, "{}]}"...)
			var all []client
			for i := range 40 {
				call := packet(drpcwire.KindInvoke, 1, 1, []byte(relayService+"Submit"))
				call = append(call, message(t, 2, &workpb.SubmitAsk{Id: fmt.Sprintf("%016x", i+1), Queue: "qa", Body: body, Wait: 5000})...)
				call = append(call, packet(drpcwire.KindCloseSend, 1, 3, nil)...)
				all = append(all, inPieces(nil, call, 64<<10))
			}
			r.withCrowd(r.peers, all...)
		})
	}
}
