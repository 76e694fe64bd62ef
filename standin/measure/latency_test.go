package measure

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/hashicorp/go-hclog"
	"github.com/kingcuppitch/kingcuppitch"
	"github.com/kingcuppitch/kingcuppitch/connection/log"
	"github.com/kingcuppitch/kingcuppitch/internal/loopback"
	"github.com/kingcuppitch/kingcuppitch/process/settings"
	"github.com/kingcuppitch/kingcuppitch/standin/logservice"
	"github.com/kingcuppitch/kingcuppitch/version/config"
	"github.com/kingcuppitch/kingcuppitch/version/record"
)

// Benchmark sizes.
const (
	benchSlots  = 64
	answerBytes = 1 << 10
)

// daemonPair holds two daemons in this process. Only the host has an upstream, so
// calls through the entry are forwarded to the host.
type daemonPair struct {
	upstream       string
	entry, host    settings.Settings
	logAddr        netip.AddrPort
	cancel         context.CancelFunc
	done           chan error
	upstreamServer *httptest.Server
}

func freeAddress(b *testing.B) netip.AddrPort {
	b.Helper()
	addrs, err := loopback.FreeAddresses(1)
	if err != nil {
		b.Fatal(err)
	}
	return addrs[0]
}

func startPair(b *testing.B) *daemonPair {
	b.Helper()
	logServer := httptest.NewServer(logservice.NewService())
	b.Cleanup(logServer.Close)
	answer := strings.Repeat("x", answerBytes)
	p := &daemonPair{done: make(chan error, 2)}
	p.upstreamServer = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		_, _ = io.WriteString(w, answer)
	}))
	b.Cleanup(p.upstreamServer.Close)
	p.upstream = p.upstreamServer.URL
	p.logAddr = netip.MustParseAddrPort(strings.TrimPrefix(logServer.URL, "http://"))
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.host = p.startDaemon(ctx, b, "host")
	p.entry = p.startDaemon(ctx, b, "entry", p.host.PeerAddress)
	b.Cleanup(func() {
		cancel()
		<-p.done
		<-p.done
	})
	p.publish(b)
	go p.announce(ctx)
	p.awaitServing(b)
	return p
}

func (p *daemonPair) startDaemon(ctx context.Context, b *testing.B, name string, seeds ...netip.AddrPort) settings.Settings {
	b.Helper()
	s := settings.Settings{
		Name: name, Region: "r", Zone: "z", CallerAddress: freeAddress(b), PeerAddress: freeAddress(b),
		AnnounceAddress: freeAddress(b), MetricsAddress: freeAddress(b), LogAddress: p.logAddr, Seeds: seeds,
	}
	d := kingcuppitch.New(kingcuppitch.WithSettings(s), kingcuppitch.WithLogger(hclog.NewNullLogger()))
	go func() { p.done <- d.Run(ctx) }()
	return s
}

func (p *daemonPair) publish(b *testing.B) {
	b.Helper()
	data, err := record.Record{ID: "first", Kind: record.KindPublish, At: time.Now(), Publish: &config.Change{Upserts: config.Config{
		Zones:     []config.Zone{{Name: "z", Region: "r"}},
		Upstreams: []config.Upstream{{Name: "catalogue", Versions: []string{"v1"}, Active: "v1", Slots: benchSlots, ColdSlots: benchSlots, Connections: 4 * benchSlots}},
		Routes: []config.Route{
			{Name: "lookUp", Prefix: "/stock", Upstream: "catalogue", Idempotent: true, Class: "lookUp", AnswerWithin: config.Duration(5 * time.Second)},
			{Name: "reserve", Prefix: "/reserve", Upstream: "catalogue", Class: "reserve", AnswerWithin: config.Duration(5 * time.Second)},
		},
		Presets: []config.Preset{{Name: "ordinary", RetryPercent: 10, CanaryPercent: 5}},
	}}}.Encode()
	if err != nil {
		b.Fatal(err)
	}
	if _, err := log.NewHTTPLog(p.logAddr).Append(b.Context(), record.Stream, data); err != nil {
		b.Fatal(err)
	}
}

func (p *daemonPair) announce(ctx context.Context) {
	address := strings.TrimPrefix(p.upstream, "http://")
	body := fmt.Sprintf(`{"service":"catalogue","version":"v1","address":%q,"incarnation":1,"state":"ready"}`, address)
	for ctx.Err() == nil {
		res, err := http.Post("http://"+p.host.AnnounceAddress.String()+"/announce", "application/json", strings.NewReader(body))
		if err == nil {
			_ = res.Body.Close()
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func (p *daemonPair) awaitServing(b *testing.B) {
	b.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for time.Now().Before(deadline) {
		res, err := http.Get("http://" + p.entry.CallerAddress.String() + "/stock")
		if err == nil {
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	b.Fatal("the daemon pair does not serve within 10 s")
}

// BenchmarkCall measures sequential calls: directly to the upstream, through its own
// daemon, and through another daemon that forwards them.
func BenchmarkCall(b *testing.B) {
	p := startPair(b)
	for _, c := range []struct{ name, url, method string }{
		{"direct", p.upstream + "/stock", http.MethodGet},
		{"local", "http://" + p.host.CallerAddress.String() + "/stock", http.MethodGet},
		{"forwarded", "http://" + p.entry.CallerAddress.String() + "/stock", http.MethodGet},
		{"forwardedPost", "http://" + p.entry.CallerAddress.String() + "/reserve", http.MethodPost},
	} {
		b.Run(c.name, func(b *testing.B) {
			client := &http.Client{Transport: &http.Transport{}}
			hist := hdrhistogram.New(1, int64(10*time.Second/time.Microsecond), 3)
			b.ResetTimer()
			for range b.N {
				start := time.Now()
				req, err := http.NewRequest(c.method, c.url, nil)
				if err != nil {
					b.Fatal(err)
				}
				res, err := client.Do(req)
				if err != nil {
					b.Fatal(err)
				}
				n, err := io.Copy(io.Discard, res.Body)
				_ = res.Body.Close()
				if err != nil || res.StatusCode != http.StatusOK || n != answerBytes {
					b.Fatalf("got status %d, %d bytes, error %v", res.StatusCode, n, err)
				}
				_ = hist.RecordValue(time.Since(start).Microseconds())
			}
			for _, q := range []float64{50, 99, 99.9} {
				b.ReportMetric(float64(hist.ValueAtQuantile(q)), fmt.Sprintf("p%v-us", q))
			}
		})
	}
}
