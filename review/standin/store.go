package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const storeDelay = 4 * time.Millisecond // of each answer

// storedRecord is a record of a topic. The key is empty in topics that are not keyed.
type storedRecord struct {
	offset uint64
	key    string
	value  []byte
	raw    []byte
}

// store is a stand-in for the platform's metadata store with the calls that the node makes. Topics
// have one partition and keep all records.
type store struct {
	mu      sync.Mutex
	topics  map[string][]storedRecord
	changed chan struct{} // closed by the next append
	rec     *recorder
}

func newStore(rec *recorder) *store {
	return &store{topics: make(map[string][]storedRecord), changed: make(chan struct{}), rec: rec}
}

// serve answers calls on an address until the process ends.
func (s *store) serve(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.handleAppend)
	mux.HandleFunc("GET /log-read", s.handleRead)
	mux.HandleFunc("GET /log-newest", s.handleNewest)
	go func() { _ = http.Serve(l, mux) }()
	return nil
}

// append adds a record and returns its offset.
func (s *store) append(topic, key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.add(topic, append(append([]byte{byte(len(key))}, key...), value...))
}

// add adds a raw record. The caller holds s.mu.
func (s *store) add(topic string, raw []byte) uint64 {
	r := storedRecord{offset: uint64(len(s.topics[topic])), raw: raw}
	if strings.HasPrefix(topic, "keyed.") && len(raw) > int(raw[0]) {
		r.key, r.value = string(raw[1:1+raw[0]]), raw[1+raw[0]:]
	}
	s.topics[topic] = append(s.topics[topic], r)
	if topic == "keyed.status" {
		s.rec.event("status", r.key, string(r.value))
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return r.offset
}

// put writes an operator's record and returns the time of the acknowledgement.
func (s *store) put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.append("keyed.op", key, data)
	now := time.Now()
	s.rec.event("operator", key, string(data))
	return now
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	topic := r.URL.Query().Get("topic")
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	end := uint64(len(s.topics[topic]))
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.FormatUint(end, 10) {
		reply(w, http.StatusPreconditionFailed, map[string]uint64{"end": end})
		return
	}
	first := end
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		s.add(topic, append([]byte(nil), body[4:4+size]...))
		body = body[4+size:]
	}
	reply(w, http.StatusOK, map[string]uint64{"offset": first, "end": uint64(len(s.topics[topic]))})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	from, _ := strconv.ParseUint(q.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		records, changed := s.topics[q.Get("topic")], s.changed
		s.mu.Unlock()
		if uint64(len(records)) > from || wait == 0 {
			writeRecords(w, records, from)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func writeRecords(w io.Writer, records []storedRecord, from uint64) {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, r := range records[min(from, uint64(len(records))):] {
		out = binary.BigEndian.AppendUint32(out, uint32(len(r.raw)))
		out = append(out, r.raw...)
	}
	_, _ = w.Write(out)
}

func (s *store) handleNewest(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset uint64 `json:"offset"`
	}
	s.mu.Lock()
	records := s.topics[r.URL.Query().Get("topic")]
	s.mu.Unlock()
	newest := make(map[string]storedRecord)
	for _, rec := range records {
		newest[rec.key] = rec
		if len(rec.value) == 0 {
			delete(newest, rec.key)
		}
	}
	items := []item{}
	for _, rec := range newest {
		items = append(items, item{rec.key, base64.StdEncoding.EncodeToString(rec.value), rec.offset})
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	reply(w, http.StatusOK, map[string]any{"items": items, "more": false, "end": len(records)})
}
