// Package logservice is a stand-in for the platform's append-only log: an
// http.Handler with streams in memory, limited retention, a rate limit and
// faults that are set over HTTP while it runs.
//
// The protocol is that of connection/platform:
//
//	POST /streams/{stream}                          the body is one record
//	  201 {"offset":n}                              offsets start at 1 in each stream
//	  429                                           the rate limit is exceeded; not appended
//	  503                                           outage; not appended
//	GET /streams/{stream}?from=&max=&waitUntil=&era=  waitUntil in Unix milliseconds
//	  200 {"first":n,"next":n,"records":[{"offset":n,"at":"RFC3339","data":"base64"}]}
//	  410 {"first":n,"next":n,"records":[]}         records at from have expired, or the era is over
//	GET /faults, PUT /faults                        see Faults; a PUT replaces all faults
//	GET /stats                                      see Stats
//	POST /restore?lostMs=                           restores all streams from a copy of that age
//
// The era is 0 at first and rises with each restore, after which the offsets of lost
// records are given out again. The responses to appends and reads name it as "era" unless
// it is 0.
//
// An outage does not affect the paths /faults, /stats and /restore.
//
// # Usage
//
//	srv := &http.Server{Handler: logservice.NewService(logservice.WithRetention(10_000, time.Hour))}
//	err := srv.Serve(listener)
package logservice

import (
	"encoding/json"
	"errors"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Defaults of the service.
const (
	// DefaultRate is the limit on appends per second over all streams.
	DefaultRate = 300
	// DefaultRetainRecords is the maximum number of records that a stream retains.
	DefaultRetainRecords = 100_000
	// DefaultRetainFor is the maximum age of the records that a stream retains.
	DefaultRetainFor = 24 * time.Hour
)

const (
	// maxRecord is the maximum size of a record in bytes. It exceeds the 4 MiB of
	// record.MaxSize to leave room for batches of claims.
	maxRecord = 8 << 20
	// maxPageRecords and maxPageBytes limit one page. In Base64 a page of 32 MiB
	// takes about 43 MiB, which is below the 64 MiB that the adapter reads.
	maxPageRecords = 4096
	maxPageBytes   = 32 << 20
)

// Service is the log service.
type Service interface {
	http.Handler
	// SetFaults replaces the faults.
	SetFaults(f Faults)
	// Stats returns the counts since the service was created.
	Stats() Stats
	// Restore restores all streams from a copy of the given age.
	Restore(age time.Duration)
}

// Faults are the faults in force; the zero value means none.
type Faults struct {
	// Outage answers every request on streams with 503. No such request takes
	// effect.
	Outage bool `json:"outage"`
	// Hang leaves requests unanswered during an outage, instead of answering 503.
	Hang bool `json:"hang"`
	// LatencyMs delays every request on streams.
	LatencyMs int `json:"latencyMs"`
	// LoseAnswers is the share of appends that take effect but are not answered,
	// because the connection is closed.
	LoseAnswers Share `json:"loseAnswers"`
	// RetainRecords and RetainMs override the retention if above zero.
	RetainRecords int   `json:"retainRecords"`
	RetainMs      int64 `json:"retainMs"`
	// AppendsPerSecond overrides the rate limit if above zero.
	AppendsPerSecond float64 `json:"appendsPerSecond"`
}

// Share is a fraction from 0 to 1; JSON true stands for 1 and false for 0.
type Share float64

// UnmarshalJSON implements json.Unmarshaler.
func (s *Share) UnmarshalJSON(b []byte) error {
	var all bool
	if json.Unmarshal(b, &all) == nil {
		*s = 0
		if all {
			*s = 1
		}
		return nil
	}
	var f float64
	if err := json.Unmarshal(b, &f); err != nil {
		return err
	}
	if math.IsNaN(f) || f < 0 || f > 1 {
		return errors.New("share is not between 0 and 1")
	}
	*s = Share(f)
	return nil
}

// Stats counts requests on streams since the service was created.
type Stats struct {
	Appends       int64 `json:"appends"`
	AppendedBytes int64 `json:"appendedBytes"`
	Reads         int64 `json:"reads"`
	ReadRecords   int64 `json:"readRecords"`
	ReadBytes     int64 `json:"readBytes"`
	Limited       int64 `json:"limited"`
	Failed        int64 `json:"failed"`
	LostAnswers   int64 `json:"lostAnswers"`
	Expired       int64 `json:"expired"`
}

// Option sets an option of the service.
type Option func(*service)

// WithRate sets the limit on appends per second over all streams.
func WithRate(perSecond float64) Option {
	return func(s *service) { s.perSecond = perSecond }
}

// WithRetention sets how many records a stream retains, and for how long.
func WithRetention(records int, age time.Duration) Option {
	return func(s *service) { s.retainRecords, s.retainFor = records, age }
}

// WithSeed sets the seed for the random choice of lost answers.
func WithSeed(seed uint64) Option {
	return func(s *service) { s.rand = rand.New(rand.NewPCG(seed, seed)) }
}

type storedRecord struct {
	Offset int64     `json:"offset"`
	At     time.Time `json:"at"`
	Data   []byte    `json:"data"`
}

type page struct {
	Era     int64          `json:"era,omitempty"`
	First   int64          `json:"first"`
	Next    int64          `json:"next"`
	Records []storedRecord `json:"records"`
}

// stream holds the retained records; the offset of records[i] is first+i.
type stream struct {
	first   int64
	records []storedRecord
}

func (st *stream) next() int64 { return st.first + int64(len(st.records)) }

func (st *stream) expire(records int, oldest time.Time) {
	n := max(0, len(st.records)-records)
	for n < len(st.records) && st.records[n].At.Before(oldest) {
		n++
	}
	clear(st.records[:n])
	st.records = st.records[n:]
	st.first += int64(n)
}

type service struct {
	perSecond     float64
	retainRecords int
	retainFor     time.Duration
	mux           *http.ServeMux
	limiter       *rate.Limiter

	mu      sync.Mutex
	rand    *rand.Rand
	faults  Faults
	streams map[string]*stream
	// era counts the restores.
	era   int64
	stats Stats
	// changed is closed and replaced at each append and change of faults.
	changed chan struct{}
}

// NewService returns a service without records.
func NewService(opts ...Option) Service {
	s := &service{
		perSecond:     DefaultRate,
		retainRecords: DefaultRetainRecords,
		retainFor:     DefaultRetainFor,
		streams:       make(map[string]*stream),
		changed:       make(chan struct{}),
	}
	WithSeed(1)(s)
	for _, opt := range opts {
		opt(s)
	}
	s.limiter = rate.NewLimiter(rate.Limit(s.perSecond), burst(s.perSecond))
	s.mux = http.NewServeMux()
	s.mux.HandleFunc("POST /streams/{stream}", s.append)
	s.mux.HandleFunc("GET /streams/{stream}", s.read)
	s.mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		f := s.faults
		s.mu.Unlock()
		writeJSON(w, http.StatusOK, f)
	})
	s.mux.HandleFunc("PUT /faults", s.putFaults)
	s.mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Stats()) })
	s.mux.HandleFunc("POST /restore", func(w http.ResponseWriter, r *http.Request) {
		lost, err := queryInt(r, "lostMs", 0)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.Restore(time.Duration(lost) * time.Millisecond)
	})
	return s
}

