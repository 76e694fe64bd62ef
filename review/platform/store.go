package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeDelay is the time of an answer of the store.
const storeDelay = 4 * time.Millisecond

// store plays the platform's metadata store. It is never down, slow or restored.
type store struct {
	addr   string
	server http.Server

	mu     sync.Mutex
	topics map[string]*topic
}

type topic struct {
	records [][]byte
	// grown is closed and replaced when records are appended.
	grown chan struct{}
}

func startStore(ip string) (*store, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{addr: ln.Addr().String(), topics: make(map[string]*topic)}
	s.server.Handler = s
	go func() { _ = s.server.Serve(ln) }()
	return s, nil
}

func (s *store) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{grown: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// put appends the newest value of a key, as an operator does. It returns the time of the
// acknowledgement.
func (s *store) put(topicName, key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	content := append([]byte{byte(len(key))}, key...)
	s.append(topicName, [][]byte{append(content, value...)})
	return time.Now()
}

func (s *store) append(name string, list [][]byte) (offset, end int) {
	t := s.topic(name)
	offset = len(t.records)
	t.records = append(t.records, list...)
	close(t.grown)
	t.grown = make(chan struct{})
	return offset, len(t.records)
}

// value returns the newest value of a key.
func (s *store) value(name, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, rec := range slices.Backward(s.topic(name).records) {
		if k, v := splitKeyed(rec); k == key {
			return v
		}
	}
	return nil
}

func splitKeyed(rec []byte) (key string, value []byte) {
	if len(rec) == 0 || int(rec[0]) >= len(rec) {
		return "", nil
	}
	return string(rec[1 : 1+rec[0]]), rec[1+rec[0]:]
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(storeDelay)
	w.Header().Set("Store-Era", "1")
	q := r.URL.Query()
	name := q.Get("topic")
	switch r.Method + " " + r.URL.Path {
	case "POST /kingcuppitch/log-append":
		s.serveAppend(w, name, q.Get("asOf"), body)
	case "GET /kingcuppitch/log-read":
		from, _ := strconv.Atoi(q.Get("from"))
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		s.serveRead(w, r, name, from, time.Now().Add(time.Duration(wait)*time.Millisecond))
	case "GET /kingcuppitch/log-newest":
		s.serveNewest(w, name, q.Get("after"))
	default:
		http.NotFound(w, r)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, name, asOf string, body []byte) {
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	var list [][]byte
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if body = body[4:]; n > len(body) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		list = append(list, body[:n])
		body = body[n:]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	if end := len(s.topic(name).records); asOf != "" && asOf != strconv.Itoa(end) {
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]int{"end": end})
		return
	}
	offset, end := s.append(name, list)
	_ = json.NewEncoder(w).Encode(map[string]int{"offset": offset, "end": end})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, name string, from int, until time.Time) {
	for {
		s.mu.Lock()
		t := s.topic(name)
		grown, all := t.grown, t.records
		s.mu.Unlock()
		if from < 0 || from > len(all) {
			w.WriteHeader(http.StatusGone)
			_ = json.NewEncoder(w).Encode(map[string]int{"first": 0})
			return
		}
		if from < len(all) || !time.Now().Before(until) {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(all)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, rec := range all[from:] {
				out = binary.BigEndian.AppendUint32(out, uint32(len(rec)))
				out = append(out, rec...)
			}
			_, _ = w.Write(out)
			return
		}
		select {
		case <-grown:
		case <-time.After(time.Until(until)):
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveNewest(w http.ResponseWriter, name, after string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	records := s.topic(name).records
	s.mu.Unlock()
	newest := make(map[string]item)
	for i, rec := range records {
		key, value := splitKeyed(rec)
		delete(newest, key)
		if len(value) > 0 {
			newest[key] = item{key, base64.StdEncoding.EncodeToString(value), i}
		}
	}
	items := []item{}
	for _, it := range newest {
		if it.Key > after {
			items = append(items, it)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > 500
	if more {
		items = items[:500]
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "hasMore": more, "end": len(records)})
}
