package request

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
)

const testLimit = 4 << 20

// endless is a body without end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// TestBuffersBound guards against the bodies of many calls that together take more than
// the memory for bodies: answers without end that are read at once.
func TestBuffersBound(t *testing.T) {
	b := NewBuffers(testLimit)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var kept [][]byte
	for range 200 {
		wg.Go(func() {
			body, more, err := b.ReadAnswer(endless{}, -1)
			if err != nil || !more || len(body) == 0 {
				t.Errorf("got %d bytes, more %t, error %v; want the first bytes", len(body), more, err)
			}
			mu.Lock()
			defer mu.Unlock()
			kept = append(kept, body)
		})
	}
	wg.Wait()
	sum := 0
	for _, body := range kept {
		sum += cap(body)
	}
	if most := testLimit + testLimit/reserveDivisor + len(kept)*freeBuffer; sum > most || b.Used() > int64(most) {
		t.Errorf("got %d bytes in buffers, %d counted, want at most %d", sum, b.Used(), most)
	}
}

// TestBuffersFreed guards against memory that counts as used although its body is gone.
func TestBuffersFreed(t *testing.T) {
	b := NewBuffers(testLimit)
	for i := range 20 {
		body, more, err := b.read(io.LimitReader(endless{}, 3<<20), 3<<20, 1<<30)
		if err != nil || more || len(body) != 3<<20 {
			t.Fatalf("body %d: got %d bytes, more %t, error %v; %d in use", i, len(body), more, err, b.Used())
		}
		b.collectAfter = b.collectAfter.Add(-collectPause)
	}
}

// TestBuffersReserve guards against small requests that are refused because of large ones.
func TestBuffersReserve(t *testing.T) {
	b := NewBuffers(testLimit)
	large, _, err := b.read(endless{}, testLimit-1, testLimit)
	if err != nil {
		t.Fatal(err)
	}
	request := func(n int) *http.Request {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "/", bytes.NewReader(make([]byte, n)))
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	if body, err := ReadBody(request(16<<10), 1<<20, b); err != nil || len(body) != 16<<10 {
		t.Errorf("small body beside one of %d bytes: got %d bytes, error %v", len(large), len(body), err)
	}
	_, err = ReadBody(request(1<<20), 1<<20, b)
	var ref *Refusal
	if !errors.As(err, &ref) || ref.Outcome != NotRun || ref.Reason != ReasonNoRoom || StatusOf(ref) != http.StatusServiceUnavailable || ref.RetryAt.IsZero() {
		t.Errorf("large body beside another: got error %v, want a refusal with a time of return", err)
	}
	if b.Refused() == 0 {
		t.Error("got no refused buffer, want one")
	}
	runtime.KeepAlive(large)
}

// TestRead guards against bodies that are cut, or read beyond their limit.
func TestRead(t *testing.T) {
	for _, b := range []*Buffers{nil, {}, NewBuffers(testLimit)} {
		for _, size := range []int{0, 1, freeBuffer - 1, freeBuffer, freeBuffer + 1, 100_000, MaxBody - 1} {
			for _, length := range []int64{-1, int64(size)} {
				want := strings.Repeat("x", size)
				got, more, err := b.read(iotest.HalfReader(strings.NewReader(want)), length, MaxBody)
				if err != nil || more || string(got) != want {
					t.Errorf("%d bytes, length %d: got %d bytes, more %t, error %v", size, length, len(got), more, err)
				}
			}
		}
		if got, more, err := b.read(endless{}, -1, 10_000); err != nil || !more || len(got) != 10_000 {
			t.Errorf("beyond the limit: got %d bytes, more %t, error %v", len(got), more, err)
		}
		broken := io.MultiReader(strings.NewReader("ab"), iotest.ErrReader(io.ErrUnexpectedEOF))
		if got, _, err := b.read(broken, 4, MaxBody); !errors.Is(err, io.ErrUnexpectedEOF) || string(got) != "ab" {
			t.Errorf("broken body: got %q, error %v", got, err)
		}
	}
}