// Restore implements Service.
func (s *service) Restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	copied := time.Now().Add(-age)
	for _, st := range s.streams {
		st.records = slices.DeleteFunc(st.records, func(r storedRecord) bool { return r.At.After(copied) })
	}
	s.notifyWaiters()
}

// ServeHTTP implements http.Handler.
func (s *service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults implements Service.
func (s *service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	perSecond := s.perSecond
	if f.AppendsPerSecond > 0 {
		perSecond = f.AppendsPerSecond
	}
	s.limiter.SetLimit(rate.Limit(perSecond))
	s.limiter.SetBurst(burst(perSecond))
	s.notifyWaiters()
}

// Stats implements Service.
func (s *service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// burst returns the number of appends in a tenth of a second. With this burst, the
// count over any second exceeds the limit by at most about 10 %.
func burst(perSecond float64) int { return max(1, int(perSecond/10)) }

// notifyWaiters wakes all waiting requests. The caller must hold mu.
func (s *service) notifyWaiters() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *service) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	dec := json.NewDecoder(io.LimitReader(r.Body, 1<<16))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

// applyFaults applies latency and outage to a request. It reports whether the
// request may proceed; if not, it has been answered or its client has gone.
func (s *service) applyFaults(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	latency := time.Duration(s.faults.LatencyMs) * time.Millisecond
	s.mu.Unlock()
	if latency > 0 {
		select {
		case <-time.After(latency):
		case <-r.Context().Done():
			return false
		}
	}
	for hung := false; ; hung = true {
		s.mu.Lock()
		f, changed := s.faults, s.changed
		if f.Outage && !f.Hang || hung && !f.Outage {
			s.stats.Failed++
		}
		s.mu.Unlock()
		switch {
		case hung && !f.Outage:
			// The client has usually timed out by now, so its request must not take
			// effect when the outage ends.
			http.Error(w, "the outage has ended; send the request again", http.StatusServiceUnavailable)
			return false
		case !f.Outage:
			return true
		case !f.Hang:
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return false
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return false
		}
	}
}

// openStream returns the stream with the given name after it has removed expired
// records. It creates the stream if needed. The caller must hold mu.
func (s *service) openStream(name string, now time.Time) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = &stream{first: 1}
		s.streams[name] = st
	}
	records, age := s.retainRecords, s.retainFor
	if s.faults.RetainRecords > 0 {
		records = s.faults.RetainRecords
	}
	if s.faults.RetainMs > 0 {
		age = time.Duration(s.faults.RetainMs) * time.Millisecond
	}
	st.expire(records, now.Add(-age))
	return st
}

