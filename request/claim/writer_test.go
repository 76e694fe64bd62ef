package claim

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against losing the answer of a run, and against granting a key twice.
func TestWriterGrantsOnceAndReplays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		w := NewWriter(&link{fakeLog: new(fakeLog), delay: time.Millisecond}, 3)
		defer func() { _ = w.Close(context.Background()) }()
		g, err := w.Claim(ctx, "k", "a")
		if err != nil || g.Result != Granted || g.RunBy.IsZero() {
			t.Fatalf("got %v, %v, want granted with RunBy", g, err)
		}
		if again, _ := w.Claim(ctx, "k", "a"); again.RunBy != g.RunBy {
			t.Errorf("the same claim got %v, want the same grant %v", again, g)
		}
		if g, _ := w.Claim(ctx, "k", "b"); g.Result != Taken {
			t.Errorf("got %v, want taken", g)
		}
		if err := w.Release(ctx, "k", "a"); err != nil {
			t.Fatal(err)
		}
		if g, _ := w.Claim(ctx, "k", "c"); g.Result != Granted {
			t.Errorf("after a release: got %v, want granted", g)
		}
		if err := w.Finish(ctx, "k", "a", Stored{Status: 200}); !errors.Is(err, ErrNotHolder) {
			t.Errorf("finish of a released claim: got %v, want ErrNotHolder", err)
		}
		if err := w.Finish(ctx, "k", "c", Stored{Status: 201, Body: make([]byte, MaxBody+1)}); err != nil {
			t.Fatal(err)
		}
		g, err = w.Claim(ctx, "k", "d")
		if err != nil || g.Result != Done || g.Stored.Status != 201 || !g.Stored.Truncated || g.Stored.Body != nil {
			t.Errorf("got %v, %v, want done with a truncated answer", g, err)
		}
	})
}

// Guards against a key that is free before its lifetime ends because its records
// have expired, and against a new writer that cannot grant because no writer
// carried the keys.
func TestCarryOutlivesRetention(t *testing.T) {
	for name, test := range map[string]struct {
		log    *fakeLog
		opt    Option
		claims int // of other keys, so that the log expires its records many times
	}{
		"byAge":     {&fakeLog{retainAge: 10 * time.Second}, WithRetention(10*time.Second, 1<<20), 0},
		"byRecords": {&fakeLog{retainRecords: 32}, WithRetention(time.Hour, 32), 500},
		// The log retains less than the settings of the writer assume.
		"seen": {&fakeLog{retainRecords: 32}, WithRetention(time.Hour, 1<<20), 500},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx := t.Context()
				l := &link{fakeLog: test.log, delay: time.Millisecond}
				w := NewWriter(l, 0, test.opt, WithLifetime(time.Hour))
				for _, key := range []string{"done", "taken"} {
					if _, err := w.Claim(ctx, key, key); err != nil {
						t.Fatal(err)
					}
				}
				if err := w.Finish(ctx, "done", "done", Stored{Status: 200, Body: []byte("body")}); err != nil {
					t.Fatal(err)
				}
				for i := range test.claims {
					id := fmt.Sprint(i)
					if g, err := w.Claim(ctx, id, id); err != nil || g.Result != Granted {
						t.Fatalf("claim %d: got %v, %v, want granted", i, g, err)
					}
					if err := w.Release(ctx, id, id); err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(5 * time.Minute)
				if err := w.Close(ctx); err != nil {
					t.Fatal(err)
				}
				if first := test.log.first; first < 10 {
					t.Fatalf("oldest record is %d, want many to have expired", first)
				}
				w = NewWriter(l, 0, test.opt, WithLifetime(time.Hour))
				defer func() { _ = w.Close(ctx) }()
				for key, want := range map[string]Result{"done": Done, "taken": Taken, "new": Granted} {
					g, err := w.Claim(ctx, key, "again-"+key)
					if err != nil || g.Result != want || want == Done && string(g.Stored.Body) != "body" {
						t.Errorf("%s: got %v, %v, want %s", key, g, err, want)
					}
				}
				time.Sleep(2 * time.Hour)
				if g, err := w.Claim(ctx, "taken", "late"); err != nil || g.Result != Granted {
					t.Errorf("after the lifetime: got %v, %v, want granted", g, err)
				}
			})
		})
	}
}

// Guards against requests that wait for an unavailable log, and against keyed
// requests that are still refused after it has recovered.
func TestOutageRefusesAtOnce(t *testing.T) {
	for _, hangs := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			ctx := t.Context()
			start := time.Now()
			log := &fakeLog{outages: []span{{start.Add(10 * time.Second), start.Add(time.Minute), hangs}}}
			w := NewWriter(&link{fakeLog: log, delay: time.Millisecond}, 0)
			defer func() { _ = w.Close(ctx) }()
			claim := func(at time.Duration, id string) (time.Duration, error) {
				time.Sleep(time.Until(start.Add(at)))
				_, err := w.Claim(ctx, id, id)
				return time.Since(start.Add(at)), err
			}
			if _, err := claim(5*time.Second, "before"); err != nil {
				t.Fatal(err)
			}
			// The first claim may wait for the timeouts of an append and a read.
			wait, err := claim(20*time.Second, "first")
			if !errors.Is(err, ErrUnavailable) || wait > 2100*time.Millisecond || !hangs && wait > 100*time.Millisecond {
				t.Errorf("hangs=%v: first claim got %v after %v, want ErrUnavailable at once", hangs, err, wait)
			}
			for i := range 30 {
				wait, err = claim(25*time.Second+time.Duration(i)*time.Second, fmt.Sprint(i))
				if !errors.Is(err, ErrUnavailable) || wait > 0 {
					t.Errorf("hangs=%v: got %v after %v, want ErrUnavailable at once", hangs, err, wait)
				}
			}
			// A read that started in the outage times out after a second, and the
			// next one follows after a pause of at most maxBackoff.
			if wait, err = claim(62*time.Second+maxBackoff, "after"); err != nil {
				t.Errorf("hangs=%v: after the outage: got %v after %v, want granted", hangs, err, wait)
			}
			if _, err = claim(64*time.Second, "first"); err != nil {
				t.Errorf("hangs=%v: claim that was refused in the outage: got %v, want granted", hangs, err)
			}
		})
	}
}
