package claim

import (
	"context"
	"errors"
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