func (s *service) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecord))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		}
		return
	}
	if !s.applyFaults(w, r) {
		return
	}
	if !s.limiter.Allow() {
		s.mu.Lock()
		s.stats.Limited++
		s.mu.Unlock()
		http.Error(w, "too many appends", http.StatusTooManyRequests)
		return
	}
	s.mu.Lock()
	now := time.Now().UTC()
	st := s.openStream(r.PathValue("stream"), now)
	offset := st.next()
	st.records = append(st.records, storedRecord{Offset: offset, At: now, Data: data})
	s.stats.Appends++
	s.stats.AppendedBytes += int64(len(data))
	era := s.era
	lost := s.faults.LoseAnswers > 0 && s.rand.Float64() < float64(s.faults.LoseAnswers)
	if lost {
		s.stats.LostAnswers++
	}
	s.notifyWaiters()
	s.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
	res := map[string]int64{"offset": offset}
	if era > 0 {
		res["era"] = era
	}
	writeJSON(w, http.StatusCreated, res)
}

func (s *service) read(w http.ResponseWriter, r *http.Request) {
	from, err := queryInt(r, "from", 1)
	if err == nil && from < 1 {
		err = errors.New("from is below 1")
	}
	limit, err1 := queryInt(r, "max", maxPageRecords)
	until, err2 := queryInt(r, "waitUntil", 0)
	era, err3 := queryInt(r, "era", 0)
	if err = errors.Join(err, err1, err2, err3); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.applyFaults(w, r) {
		return
	}
	end := time.NewTimer(time.Until(time.UnixMilli(until)))
	defer end.Stop()
	for waiting := true; ; {
		p, changed, outage := s.page(r.PathValue("stream"), from, min(limit, maxPageRecords), !waiting)
		switch {
		case outage:
			// An outage also interrupts reads that are already waiting.
			if !s.applyFaults(w, r) {
				return
			}
			continue
		case from < p.First || p.Era != era:
			p.Records = p.Records[:0]
			writeJSON(w, http.StatusGone, p)
			return
		case len(p.Records) > 0 || !waiting:
			writeJSON(w, http.StatusOK, p)
			return
		}
		select {
		case <-changed:
		case <-end.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// page returns the records from an offset, a channel that is closed at the next
// change, and whether there is an outage. An empty page counts as a read only if
// last is set.
func (s *service) page(name string, from, limit int64, last bool) (p page, changed <-chan struct{}, outage bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Outage {
		return page{}, s.changed, true
	}
	st := s.openStream(name, time.Now())
	p = page{Era: s.era, First: st.first, Next: st.next(), Records: []storedRecord{}}
	if from < p.First {
		s.stats.Expired++
		return p, s.changed, false
	}
	size := 0
	for i := from - p.First; i < int64(len(st.records)) && int64(len(p.Records)) < limit; i++ {
		e := st.records[i]
		if size += len(e.Data); size > maxPageBytes && len(p.Records) > 0 {
			break
		}
		p.Records = append(p.Records, e)
		s.stats.ReadBytes += int64(len(e.Data))
	}
	s.stats.ReadRecords += int64(len(p.Records))
	if len(p.Records) > 0 || last {
		s.stats.Reads++
	}
	return p, s.changed, false
}

func queryInt(r *http.Request, name string, fallback int64) (int64, error) {
	v := r.URL.Query().Get(name)
	if v == "" {
		return fallback, nil
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		return 0, errors.New(name + " is not a number")
	}
	return n, nil
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
