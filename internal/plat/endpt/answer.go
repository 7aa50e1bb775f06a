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

// blockSize is the size in bytes of the blocks in which an answer is streamed. The last block
// is withheld until the digest is verified.
const blockSize = 32 << 10

// blockPair holds the two blocks that one streamed answer needs.
type blockPair [2][blockSize]byte

var blockPairs = sync.Pool{New: func() any { return new(blockPair) }}

// verify checks that a response is an answer to the request with the id, and verifies the body
// of a short answer. On success the answer owns the body and calls cancel when the body is no
// longer needed. It returns a *ports.RefusedError or a *ports.UnknownOutcomeError.
func (a *attempt) verify(resp *http.Response, id string, cancel context.CancelFunc) (*ports.Answer, error) {
	if ids := resp.Header["Request-Id"]; len(ids) != 1 || ids[0] != id {
		return nil, a.badAnswerError(ErrEcho.New("Request-Id %q instead of %q", ids, id))
	}
	if reason := refusalReason(resp); reason != "" {
		drainAndClose(resp.Body)
		return nil, &ports.RefusedError{Addr: a.addr, Reason: reason}
	}
	ans := &ports.Answer{
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"),
		Length:      resp.ContentLength,
		Header:      resp.Header,
		Leaving:     isLeaving(resp.Header),
	}
	lines, trailer := resp.Header[digestHeader], false
	if len(lines) == 0 {
		_, trailer = resp.Trailer[digestHeader]
	}
	var want [sha256.Size]byte
	if !trailer {
		var err error
		if want, err = parseDigest(lines); err != nil {
			return nil, a.badAnswerError(err)
		}
	}
	if !trailer && ans.Length >= 0 && ans.Length <= maxBuffered {
		return ans, a.buffer(ans, resp, want, cancel)
	}
	ans.Body = &streamedBody{
		attempt: a, resp: resp, cancel: cancel,
		want: want, trailer: trailer, sum: sha256.New(),
		blocks: blockPairs.Get().(*blockPair),
	}
	return ans, nil
}

// refusalReason returns the reason why the endpoint refused the request without running it,
// empty if the response is not a refusal.
func refusalReason(resp *http.Response) string {
	if resp.StatusCode != http.StatusServiceUnavailable && resp.StatusCode != http.StatusNotFound {
		return ""
	}
	return resp.Header.Get("Refused")
}

// bufferedBody is the body of an answer that is held in memory.
type bufferedBody struct{ bytes.Reader }

// Close does nothing.
func (*bufferedBody) Close() error { return nil }

// buffer reads and verifies a body of declared length. It returns a
// *ports.UnknownOutcomeError.
func (a *attempt) buffer(ans *ports.Answer, resp *http.Response, want [sha256.Size]byte, cancel context.CancelFunc) error {
	data := make([]byte, ans.Length)
	if _, err := io.ReadFull(resp.Body, data); err != nil {
		return a.badAnswerError(wrapEOF(err))
	}
	if sha256.Sum256(data) != want {
		return a.badAnswerError(ErrDigest.New("does not match the body"))
	}
	_ = resp.Body.Close()
	cancel()
	b := new(bufferedBody)
	b.Reset(data)
	ans.Buffered = data
	ans.Body = b
	return nil
}

// wrapEOF returns an ErrLength for an early end of a body and other errors unchanged.
func wrapEOF(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return ErrLength.Wrap(err)
	}
	return err
}

// streamedBody is the body of an answer that is verified while it is read.
type streamedBody struct {
	attempt *attempt
	resp    *http.Response
	cancel  context.CancelFunc
	want    [sha256.Size]byte
	trailer bool // the digest is in the trailer and not yet in want
	sum     hash.Hash

	blocks   *blockPair
	next     int    // index of the block to fill next
	ready    []byte // may be returned
	withheld []byte // until a further block has arrived or the digest is verified
	ended    bool   // the digest is verified, or the body is closed
	err      error
}

// Read reads from the body. It returns the last block only after the digest was verified, and a
// *ports.UnknownOutcomeError if the body is truncated or corrupt.
func (s *streamedBody) Read(p []byte) (int, error) {
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

// advance reads the next block and makes the withheld one ready. After the end of the body it
// makes the last block ready.
func (s *streamedBody) advance() {
	if s.ended {
		s.ready, s.withheld = s.withheld, nil
		if len(s.ready) == 0 {
			s.err = io.EOF
		}
		return
	}
	block := s.blocks[s.next][:]
	n, err := fill(s.resp.Body, block)
	if err != nil && err != io.EOF {
		s.err = s.attempt.badAnswerError(wrapEOF(err))
		return
	}
	_, _ = s.sum.Write(block[:n])
	if err == io.EOF {
		if s.err = s.checkDigest(); s.err != nil {
			return
		}
		s.ended = true
	}
	if n > 0 {
		s.ready, s.withheld = s.withheld, block[:n]
		s.next = 1 - s.next
	}
}

// fill reads until the block is full or the reader fails. Unlike io.ReadFull it returns the
// error of the reader unchanged, which distinguishes the end of a body from a truncated body.
func fill(r io.Reader, block []byte) (n int, err error) {
	for n < len(block) && err == nil {
		var m int
		m, err = r.Read(block[n:])
		n += m
	}
	return n, err
}

// checkDigest compares the digest of the body that was read with the one in the header or the
// trailer. It returns a *ports.UnknownOutcomeError.
func (s *streamedBody) checkDigest() error {
	if s.trailer {
		want, err := parseDigest(s.resp.Trailer[digestHeader])
		if err != nil {
			return s.attempt.badAnswerError(err)
		}
		s.want = want
	}
	var sum [sha256.Size]byte
	s.sum.Sum(sum[:0])
	if sum != s.want {
		return s.attempt.badAnswerError(ErrDigest.New("does not match the body"))
	}
	return nil
}

// Close closes the body, and the connection if the body was not read to its end.
func (s *streamedBody) Close() error {
	if s.blocks == nil {
		return nil
	}
	err := s.resp.Body.Close()
	s.cancel()
	blockPairs.Put(s.blocks)
	s.blocks, s.ready, s.withheld = nil, nil, nil
	s.ended, s.err = true, http.ErrBodyReadAfterClose
	return err
}
