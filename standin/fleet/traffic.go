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

// maxKeyedAttempts is the largest number of times that a keyed call is sent.
const maxKeyedAttempts = 3

// Route is a target of the calls of Traffic.
type Route struct {
	Method, Prefix string
	// Keyed calls carry an Idempotency-Key and a body. Traffic repeats failed ones
	// with the same key, each time through an entry chosen at random.
	Keyed bool
}

// Traffic generates load: workers send calls until they are stopped.
type Traffic struct {
	// Name is the prefix of the id of each call. Keys and bodies contain the id, so
	// they are unique for this name.
	Name   string
	Routes []Route
	// Entries returns the nodes that are currently used as entries.
	Entries func() []*Node
	Workers int
	// Pause is the time that a worker waits between two calls.
	Pause time.Duration
	Seed  uint64
}

// Attempt is one attempt of a call and its result.
type Attempt struct {
	Call   Call
	Entry  *Node
	Begin  time.Time
	Took   time.Duration
	Result Result
	Err    error
}

// DialFailed reports whether the connection to the entry could not be opened.
func (r *Attempt) DialFailed() bool {
	var op *net.OpError
	return errors.As(r.Err, &op) && op.Op == "dial"
}

// String implements fmt.Stringer.
func (r *Attempt) String() string {
	s := fmt.Sprintf("%s %s %s through %s at %s after %v: ", r.Call.Method, r.Call.Path, r.Call.Key, r.Entry.Name,
		r.Begin.Format("15:04:05.000"), r.Took.Round(time.Millisecond))
	if r.Err != nil {
		return fmt.Sprintf("%s%v (connection idle for %v)", s, r.Err, r.Result.Idle)
	}
	return s + fmt.Sprintf("status %d, outcome %q, %.200s", r.Result.Status, r.Result.Outcome, r.Result.Body)
}

// Start starts the workers. The returned function stops them, waits for the calls in
// flight and returns all attempts, sorted by start time.
func (tr Traffic) Start(ctx context.Context) (stop func() []Attempt) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var attempts []Attempt
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
					attempts = append(attempts, r)
					mu.Unlock()
					if r.Call.Key == "" || r.Err == nil && r.Result.Status == http.StatusOK {
						break
					}
				}
			}
		})
	}
	return func() []Attempt {
		close(stopped)
		wg.Wait()
		slices.SortFunc(attempts, func(a, b Attempt) int { return a.Begin.Compare(b.Begin) })
		return attempts
	}
}

func (tr Traffic) nextCall(rnd *rand.Rand, id string) Attempt {
	route := pick(rnd, tr.Routes)
	call := Call{Method: route.Method, Path: route.Prefix + "?id=" + id}
	if route.Keyed {
		call.Key = id
		call.Body = []byte("body of " + id)
	}
	return Attempt{Call: call}
}

func pick[T any](rnd *rand.Rand, list []T) T { return list[rnd.IntN(len(list))] }

// CheckRuns compares the results at the callers with the runs at the instances. It
// returns an error for each keyed call that ran more than once, that ran although all
// of its attempts ended with notRun or a failed dial, or that was answered without a
// completed run, and for each call that received the answer to another call.
func CheckRuns(attempts []Attempt, runs upstream.Runs) (errs []error) {
	mayHaveRun := make(map[string]bool)
	for _, r := range attempts {
		if !r.DialFailed() && (r.Err != nil || r.Result.Outcome != request.NotRun) {
			mayHaveRun[r.Call.Key] = true
		}
	}
	for _, r := range attempts {
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
			errs = append(errs, fmt.Errorf("ran although all attempts ended with notRun or a failed dial: %v", &r))
		case r.Err == nil && r.Result.Status == http.StatusOK && run.Completed != 1:
			errs = append(errs, fmt.Errorf("answered without a completed run: %v", &r))
		}
	}
	return errs
}
