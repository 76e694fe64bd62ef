package daemon

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/request"
)

// TestBrokenHealthAnswer guards against a broken health answer from which the daemon learns
// something about the upstream: that it leaves, what it can take, or that it is healthy.
func TestBrokenHealthAnswer(t *testing.T) {
	const fields = "Instance-Id: i-1\r\nCold-Ms: 500\r\nRate-Limit: 3\r\nLeaving: 1\r\nContent-Length: 0\r\n"
	names := request.Headers{InstanceID: "Instance-Id", ColdFor: "Cold-Ms", RateLimit: "Rate-Limit", Leaving: "Leaving"}
	for _, tt := range []struct {
		name, text string
		usable     bool
	}{
		{"whole", "HTTP/1.1 200 OK\r\n" + fields + "\r\n", true},
		{"unhealthy", "HTTP/1.1 503 X\r\n" + fields + "\r\n", true},
		{"status 000", "HTTP/1.1 000 X\r\n" + fields + "\r\n", false},
		{"status 099", "HTTP/1.1 099 X\r\n" + fields + "\r\n", false},
		{"status 600", "HTTP/1.1 600 X\r\n" + fields + "\r\n", false},
		{"status 000 before another", "HTTP/1.1 000 X\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + "\r\n", false},
		{"blank in a name", "HTTP/1.1 200 OK\r\nX A: b\r\n" + fields + "\r\n", false},
		{"blank after the name of the id", "HTTP/1.1 200 OK\r\n" + strings.Replace(fields, "Instance-Id:", "Instance-Id :", 1) + "\r\n", false},
		{"control byte in a name", "HTTP/1.1 200 OK\r\nX\x01A: b\r\n" + fields + "\r\n", false},
		{"cut head", "HTTP/1.1 200 OK\r\n" + fields, false},
	} {
		l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, tt.text)
			}
		}()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		got, err := askHealth(ctx, "http://"+l.Addr().String()+"/health", "i-1", names)
		cancel()
		_ = l.Close()
		if usable := got != (healthResult{}); usable != tt.usable || tt.usable && (err != nil || !got.idConfirmed || !got.statement.Leaving || got.statement.RateLimit != 3 || got.coldUntil.IsZero()) {
			t.Errorf("%s: got %+v, %v, want it used: %v", tt.name, got, err, tt.usable)
		}
	}
}
