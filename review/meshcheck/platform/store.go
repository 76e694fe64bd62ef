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
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store. It serves the calls that the
// daemons make: append with a condition, read with a wait, and the newest of each key.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
	down   bool
	ln     net.Listener
}

type topic struct {
	records [][]byte
	changed chan struct{}
}

func newStore() (*store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{topics: make(map[string]*topic), ln: ln}
	go func() { _ = http.Serve(ln, s) }()
	return s, nil
}

func (s *store) addr() string { return s.ln.Addr().String() }

// setDown makes the store answer 503, or serve again.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *store) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// write appends the record of a key, as the operator does. A nil value removes the key.
func (s *store) write(name, key string, value any) {
	rec := append([]byte{byte(len(key))}, key...)
	if value != nil {
		data, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		rec = append(rec, data...)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(name, rec)
}

func (s *store) append(name string, records ...[]byte) {
	t := s.topic(name)
	t.records = append(t.records, records...)
	close(t.changed)
	t.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	w.Header().Set("Store-Era", "1")
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "POST /kingcuppitch/log-append":
		s.serveAppend(w, r)
	case "GET /kingcuppitch/log-read":
		from, _ := strconv.Atoi(q.Get("from"))
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		s.serveRead(w, r, q.Get("topic"), from, time.Now().Add(time.Duration(wait)*time.Millisecond))
	case "GET /kingcuppitch/log-newest":
		s.serveNewest(w, q.Get("topic"))
	default:
		http.NotFound(w, r)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	name := r.URL.Query().Get("topic")
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	var records [][]byte
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		records = append(records, body[4:4+n])
		body = body[4+n:]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	end := len(s.topic(name).records)
	if asOf := r.URL.Query().Get("asOf"); asOf != "" && asOf != strconv.Itoa(end) {
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]int{"end": end})
		return
	}
	s.append(name, records...)
	_ = json.NewEncoder(w).Encode(map[string]int{"offset": end, "end": end + len(records)})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, name string, from int, until time.Time) {
	for {
		s.mu.Lock()
		t := s.topic(name)
		all, changed := t.records, t.changed
		s.mu.Unlock()
		if from > len(all) {
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
		case <-changed:
		case <-time.After(time.Until(until)):
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveNewest(w http.ResponseWriter, name string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := make(map[string]item)
	records := s.topic(name).records
	for i, rec := range records {
		key, value := string(rec[1:1+rec[0]]), rec[1+int(rec[0]):]
		if len(value) == 0 {
			delete(newest, key)
			continue
		}
		newest[key] = item{key, base64.StdEncoding.EncodeToString(value), i}
	}
	items := make([]item, 0, len(newest))
	for _, it := range newest {
		items = append(items, it)
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "hasMore": false, "end": len(records)})
}
