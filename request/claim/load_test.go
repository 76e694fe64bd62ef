package claim

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/time/rate"
)

// batches returns the records of n claims in full batches. If body is not nil,
// each claim is finished with it.
func batches(n int, body []byte) (records [][]byte) {
	const items = 512
	at := time.Unix(1_700_000_000, 0)
	rng := rand.New(rand.NewPCG(1, 1))
	for from := 0; from < n; from += items {
		b := Batch{Format: Format, ID: HashOf(fmt.Sprint(from)), Base: int64(len(records))}
		for range min(n-from, items) {
			it := Item{Kind: KindClaim, Deadline: at.Add(24 * time.Hour)}
			for i := range it.Key {
				it.Key[i], it.Claim[i] = byte(rng.Uint32()), byte(rng.Uint32())
			}
			b.Items = append(b.Items, it)
			if body != nil {
				b.Items = append(b.Items, Item{Kind: KindDone, Key: it.Key, Claim: it.Claim, Stored: &Stored{Status: 201, ContentType: "text/plain", Body: body}})
			}
		}
		data, _ := json.Marshal(&b)
		records = append(records, data)
	}
	return records
}

func foldAll(records [][]byte) *Fold {
	var f Fold
	for i, data := range records {
		f.Apply(int64(i+1), time.Unix(1_700_000_000, 0), data)
	}
	return &f
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against a shard that exceeds the memory of a daemon. The bound is half
// of the 128 MB of a whole daemon; the other half is for its other state.
func TestMemoryOfFullShard(t *testing.T) {
	const keys, limit = defaultMaxKeys, 64_000_000
	for _, body := range [][]byte{nil, make([]byte, 512)} {
		records := batches(keys, body)
		before := heapBytes()
		f := foldAll(records)
		got := heapBytes() - before
		t.Logf("%d keys, bodies of %d B: %.1f MB, %.0f bytes per key; %d bodies in %.1f MB",
			f.Len(), len(body), float64(got)/1e6, float64(got)/keys, len(f.stored), float64(f.storedBytes)/1e6)
		if got > limit {
			t.Errorf("got %d bytes, want at most %d", got, limit)
		}
		runtime.KeepAlive(f)
		runtime.KeepAlive(records)
	}
}

func BenchmarkFold(b *testing.B) {
	const keys = 1 << 16
	records := batches(keys, nil)
	for b.Loop() {
		foldAll(records)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/keys, "ns/claim")
}

// Guards against a group commit that does not fill its batches: at the append
// rate that the log accepts, a batch must contain the queued claims. The test
// runs in virtual time, so its figures include no CPU time.
func TestGroupCommit(t *testing.T) {
	const appends, seconds = 300, 3
	for _, perBatch := range []int{1, 10, 100} {
		synctest.Test(t, func(t *testing.T) {
			all := &throttle{perAppend: time.Second / appends}
			hist := hdrhistogram.New(1, 60_000_000, 3)
			var mu sync.Mutex
			var wg sync.WaitGroup
			start := time.Now()
			var stats Stats
			for shard := range Shards {
				w := NewWriter(&link{fakeLog: &fakeLog{rate: all}, delay: 500 * time.Microsecond}, shard,
					WithBatching(20*time.Millisecond, perBatch), WithRate(appends))
				var requesters sync.WaitGroup
				for i := range perBatch {
					requesters.Go(func() {
						for n := 0; time.Since(start) < seconds*time.Second; n++ {
							at := time.Now()
							id := fmt.Sprint(shard, "/", i, "/", n)
							g, err := w.Claim(t.Context(), id, id)
							if err != nil || g.Result != Granted {
								t.Errorf("got %v, %v, want granted", g, err)
							}
							mu.Lock()
							_ = hist.RecordValue(time.Since(at).Microseconds())
							mu.Unlock()
						}
					})
				}
				wg.Go(func() {
					requesters.Wait()
					mu.Lock()
					s := w.Stats()
					stats.Appends += s.Appends
					stats.Granted += s.Granted
					mu.Unlock()
					_ = w.Close(t.Context())
				})
			}
			wg.Wait()
			length := time.Since(start).Seconds()
			t.Logf("%3d claims a batch: %6.0f claims/s, %3.0f appends/s, wait mean %.1f ms, p99 %.1f ms",
				perBatch, float64(stats.Granted)/length, float64(stats.Appends)/length,
				hist.Mean()/1000, float64(hist.ValueAtQuantile(99))/1000)
			if got, want := float64(stats.Granted)/float64(stats.Appends), 0.9*float64(perBatch); got < want {
				t.Errorf("%.1f claims per append, want at least %.1f", got, want)
			}
		})
	}
}

// Guards against writers of 16 shards that together exceed the append rate of
// the log: it refuses the excess appends, and their claims fail.
func TestRateOfAppends(t *testing.T) {
	const appends, seconds = 300, 5
	for _, offered := range []int{1000, 5000} {
		synctest.Test(t, func(t *testing.T) {
			limit := rate.NewLimiter(appends, appends/10)
			ws := make([]*Writer, Shards)
			for i := range ws {
				ws[i] = NewWriter(&link{fakeLog: &fakeLog{limit: limit}, delay: 500 * time.Microsecond}, i)
			}
			hist := hdrhistogram.New(1, 60_000_000, 3)
			rng := rand.New(rand.NewPCG(1, 1))
			refused := 0
			var mu sync.Mutex
			var wg sync.WaitGroup
			for i := range offered * seconds {
				w := ws[rng.IntN(Shards)]
				wg.Go(func() {
					at := time.Now()
					_, err := w.Claim(t.Context(), fmt.Sprint(i), fmt.Sprint(i))
					mu.Lock()
					defer mu.Unlock()
					if err != nil {
						refused++
						return
					}
					_ = hist.RecordValue(time.Since(at).Microseconds())
				})
				time.Sleep(time.Duration(rng.ExpFloat64() * float64(time.Second) / float64(offered)))
			}
			wg.Wait()
			sent := int64(0)
			for _, w := range ws {
				sent += w.Stats().Appends
				_ = w.Close(t.Context())
			}
			t.Logf("%d claims/s offered: %d of %d refused, %.0f appends/s, wait mean %.1f ms, p99 %.1f ms", offered, refused,
				offered*seconds, float64(sent)/seconds, hist.Mean()/1000, float64(hist.ValueAtQuantile(99))/1000)
			if refused > 0 {
				t.Errorf("%d claims refused, want none", refused)
			}
		})
	}
}
