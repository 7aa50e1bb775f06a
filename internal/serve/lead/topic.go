package lead

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"chervilgauge.example/chervilgauge/platform"
)

// topic holds the claims.
const topic = "chervilgauge.leader"

// record is one record of the topic.
type record struct {
	Kind string `json:"kind"` // claim, renew or resign
	Name string `json:"name"`
	Addr string `json:"addr"`
	// Nonce tells processes of the same name apart.
	Nonce string `json:"nonce"`
	// Token is that of the claim that a renewal belongs to.
	Token uint64 `json:"token"`
	// At is when it was written, in Unix milliseconds.
	At int64 `json:"at"`
	// Next is the entry that a leader that resigns asks to claim, empty for none.
	Next string `json:"next,omitempty"`
}

// caughtUp reads the topic after a record of an unknown outcome, and says whether the
// last record belongs to this entry's leadership.
func (e *Elector) caughtUp(ctx context.Context, token uint64) bool {
	last, err := e.read(ctx)
	if err != nil {
		return true // not known; the next renewal tells
	}
	return last == nil || last.Nonce == e.nonce && last.Token == token
}

// append adds a record where the topic ends.
func (e *Elector) append(ctx context.Context, r record, limit time.Duration) error {
	if r.Kind == "claim" {
		r.Token = uint64(e.end) + 1
	}
	r.Name, r.Addr, r.Nonce, r.At = e.self.Name, e.self.Addr, e.nonce, e.clk.Wall().UnixMilli()
	data, err := json.Marshal(r)
	if err != nil {
		return platform.ErrFormat.Wrap(err)
	}
	call, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	_, end, err := e.client.Append(call, platform.Append{Topic: topic, Records: [][]byte{data}, At: e.end})
	if err != nil {
		return err
	}
	e.end = end
	return nil
}

// read reads the topic to its end, and returns its last record if that is new.
func (e *Elector) read(ctx context.Context) (*record, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rs, end, err := e.client.Read(call, topic, 0, e.end, 0)
	if gone := (*platform.GoneError)(nil); errors.As(err, &gone) {
		rs, end, err = e.client.Read(call, topic, 0, gone.First, 0)
		if err == nil && len(rs) == 0 {
			e.end = max(gone.First, end)
		}
	}
	if err != nil {
		return nil, err
	}
	e.known = true
	if len(rs) == 0 {
		e.end = max(e.end, end)
		return nil, nil
	}
	e.end = rs[len(rs)-1].Offset + 1
	var last record
	if err := json.Unmarshal(rs[len(rs)-1].Value, &last); err != nil {
		e.log.Error().Err(err).Int64("offset", e.end-1).Msg("leader record can't be read")
		return nil, platform.ErrFormat.Wrap(err)
	}
	return &last, nil
}
