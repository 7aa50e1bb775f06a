package endpt

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"hash"
	"io"
	"net/http"
	"sync"

	"chervilgauge.example/chervilgauge/internal/core/ports"
)

// blockSize is the unit in bytes in which an answer is streamed. The last block is
// withheld until the digest is verified.
const blockSize = 32 << 10

// pair is the pair of blocks that one streamed answer needs.
type pair [2][blockSize]byte

var pairs = sync.Pool{New: func() any { return new(pair) }}

// verify checks that a response is the answer to the request with an id. On success
// the answer takes over the body and calls cancel when the body is no longer needed.
func (a *attempt) verify(resp *http.Response, id string, cancel context.CancelFunc) (*ports.Answer, error) {
	if echo := resp.Header["Request-Id"]; len(echo) != 1 || echo[0] != id {
		return nil, a.broken(ErrEcho.New("Request-Id %q instead of %q", echo, id))
	}
	if reason := refusal(resp); reason != "" {
		drain(resp.Body)
		return nil, &ports.RefusedError{Addr: a.addr, Reason: reason}
	}
	ans := &ports.Answer{
		Status:  resp.StatusCode,
		Kind:    resp.Header.Get("Content-Type"),
		Length:  resp.ContentLength,
		Header:  resp.Header,
		Leaving: leaving(resp.Header),
	}
	lines, trailer := resp.Header[digestHeader], false
	if len(lines) == 0 {
		_, trailer = resp.Trailer[digestHeader]
	}
	var want [sha256.Size]byte
	if !trailer {
		var err error
		if want, err = parseDigest(lines); err != nil {
			return nil, a.broken(err)
		}
	}
	if !trailer && ans.Length >= 0 && ans.Length <= maxWhole {
		return ans, a.buffer(ans, resp, want, cancel)
	}
	ans.Body = &streamed{
		attempt: a, resp: resp, cancel: cancel,
		want: want, trailer: trailer, sum: sha256.New(),
		blocks: pairs.Get().(*pair),
	}
	return ans, nil
}

// refusal returns the endpoint's reason for a refusal without running the request,
// or an empty string if the response is none.
func refusal(resp *http.Response) string {
	if resp.StatusCode != http.StatusServiceUnavailable && resp.StatusCode != http.StatusNotFound {
		return ""
	}
	return resp.Header.Get("Refused")
}

// whole is the body of an answer that is held in memory.
type whole struct{ bytes.Reader }

// Close does nothing.
func (*whole) Close() error { return nil }

// buffer reads and verifies a body of declared length. It returns a
// *ports.BrokenError.
func (a *attempt) buffer(ans *ports.Answer, resp *http.Response, want [sha256.Size]byte, cancel context.CancelFunc) error {
	data := make([]byte, ans.Length)
	if _, err := io.ReadFull(resp.Body, data); err != nil {
		return a.broken(cut(err))
	}
	if sha256.Sum256(data) != want {
		return a.broken(ErrDigest.New("does not match the body"))
	}
	_ = resp.Body.Close()
	cancel()
	w := new(whole)
	w.Reset(data)
	ans.Whole = data
	ans.Body = w
	return nil
}

// cut gives an early end of a body its type.
func cut(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return ErrLength.Wrap(err)
	}
	return err
}

// streamed is the body of an answer that is verified while it is read.
type streamed struct {
	attempt *attempt
	resp    *http.Response
	cancel  context.CancelFunc
	want    [sha256.Size]byte
	trailer bool
	sum     hash.Hash

	blocks *pair
	turn   int    // index of the block to fill next
	ready  []byte // may be returned
	held   []byte // withheld until a further block has arrived or the digest is verified
	ended  bool   // the digest is verified
	err    error
}

// Read returns verified bytes and bytes that are not the last ones. It returns a
// *ports.BrokenError if the body turns out to be truncated or corrupt.
func (s *streamed) Read(p []byte) (int, error) {
	for len(s.ready) == 0 && s.err == nil {
		s.advance()
	}
	n := copy(p, s.ready)
	s.ready = s.ready[n:]
	if n == 0 && len(p) > 0 {
		return 0, s.err
	}
	return n, nil
}

// advance makes the withheld block ready if it may be.
func (s *streamed) advance() {
	if s.ended {
		s.ready, s.held = s.held, nil
		if len(s.ready) == 0 {
			s.err = io.EOF
		}
		return
	}
	block := s.blocks[s.turn][:]
	n, err := fill(s.resp.Body, block)
	if err != nil && err != io.EOF {
		s.err = s.attempt.broken(cut(err))
		return
	}
	_, _ = s.sum.Write(block[:n])
	if err == io.EOF {
		if s.err = s.check(); s.err != nil {
			return
		}
		s.ended = true
	}
	if n > 0 {
		s.ready, s.held = s.held, block[:n]
		s.turn = 1 - s.turn
	}
}

// fill reads until the block is full or the reader fails. Unlike io.ReadFull it
// returns the reader's own error, which tells the end of a body from a cut.
func fill(r io.Reader, block []byte) (n int, err error) {
	for n < len(block) && err == nil {
		var m int
		m, err = r.Read(block[n:])
		n += m
	}
	return n, err
}

// check compares the digest of the body that was read with the announced one. It
// returns a *ports.BrokenError.
func (s *streamed) check() error {
	if s.trailer {
		want, err := parseDigest(s.resp.Trailer[digestHeader])
		if err != nil {
			return s.attempt.broken(err)
		}
		s.want = want
	}
	var sum [sha256.Size]byte
	s.sum.Sum(sum[:0])
	if sum != s.want {
		return s.attempt.broken(ErrDigest.New("does not match the body"))
	}
	return nil
}

// Close ends the answer. The connection is closed if the body was not read to its end.
func (s *streamed) Close() error {
	if s.blocks == nil {
		return nil
	}
	err := s.resp.Body.Close()
	s.cancel()
	pairs.Put(s.blocks)
	s.blocks, s.ready, s.held = nil, nil, nil
	s.ended, s.err = true, http.ErrBodyReadAfterClose
	return err
}
