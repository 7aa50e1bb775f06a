package peers

import (
	"context"
	"errors"
	"net"
	"slices"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcstream"
)

// Marked is a connection that is told when a whole message has been received on it and when the message
// is not held any more.
type Marked interface {
	MarkComplete()
	// Consume reports the end of a message of n bytes.
	Consume(n int)
	// Keep reports that buffers of n bytes in all are kept for further messages.
	Keep(n int)
	// BeginAnswer reports that n bytes are held until the client has read them, and EndAnswer that it has.
	BeginAnswer(n int)
	EndAnswer(n int)
}

// WithMessageMarks makes a Server without TLS report the messages on connections that implement Marked. The messages
// of streams, which are given by the names of their RPCs, are never reported as complete: a client could make their
// handling take any time.
func WithMessageMarks(streams ...string) Option {
	return func(o *options) { o.marksMessages, o.streams = true, streams }
}

// acceptPause is the time between attempts to accept connections after a failure, such as a lack of
// descriptors.
const acceptPause = 100 * time.Millisecond

// serveMarked serves connections until the context ends, and then waits for them. The library's own loop
// does not tell a handler which connection a call came on.
func serveMarked(ctx context.Context, lis net.Listener, o options) error {
	tracker := drpcctx.NewTracker(ctx)
	defer tracker.Wait()
	defer tracker.Cancel()
	tracker.Run(func(ctx context.Context) {
		<-ctx.Done()
		_ = lis.Close() // it may be closed already
	})
	srv := drpcserver.NewWithOptions(markingHandler{o.traceExtractor, o.streams}, drpcserver.Options{
		// Larger buffers of answers are not kept for further ones.
		Manager: drpcmanager.Options{Stream: drpcstream.Options{MaximumBufferSize: leastAnswer}},
	})
	for {
		conn, err := lis.Accept()
		switch {
		case err == nil:
			tracker.Run(func(ctx context.Context) {
				marked, _ := conn.(Marked)
				_ = srv.ServeOne(ctx, &limitedConn{Conn: conn, marked: marked}) // a broken connection is its caller's concern
			})
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		default:
			select {
			case <-time.After(acceptPause):
			case <-ctx.Done():
			}
		}
	}
}

// markingHandler reports the messages of calls to their connections.
type markingHandler struct {
	drpc.Handler
	streams []string
}

// HandleRPC handles one call.
func (h markingHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	tr, _ := drpcctx.Transport(stream.Context())
	c, ok := tr.(*limitedConn)
	if !ok || c.marked == nil {
		return h.Handler.HandleRPC(stream, rpc)
	}
	s := &markingStream{Stream: stream, conn: c.marked, isUnary: !slices.Contains(h.streams, rpc)}
	defer s.consume()
	return h.Handler.HandleRPC(s, rpc)
}

// markingStream is the stream of a call. Its last message counts as held until the next one is requested or
// the call ends.
type markingStream struct {
	drpc.Stream
	conn    Marked
	isUnary bool
	// size is the size of the last message, and received is set while it is held.
	size     int
	received bool
}

// MsgRecv receives a message.
func (s *markingStream) MsgRecv(msg drpc.Message, enc drpc.Encoding) error {
	s.consume()
	if err := s.Stream.MsgRecv(msg, sizingEncoding{boundedEncoding{enc}, s}); err != nil {
		return err
	}
	s.received = true
	if s.isUnary {
		s.conn.MarkComplete()
	}
	return nil
}

// leastAnswer is the size from which an answer is reported: the configuration can have a megabyte, and a client may
// not read it.
const leastAnswer = 16 << 10

// MsgSend sends a message.
func (s *markingStream) MsgSend(msg drpc.Message, enc drpc.Encoding) error {
	a := &answerEncoding{enc, s.conn, 0}
	defer a.end()
	return s.Stream.MsgSend(msg, a)
}

// answerEncoding reports the size of a large message once it is encoded.
type answerEncoding struct {
	drpc.Encoding
	conn Marked
	size int
}

// Marshal encodes a message.
func (e *answerEncoding) Marshal(msg drpc.Message) ([]byte, error) {
	buf, err := e.Encoding.Marshal(msg)
	if err == nil && len(buf) >= leastAnswer {
		e.size = len(buf)
		e.conn.BeginAnswer(e.size)
	}
	return buf, err
}

func (e *answerEncoding) end() {
	if e.size > 0 {
		e.conn.EndAnswer(e.size)
	}
}

func (s *markingStream) consume() {
	if s.received {
		s.received = false
		s.conn.Consume(s.size)
	}
}

// sizingEncoding records the sizes of the messages that it decodes.
type sizingEncoding struct {
	drpc.Encoding
	stream *markingStream
}

// Unmarshal decodes a message.
func (e sizingEncoding) Unmarshal(buf []byte, msg drpc.Message) error {
	e.stream.size = len(buf)
	return e.Encoding.Unmarshal(buf, msg)
}
