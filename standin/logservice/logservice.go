// Package logservice is a stand-in for the platform's append-only log: an
// http.Handler with streams in memory, limited retention, a rate limit and
// faults that are switched over HTTP while it runs.
//
// The protocol is that of connection/platform:
//
//	POST /streams/{stream}                          the body is one record
//	  201 {"offset":n}                              offsets start at 1 in each stream
//	  429                                           the rate limit is exceeded; not appended
//	  503                                           outage; not appended
//	GET /streams/{stream}?from=&max=&waitUntil=     waitUntil in Unix milliseconds
//	  200 {"first":n,"next":n,"records":[{"offset":n,"at":"RFC3339","data":"base64"}]}
//	  410 {"first":n,"next":n,"records":[]}         records at from have expired
//	GET /faults, PUT /faults                        see Faults; a PUT replaces all faults
//	GET /stats                                      see Stats
//
// An outage does not affect /faults and /stats.
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
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Defaults of the service.
const (
	// DefaultRate is the number of appends per second over all streams.
	DefaultRate = 300
	// DefaultRetainRecords is the number of records that a stream retains.
	DefaultRetainRecords = 100_000
	// DefaultRetainFor is the age up to which a stream retains records.
	DefaultRetainFor = 24 * time.Hour
)

const (
	// maxRecord is the largest record in bytes; it leaves room beyond the
	// 4 MiB of record.MaxSize for batches of claims.
	maxRecord = 8 << 20
	// maxPageRecords and maxPageBytes bound one page. Base64 makes a page of
	// 32 MiB about 43 MiB, which is below the 64 MiB that the adapter reads.
	maxPageRecords = 4096
	maxPageBytes   = 32 << 20
)

// Service is the log service.
type Service interface {
	http.Handler
	// SetFaults replaces the faults.
	SetFaults(f Faults)
	// Stats returns the counts since the start.
	Stats() Stats
}

// Faults are the faults in force; the zero value means none.
type Faults struct {
	// Outage fails every request on streams with 503; none takes effect.
	Outage bool `json:"outage"`
	// Hang leaves requests unanswered in an outage instead of a 503.
	Hang bool `json:"hang"`
	// LatencyMs delays every request on streams.
	LatencyMs int `json:"latencyMs"`
	// LoseAnswers is the share of appends that take effect and are not
	// answered: the connection is cut.
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

// Stats counts requests on streams since the start.
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

// WithRate sets the limit of appends per second over all streams.
func WithRate(perSecond float64) Option {
	return func(s *service) { s.perSecond = perSecond }
}

// WithRetention sets how many records a stream retains, and for how long.
func WithRetention(records int, age time.Duration) Option {
	return func(s *service) { s.retainRecords, s.retainFor = records, age }
}

// WithSeed sets the seed of the choice of lost answers.
func WithSeed(seed uint64) Option {
	return func(s *service) { s.rand = rand.New(rand.NewPCG(seed, seed)) }
}

type entry struct {
	Offset int64     `json:"offset"`
	At     time.Time `json:"at"`
	Data   []byte    `json:"data"`
}

type page struct {
	First   int64   `json:"first"`
	Next    int64   `json:"next"`
	Records []entry `json:"records"`
}

// stream holds the retained records; the offset of records[i] is first+i.
type stream struct {
	first   int64
	records []entry
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
	stats   Stats
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
		answer(w, http.StatusOK, f)
	})
	s.mux.HandleFunc("PUT /faults", s.putFaults)
	s.mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusOK, s.Stats()) })
	return s
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
	s.wake()
}

// Stats implements Service.
func (s *service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// burst allows for a tenth of a second, so that the count over any second
// stays within about 10 % of the limit.
func burst(perSecond float64) int { return max(1, int(perSecond/10)) }

// wake releases all waiting reads; the caller holds mu.
func (s *service) wake() {
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

// delay applies latency and outage; it reports whether the request goes on.
func (s *service) delay(w http.ResponseWriter, r *http.Request) bool {
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
			// The client has usually given up by now. Its request must not take
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

// open returns a stream without its expired records; the caller holds mu.
func (s *service) open(name string, now time.Time) *stream {
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
	if !s.delay(w, r) {
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
	st := s.open(r.PathValue("stream"), now)
	offset := st.next()
	st.records = append(st.records, entry{Offset: offset, At: now, Data: data})
	s.stats.Appends++
	s.stats.AppendedBytes += int64(len(data))
	lost := s.faults.LoseAnswers > 0 && s.rand.Float64() < float64(s.faults.LoseAnswers)
	if lost {
		s.stats.LostAnswers++
	}
	s.wake()
	s.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
	answer(w, http.StatusCreated, map[string]int64{"offset": offset})
}

func (s *service) read(w http.ResponseWriter, r *http.Request) {
	from, err := number(r, "from", 1)
	if err == nil && from < 1 {
		err = errors.New("from is below 1")
	}
	limit, err1 := number(r, "max", maxPageRecords)
	until, err2 := number(r, "waitUntil", 0)
	if err = errors.Join(err, err1, err2); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.delay(w, r) {
		return
	}
	end := time.NewTimer(time.Until(time.UnixMilli(until)))
	defer end.Stop()
	for waiting := true; ; {
		p, changed, outage := s.page(r.PathValue("stream"), from, min(limit, maxPageRecords), !waiting)
		switch {
		case outage:
			// An outage also ends the reads that wait.
			if !s.delay(w, r) {
				return
			}
			continue
		case from < p.First:
			answer(w, http.StatusGone, p)
			return
		case len(p.Records) > 0 || !waiting:
			answer(w, http.StatusOK, p)
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

// page returns the records from an offset, the channel that announces the next
// change, and whether there is an outage. An empty page counts as a read only
// if last is set.
func (s *service) page(name string, from, limit int64, last bool) (p page, changed <-chan struct{}, outage bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Outage {
		return page{}, s.changed, true
	}
	st := s.open(name, time.Now())
	p = page{First: st.first, Next: st.next(), Records: []entry{}}
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

func number(r *http.Request, name string, absent int64) (int64, error) {
	v := r.URL.Query().Get(name)
	if v == "" {
		return absent, nil
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		return 0, errors.New(name + " is not a number")
	}
	return n, nil
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
