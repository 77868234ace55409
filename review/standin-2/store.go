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

// store is a stand-in for the platform's metadata store: keyed topics with the calls that nodes
// make, as PROTOCOL.md describes them.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
	grown  chan struct{} // closed and replaced with each append
}

type topic struct {
	records [][]byte // key length, key, value
}

func newStore() *store {
	return &store{topics: make(map[string]*topic), grown: make(chan struct{})}
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{}
		s.topics[name] = t
	}
	return t
}

// put appends a record on behalf of the operator.
func (s *store) put(name, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	record := append([]byte{byte(len(key))}, key...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(name, [][]byte{append(record, data...)})
}

func (s *store) add(name string, records [][]byte) {
	t := s.topic(name)
	t.records = append(t.records, records...)
	close(s.grown)
	s.grown = make(chan struct{})
}

// newest returns the value of the newest record of a key, nil for none.
func (s *store) newest(name, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.topic(name).records
	for i := len(records) - 1; i >= 0; i-- {
		if k, v := split(records[i]); k == key {
			return v
		}
	}
	return nil
}

func split(record []byte) (string, []byte) {
	n := int(record[0])
	return string(record[1 : 1+n]), record[1+n:]
}

func (s *store) serve(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.append)
	mux.HandleFunc("GET /log-read", s.read)
	mux.HandleFunc("GET /log-newest", s.listNewest)
	_ = http.Serve(l, mux)
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("topic")
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records [][]byte
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		if size < 1 || len(body) < 4+size {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		records = append(records, body[4:4+size])
		body = body[4+size:]
	}
	time.Sleep(2 * time.Millisecond) // appendMs
	s.mu.Lock()
	defer s.mu.Unlock()
	end := len(s.topic(name).records)
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(end) {
		answer(w, http.StatusPreconditionFailed, map[string]int{"end": end})
		return
	}
	s.add(name, records)
	answer(w, http.StatusOK, map[string]int{"offset": end, "end": end + len(records)})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	waitMs, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(min(waitMs, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		records, grown := s.topic(q.Get("topic")).records, s.grown
		s.mu.Unlock()
		if from < len(records) || waitMs == 0 {
			writeRecords(w, records, from)
			return
		}
		select {
		case <-grown:
		case <-timeout:
			waitMs = 0
		case <-r.Context().Done():
			return
		}
	}
}

func writeRecords(w http.ResponseWriter, records [][]byte, from int) {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for i := from; i < len(records); i++ {
		out = binary.BigEndian.AppendUint32(out, uint32(len(records[i])))
		out = append(out, records[i]...)
	}
	_, _ = w.Write(out)
}

func (s *store) listNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	records := s.topic(r.URL.Query().Get("topic")).records
	s.mu.Unlock()
	newest := make(map[string]item)
	for i, record := range records {
		key, value := split(record)
		newest[key] = item{key, base64.StdEncoding.EncodeToString(value), i}
	}
	items := make([]item, 0, len(newest))
	for _, it := range newest {
		if it.Key > r.URL.Query().Get("after") {
			items = append(items, it)
		}
	}
	sort.Slice(items, func(i, j int) bool { return strings.Compare(items[i].Key, items[j].Key) < 0 })
	answer(w, http.StatusOK, map[string]any{"items": items, "more": false, "end": len(records)})
}
