package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in for the platform's metadata store: a log with topics of one partition. Topics
// whose names begin with "keyed." also return the newest record of each key.
type Store struct {
	Address string

	mu      sync.Mutex
	topics  map[string][][]byte
	changed chan struct{}
}

// StartStore serves a store on a free port of a loopback address.
func StartStore(ip string) (*Store, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &Store{Address: l.Addr().String(), topics: make(map[string][][]byte), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.append)
	mux.HandleFunc("GET /log-read", s.read)
	mux.HandleFunc("GET /log-newest", s.newest)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

// Put appends a keyed record as the operator does, and returns its offset.
func (s *Store) Put(topic, key string, value []byte) int {
	record := append([]byte{byte(len(key))}, key...)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.add(topic, [][]byte{append(record, value...)})
}

// add appends records and wakes the readers. The caller holds s.mu.
func (s *Store) add(topic string, records [][]byte) int {
	offset := len(s.topics[topic])
	s.topics[topic] = append(s.topics[topic], records...)
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	topic := r.URL.Query().Get("topic")
	if topic == "keyed.op" || topic == "keyed.servers" {
		reply(w, http.StatusForbidden, map[string]any{})
		return
	}
	var records [][]byte
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 {
			reply(w, http.StatusBadRequest, map[string]any{})
			return
		}
		records = append(records, append([]byte(nil), body[4:4+n]...))
		body = body[4+n:]
	}
	time.Sleep(2 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	end := len(s.topics[topic])
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(end) {
		reply(w, http.StatusPreconditionFailed, map[string]any{"end": end})
		return
	}
	s.add(topic, records)
	reply(w, http.StatusOK, map[string]any{"offset": end, "end": end + len(records)})
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	topic := q.Get("topic")
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		records, changed := s.topics[topic], s.changed
		s.mu.Unlock()
		if from < len(records) {
			s.sendRecords(w, records, from)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			s.sendRecords(w, records, len(records))
			return
		case <-r.Context().Done():
			return
		}
	}
}

const maxRead = 1 << 20

func (s *Store) sendRecords(w http.ResponseWriter, records [][]byte, from int) {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, r := range records[min(from, len(records)):] {
		if len(out) > 16 && len(out)+len(r) > maxRead {
			break
		}
		out = binary.BigEndian.AppendUint32(out, uint32(len(r)))
		out = append(out, r...)
	}
	_, _ = w.Write(out)
}

func (s *Store) newest(w http.ResponseWriter, r *http.Request) {
	topic, after := r.URL.Query().Get("topic"), r.URL.Query().Get("after")
	s.mu.Lock()
	records := s.topics[topic]
	s.mu.Unlock()
	newest := make(map[string]int)
	for i, r := range records {
		key := string(r[1 : 1+int(r[0])])
		newest[key] = i
		if len(r) == 1+len(key) {
			delete(newest, key)
		}
	}
	keys := make([]string, 0, len(newest))
	for key := range newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > 500
	keys = keys[:min(len(keys), 500)]
	items := []map[string]any{}
	for _, key := range keys {
		value := records[newest[key]][1+len(key):]
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(value), "offset": newest[key]})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "more": more, "end": len(records)})
}

// Route is a route of a configuration.
type Route struct {
	Name        string         `json:"name"`
	Host        string         `json:"host"`
	PathPrefix  string         `json:"pathPrefix"`
	Kind        string         `json:"kind"`
	TimeoutMS   int            `json:"timeoutMs"`
	AimMS       int            `json:"aimMs"`
	Priority    int            `json:"priority"`
	Service     string         `json:"service,omitempty"`
	Split       []RouteService `json:"weightedServices,omitempty"`
	MaxAttempts int            `json:"maxAttempts"`
}

// RouteService is a part of a route that several services share.
type RouteService struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// PutConfig writes a configuration as the operator does.
func (s *Store) PutConfig(version int, services []string, routes []Route) {
	list := []map[string]any{}
	for _, name := range services {
		list = append(list, map[string]any{"name": name, "healthPath": "/health", "maxConnections": 130, "protocol": "h1", "tls": false})
	}
	data, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err)
	}
	s.Put("keyed.op", "config", data)
}

// Status returns the newest record of a key of the status topic, empty for none.
func (s *Store) Status(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.topics["keyed.status"]
	for i := len(records) - 1; i >= 0; i-- {
		if rest, ok := strings.CutPrefix(string(records[i][1:]), key); ok && int(records[i][0]) == len(key) {
			return rest
		}
	}
	return ""
}

// String describes the store for the record.
func (s *Store) String() string { return fmt.Sprintf("store at %s", s.Address) }
