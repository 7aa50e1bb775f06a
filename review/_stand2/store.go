package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, from the settings in DEPLOY.md.
const (
	recordBytes  = 262144
	requestBytes = 2097152
	appendTime   = 4 * time.Millisecond
	maxQueue     = 2 * time.Second
)

type producer struct {
	epoch  uint64
	seq    int64
	recent map[int64][2]int64
}

type newestRecord struct {
	value  []byte
	offset int64
}

type partition struct {
	first     int64
	records   [][]byte
	producers map[string]*producer
	newest    map[string]newestRecord
	freeAt    time.Time // when the appends that wait are done
}

func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

// store is a stand-in of the platform's metadata store: logs, and topics with keys.
type store struct {
	mu    sync.Mutex
	parts map[string]*partition
	grown chan struct{}
	// busy makes the store answer each call with 503, which means that nothing was done.
	busy bool
	// tooLarge counts the appends that were refused for a record above record_bytes.
	tooLarge int
	largest  int
	appends  int
}

func newStore() *store { return &store{parts: map[string]*partition{}, grown: make(chan struct{})} }

func (s *store) part(topic, n string) *partition {
	key := topic + "/" + n
	p := s.parts[key]
	if p == nil {
		p = &partition{producers: map[string]*producer{}, newest: map[string]newestRecord{}}
		s.parts[key] = p
	}
	return p
}

func (p *partition) add(rec []byte, keyed bool) {
	p.records = append(p.records, rec)
	if !keyed || len(rec) == 0 || int(rec[0])+1 > len(rec) {
		return
	}
	n := 1 + int(rec[0])
	key, value := string(rec[1:n]), rec[n:]
	if len(value) == 0 {
		delete(p.newest, key)
		return
	}
	p.newest[key] = newestRecord{value, p.end() - 1}
}

func isKeyed(topic string) bool { return strings.HasPrefix(topic, "keyed.") }

// put appends a keyed record, as operators and executors do.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rec := append([]byte{byte(len(key))}, key...)
	s.part(topic, "0").add(append(rec, value...), true)
	s.wake()
}

func (s *store) wake() {
	close(s.grown)
	s.grown = make(chan struct{})
}

func (s *store) setBusy(b bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = b
}

// expire deletes all records of a topic; the newest of each key is retained. Offsets go on.
func (s *store) expire(topic, part string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(topic, part)
	p.first += int64(len(p.records))
	p.records = nil
}

// startAt makes an empty partition begin at an offset: its earlier records have expired.
func (s *store) startAt(topic, part string, offset int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.part(topic, part).first = offset
}

func (s *store) endOf(topic, part string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.part(topic, part).end()
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

type obj = map[string]any

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	busy := s.busy
	s.mu.Unlock()
	if busy {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "POST /chervilgauge/log-append":
		s.append(w, r)
	case "GET /chervilgauge/log-read":
		s.read(w, r)
	case "GET /chervilgauge/log-newest":
		s.list(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.URL.Query()
	topic := q.Get("topic")
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	var records [][]byte
	for rest := body; len(rest) > 0; {
		if len(rest) < 4 || int64(binary.BigEndian.Uint32(rest)) > int64(len(rest)-4) {
			answer(w, http.StatusBadRequest, obj{"reason": "format"})
			return
		}
		n := int(binary.BigEndian.Uint32(rest))
		records = append(records, rest[4:4+n])
		rest = rest[4+n:]
	}
	s.mu.Lock()
	for _, rec := range records {
		s.largest = max(s.largest, len(rec))
	}
	for _, rec := range records {
		if len(rec) > recordBytes || len(body) > requestBytes {
			s.tooLarge++
			s.mu.Unlock()
			answer(w, http.StatusBadRequest, obj{"reason": "size"})
			return
		}
	}
	// A partition processes its appends one at a time.
	p := s.part(topic, q.Get("part"))
	now := time.Now()
	if p.freeAt.Before(now) {
		p.freeAt = now
	}
	if p.freeAt.Sub(now) > maxQueue {
		s.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	p.freeAt = p.freeAt.Add(appendTime)
	at := p.freeAt
	s.mu.Unlock()
	time.Sleep(time.Until(at))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appends++
	if q.Has("at") && q.Get("at") != strconv.FormatInt(p.end(), 10) {
		answer(w, http.StatusPreconditionFailed, obj{"end_offset": p.end()})
		return
	}
	var pr *producer
	var seq int64
	if name := q.Get("producer"); name != "" {
		if pr = p.producers[name]; pr == nil {
			pr = &producer{recent: map[int64][2]int64{}}
			p.producers[name] = pr
		}
		epoch, _ := strconv.ParseUint(q.Get("epoch"), 10, 64)
		seq, _ = strconv.ParseInt(q.Get("seq"), 10, 64)
		switch {
		case epoch < pr.epoch:
			answer(w, http.StatusConflict, obj{"reason": "fenced"})
			return
		case epoch > pr.epoch:
			pr.epoch, pr.seq, pr.recent = epoch, seq-1, map[int64][2]int64{}
		}
		if old, ok := pr.recent[seq]; ok && len(records) > 0 {
			answer(w, http.StatusOK, obj{"offset": old[0], "end_offset": old[1]})
			return
		}
		if len(records) > 0 && seq != pr.seq+1 {
			answer(w, http.StatusConflict, obj{"reason": "seq", "expected": pr.seq + 1})
			return
		}
	}
	first := p.end()
	for _, rec := range records {
		p.add(rec, isKeyed(topic))
	}
	if pr != nil && len(records) > 0 {
		pr.seq = seq
		pr.recent[seq] = [2]int64{first, p.end()}
		delete(pr.recent, seq-5)
	}
	s.wake()
	answer(w, http.StatusOK, obj{"offset": first, "end_offset": p.end()})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	until := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		p, grown := s.part(q.Get("topic"), q.Get("part")), s.grown
		switch {
		case from < p.first:
			first := p.first
			s.mu.Unlock()
			answer(w, http.StatusGone, obj{"first": first})
			return
		case from < p.end() || wait == 0:
			out := binary.BigEndian.AppendUint64(nil, uint64(p.end()))
			out = binary.BigEndian.AppendUint64(out, uint64(p.first))
			for i := from; i < p.end() && len(out) < 1<<20; i++ {
				rec := p.records[i-p.first]
				out = binary.BigEndian.AppendUint32(out, uint32(len(rec)))
				out = append(out, rec...)
			}
			s.mu.Unlock()
			_, _ = w.Write(out)
			return
		}
		s.mu.Unlock()
		select {
		case <-grown:
		case <-until:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	p := s.part(q.Get("topic"), q.Get("part"))
	var keys []string
	for k := range p.newest {
		if k > q.Get("after") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items, size, more := []obj{}, 0, false
	for _, k := range keys {
		if len(items) == 500 || size > 1<<20 {
			more = true
			break
		}
		items = append(items, obj{"key": k, "value": p.newest[k].value, "offset": p.newest[k].offset})
		size += len(p.newest[k].value)
	}
	out := obj{"items": items, "has_more": more, "end_offset": p.end()}
	s.mu.Unlock()
	answer(w, http.StatusOK, out)
}
