package fleet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/kingcuppitch/kingcuppitch/request"
	"github.com/kingcuppitch/kingcuppitch/standin/upstream"
)

// maxKeyedAttempts bounds how often a keyed call is sent.
const maxKeyedAttempts = 3

// Route is where traffic sends its calls.
type Route struct {
	Method, Prefix string
	// Keyed calls carry an Idempotency-Key and a body. Those that fail are
	// repeated through other entries with the same key.
	Keyed bool
}

// Traffic describes calls that workers send until they are stopped.
type Traffic struct {
	// Name starts the keys and bodies, which are unique within it.
	Name   string
	Routes []Route
	// Entries returns the nodes through which calls may go now.
	Entries func() []*Node
	Workers int
	// Pause is the time of a worker between two calls.
	Pause time.Duration
	Seed  uint64
}

// CallRecord is one call and what became of it.
type CallRecord struct {
	Call   Call
	Entry  *Node
	Begin  time.Time
	Took   time.Duration
	Result Result
	Err    error
}

// DialFailed reports whether the entry did not take the connection.
func (r *CallRecord) DialFailed() bool {
	var op *net.OpError
	return errors.As(r.Err, &op) && op.Op == "dial"
}

// String describes the record for a message.
func (r *CallRecord) String() string {
	s := fmt.Sprintf("%s %s %s through %s at %s after %v: ", r.Call.Method, r.Call.Path, r.Call.Key, r.Entry.Name,
		r.Begin.Format("15:04:05.000"), r.Took.Round(time.Millisecond))
	if r.Err != nil {
		return fmt.Sprintf("%s%v (connection idle for %v)", s, r.Err, r.Result.Idle)
	}
	return s + fmt.Sprintf("status %d, outcome %q, %.200s", r.Result.Status, r.Result.Outcome, r.Result.Body)
}

// Start starts the workers. The function that it returns stops them, waits for
// the calls in flight and returns all records in the order of their begin.
func (tr Traffic) Start(ctx context.Context) (stop func() []CallRecord) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var records []CallRecord
	stopped := make(chan struct{})
	for w := range tr.Workers {
		wg.Go(func() {
			caller := NewCaller()
			defer caller.Close()
			rnd := rand.New(rand.NewPCG(tr.Seed, uint64(w))) //nolint:gosec // w is not negative
			for i := 0; ; i++ {
				select {
				case <-stopped:
					return
				case <-time.After(tr.Pause):
				}
				r := tr.nextCall(rnd, fmt.Sprintf("%s-%d-%d", tr.Name, w, i))
				for range maxKeyedAttempts {
					r.Entry = pick(rnd, tr.Entries())
					r.Begin = time.Now()
					r.Result, r.Err = caller.Do(ctx, r.Entry.Settings.CallerAddress, r.Call)
					r.Took = time.Since(r.Begin)
					mu.Lock()
					records = append(records, r)
					mu.Unlock()
					if r.Call.Key == "" || r.Err == nil && r.Result.Status == http.StatusOK {
						break
					}
				}
			}
		})
	}
	return func() []CallRecord {
		close(stopped)
		wg.Wait()
		slices.SortFunc(records, func(a, b CallRecord) int { return a.Begin.Compare(b.Begin) })
		return records
	}
}

func (tr Traffic) nextCall(rnd *rand.Rand, id string) CallRecord {
	route := pick(rnd, tr.Routes)
	call := Call{Method: route.Method, Path: route.Prefix + "?id=" + id}
	if route.Keyed {
		call.Key = id
		call.Body = []byte("body of " + id)
	}
	return CallRecord{Call: call}
}

func pick[T any](rnd *rand.Rand, list []T) T { return list[rnd.IntN(len(list))] }

// CheckRuns compares what callers were told with what the instances ran. It
// returns an error for each keyed call that ran more than once, that ran
// although all of its attempts were told notRun, or that was answered without a
// run, and for each call that received the answer to another.
func CheckRuns(records []CallRecord, runs upstream.Runs) (errs []error) {
	mayHaveRun := make(map[string]bool)
	for _, r := range records {
		if !r.DialFailed() && (r.Err != nil || r.Result.Outcome != request.NotRun) {
			mayHaveRun[r.Call.Key] = true
		}
	}
	for _, r := range records {
		var mismatch *MismatchError
		if errors.As(r.Err, &mismatch) {
			errs = append(errs, mismatch)
		}
		if r.Call.Key == "" {
			continue
		}
		run := runs.Keys[r.Call.Key]
		body := runs.Bodies[upstream.Hash(r.Call.Body)]
		switch {
		case run.Started > 1 || body.Started > 1:
			errs = append(errs, fmt.Errorf("ran %d times by key and %d by body: %v", run.Started, body.Started, &r))
		case !mayHaveRun[r.Call.Key] && run.Started > 0:
			errs = append(errs, fmt.Errorf("ran in spite of notRun: %v", &r))
		case r.Err == nil && r.Result.Status == http.StatusOK && run.Completed != 1:
			errs = append(errs, fmt.Errorf("answered without a run: %v", &r))
		}
	}
	return errs
}
