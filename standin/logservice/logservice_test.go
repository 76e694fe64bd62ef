package logservice_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/connection/log"
	"github.com/kingcuppitch/kingcuppitch/standin/logservice"
)

func start(t *testing.T, opts ...logservice.Option) (log.Log, string) {
	t.Helper()
	srv := httptest.NewServer(logservice.NewService(opts...))
	t.Cleanup(srv.Close)
	return log.NewHTTPLog(netip.MustParseAddrPort(srv.Listener.Addr().String())), srv.URL
}

func setFaults(t *testing.T, url, body string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPut, url+"/faults", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = res.Body.Close()
	if got, want := res.StatusCode, http.StatusNoContent; got != want {
		t.Fatalf("PUT /faults %s: got status %d, want %d", body, got, want)
	}
}

// TestAppendAndReadThroughTheAdapter guards against a protocol that differs from that
// of the adapter, and against streams that share offsets.
func TestAppendAndReadThroughTheAdapter(t *testing.T) {
	lg, _ := start(t)
	ctx := t.Context()
	for i, stream := range []string{"a", "a", "b"} {
		got, err := lg.Append(ctx, stream, []byte{byte(i), 0xff})
		if want := []int64{1, 2, 1}[i]; err != nil || got != want {
			t.Fatalf("append %d to %s: got %d, %v; want %d", i, stream, got, err, want)
		}
	}
	page, err := lg.Read(ctx, "a", 2, time.Now())
	if err != nil || page.First != 1 || page.Next != 3 || len(page.Records) != 1 || string(page.Records[0].Data) != "\x01\xff" {
		t.Fatalf("got %+v, %v; want record 2", page, err)
	}
	go func() {
		time.Sleep(30 * time.Millisecond)
		_, _ = lg.Append(context.Background(), "a", []byte("new"))
	}()
	page, err = lg.Read(ctx, "a", 3, time.Now().Add(5*time.Second))
	if err != nil || len(page.Records) != 1 || page.Records[0].Offset != 3 {
		t.Fatalf("long poll: got %+v, %v; want record 3", page, err)
	}
}

// TestLongPollEndsAtItsTime guards against a long poll that ends before waitUntil or
// never.
func TestLongPollEndsAtItsTime(t *testing.T) {
	lg, _ := start(t)
	begin := time.Now()
	page, err := lg.Read(t.Context(), "a", 1, begin.Add(100*time.Millisecond))
	if err != nil || len(page.Records) != 0 || page.Next != 1 {
		t.Fatalf("got %+v, %v; want an empty page", page, err)
	}
	if got := time.Since(begin); got < 90*time.Millisecond || got > time.Second {
		t.Errorf("got an answer after %v, want about 100 ms", got)
	}
}

// TestExpiredRecordsAnswerGone guards against gaps that a reader does not notice: a
// reader whose offset has expired must get an error.
func TestExpiredRecordsAnswerGone(t *testing.T) {
	for name, faults := range map[string]string{"count": `{"retainRecords":2}`, "age": `{"retainMs":1}`} {
		t.Run(name, func(t *testing.T) {
			lg, url := start(t)
			for range 5 {
				if _, err := lg.Append(t.Context(), "a", nil); err != nil {
					t.Fatal(err)
				}
			}
			setFaults(t, url, faults)
			time.Sleep(5 * time.Millisecond)
			want := map[string]int64{"count": 4, "age": 6}[name]
			page, err := lg.Read(t.Context(), "a", 1, time.Now())
			if !errors.Is(err, log.ErrExpired) || page.First != want || page.Next != 6 {
				t.Errorf("got %+v, %v; want ErrExpired with first %d and next 6", page, err, want)
			}
		})
	}
}

// TestFaultsOfAppends guards against an append that is refused but takes effect, and
// against an append without an answer that leaves no record.
func TestFaultsOfAppends(t *testing.T) {
	for _, tc := range []struct {
		name, faults string
		want         error
		wantNext     int64
	}{
		{"outage", `{"outage":true}`, log.ErrUnavailable, 1},
		{"hanging outage", `{"outage":true,"hang":true}`, log.ErrUnknown, 1},
		{"lost answer", `{"loseAnswers":true}`, log.ErrUnknown, 2},
		{"lost fraction", `{"loseAnswers":1.0}`, log.ErrUnknown, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			lg, url := start(t)
			setFaults(t, url, tc.faults)
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			if _, err := lg.Append(ctx, "a", []byte("x")); !errors.Is(err, tc.want) {
				t.Errorf("got %v, want %v", err, tc.want)
			}
			setFaults(t, url, `{}`)
			page, err := lg.Read(t.Context(), "a", 1, time.Now())
			if err != nil || page.Next != tc.wantNext {
				t.Errorf("got next %d, %v; want %d", page.Next, err, tc.wantNext)
			}
		})
	}
}

// TestOutageEndsWaitingReads guards against reads that began before an outage and keep
// waiting during it.
func TestOutageEndsWaitingReads(t *testing.T) {
	lg, url := start(t)
	go func() {
		time.Sleep(50 * time.Millisecond)
		req, _ := http.NewRequest(http.MethodPut, url+"/faults", strings.NewReader(`{"outage":true}`))
		if res, err := http.DefaultClient.Do(req); err == nil {
			_ = res.Body.Close()
		}
	}()
	if _, err := lg.Read(t.Context(), "a", 1, time.Now().Add(5*time.Second)); !errors.Is(err, log.ErrUnavailable) {
		t.Errorf("got %v, want ErrUnavailable", err)
	}
}

// TestRateLimitCoversAllStreams guards against a log that accepts more appends than
// the platform's log does.
func TestRateLimitCoversAllStreams(t *testing.T) {
	lg, _ := start(t, logservice.WithRate(20))
	begin, accepted := time.Now(), 0
	for i := range 40 {
		_, err := lg.Append(t.Context(), string(rune('a'+i%5)), nil)
		switch {
		case err == nil:
			accepted++
		case !errors.Is(err, log.ErrUnavailable):
			t.Fatal(err)
		}
	}
	maxAccepted := 2 + int(20*time.Since(begin).Seconds()) + 1
	if accepted < 2 || accepted > maxAccepted {
		t.Errorf("got %d accepted appends, want from 2 to %d", accepted, maxAccepted)
	}
}
