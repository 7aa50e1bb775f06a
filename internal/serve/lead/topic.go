package lead

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"chervilgauge.example/chervilgauge/platform"
)

// topic holds the claims, renewals and resignations.
const topic = "chervilgauge.leader"

// record is one record of the topic.
type record struct {
	Kind string `json:"kind"` // claim, renew or resign
	Name string `json:"name"`
	Addr string `json:"addr"`
	// Nonce distinguishes processes of the same name.
	Nonce string `json:"nonce"`
	// Token is the token of the claim that the record belongs to.
	Token uint64 `json:"token"`
	// At is when the record was written, in Unix milliseconds.
	At int64 `json:"at"`
	// Next is the designated successor in a resignation, empty for none.
	Next string `json:"next,omitempty"`
}

// isStillLeader reads the topic after an append that failed because the topic ends elsewhere. It
// reports whether the last record belongs to this entry's leadership. It also returns true if there
// is no new record or the topic can't be read. A record of another entry is kept for endLeadership,
// since the topic is not read up to it again.
func (e *Elector) isStillLeader(ctx context.Context, token uint64) bool {
	last, err := e.read(ctx)
	if err != nil {
		return true // not known; the next renewal decides
	}
	if last != nil && last.Nonce != e.nonce {
		e.claimedBy = last
	}
	return last == nil || last.Nonce == e.nonce && last.Token == token
}

// append appends a record at the offset where the topic ends. It returns an ErrFormat or the errors
// of platform.Client.Append.
func (e *Elector) append(ctx context.Context, r record, limit time.Duration) error {
	if r.Kind == "claim" {
		r.Token = uint64(e.topicEnd) + 1
	}
	r.Name, r.Addr, r.Nonce, r.At = e.id.Name, e.id.Addr, e.nonce, e.clk.Wall().UnixMilli()
	data, err := json.Marshal(r)
	if err != nil {
		return platform.ErrFormat.Wrap(err)
	}
	call, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	_, end, err := e.client.Append(call, platform.Append{Topic: topic, Records: [][]byte{data}, At: e.topicEnd})
	if err != nil {
		return err
	}
	e.topicEnd = end
	return nil
}

// read reads the topic to its end. It returns the last record that can be decoded, or nil if there is
// no new one.
func (e *Elector) read(ctx context.Context) (*record, error) {
	e.tokenAtRead = e.Leader().Token
	rs, end, err := e.client.Read(ctx, topic, 0, e.topicEnd, 0, storeTimeout)
	if gone := (*platform.GoneError)(nil); errors.As(err, &gone) {
		rs, end, err = e.client.Read(ctx, topic, 0, gone.First, 0, storeTimeout)
		if err == nil && len(rs) == 0 {
			e.topicEnd = max(gone.First, end)
		}
	}
	if err != nil {
		return nil, err
	}
	if len(rs) == 0 {
		e.topicEnd = max(e.topicEnd, end)
		return nil, nil
	}
	e.topicEnd = rs[len(rs)-1].Offset + 1
	for _, r := range slices.Backward(rs) {
		last, err := decodeRecord(r)
		if err == nil {
			return &last, nil
		}
		e.log.Error().Err(err).Int64("offset", r.Offset).Msg("leader record can't be read; it is skipped")
	}
	return nil, nil
}

// decodeRecord decodes a record of the topic. A claim's token is one above its offset, which bounds
// the tokens of all records. It returns an ErrFormat.
func decodeRecord(r platform.Record) (record, error) {
	var out record
	if err := json.Unmarshal(r.Value, &out); err != nil {
		return record{}, platform.ErrFormat.Wrap(err)
	}
	end := uint64(r.Offset) + 1
	switch out.Kind {
	case "claim":
		if out.Token == end {
			return out, nil
		}
	case "renew", "resign":
		if out.Token > 0 && out.Token < end {
			return out, nil
		}
	}
	return record{}, platform.ErrFormat.New("%q with token %d at offset %d", out.Kind, out.Token, r.Offset)
}
