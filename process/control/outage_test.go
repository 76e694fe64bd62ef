package control

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/connection/log"
	"github.com/kingcuppitch/kingcuppitch/process/membership"
	"github.com/kingcuppitch/kingcuppitch/version/record"
)

// failingStore is a log, a directory and a store of reports that can be down.
type failingStore struct {
	log.Log
	mu      sync.Mutex
	down    bool
	listing log.Entry
	// added holds the records after the listing.
	added          []log.Entry
	changed        notifier
	readAt, enters time.Time
}

// fails returns the error of a call, and notes the time of the first one that succeeds.
func (s *failingStore) fails(first *time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return log.ErrUnavailable
	}
	if first.IsZero() {
		*first = time.Now()
	}
	return nil
}

func (s *failingStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *failingStore) add(e log.Entry) {
	s.mu.Lock()
	s.added = append(s.added, e)
	s.mu.Unlock()
	s.changed.notify()
}

// Read implements log.Log.
func (s *failingStore) Read(ctx context.Context, _ string, from int64, until time.Time) (log.Page, error) {
	for {
		if err := s.fails(&s.readAt); err != nil {
			return log.Page{}, err
		}
		changed := s.changed.wait()
		s.mu.Lock()
		page := log.Page{First: 1, Next: s.listing.Offset + int64(len(s.added)) + 1}
		switch {
		case from <= s.listing.Offset:
			page.Records = []log.Entry{s.listing}
		case from < page.Next:
			page.Records = slices.Clone(s.added[from-s.listing.Offset-1:])
		}
		s.mu.Unlock()
		if len(page.Records) > 0 || !time.Now().Before(until) {
			return page, nil
		}
		select {
		case <-ctx.Done():
			return log.Page{}, ctx.Err()
		case <-changed:
		case <-time.After(time.Until(until)):
		}
	}
}

// Report implements Outcomes.
func (s *failingStore) Report(_ context.Context, r Report) (Report, error) { return r, nil }

// Reports implements Outcomes.
func (s *failingStore) Reports(context.Context) ([]Report, error) {
	time.Sleep(20 * time.Millisecond)
	return nil, s.fails(new(time.Time))
}

// Enter implements Directory.
func (s *failingStore) Enter(context.Context, membership.Member) error { return s.fails(&s.enters) }

// Remove implements Directory.
func (s *failingStore) Remove(context.Context, string) error { return nil }

// List implements Directory.
func (s *failingStore) List(context.Context) ([]membership.Member, error) {
	return nil, s.fails(new(time.Time))
}

// TestStartDuringOutage guards against a daemon that starts while the store is down, serves
// after the store's return, and waits for the end of a pause that grew before: it misses
// the next changes, and no other daemon finds it.
func TestStartDuringOutage(t *testing.T) {
	t.Parallel()
	const outage, daemons = 6 * time.Second, 16
	first := timedRecords(t)[0]
	listing := listingOf(retained(first), first.Offset)
	change := entryOf(t, 2, record.Record{ID: "c2", Kind: record.KindReplace, Replace: announcedConfig()})
	var wg sync.WaitGroup
	for range daemons {
		wg.Go(func() {
			s := &failingStore{down: true, listing: listing}
			c := New(WithSelf(testMember("d1", "a")), WithLog(s), WithOutcomes(s), WithDirectory(s), WithCompactedLog())
			c.Start()
			defer c.Stop()
			time.Sleep(outage)
			s.setDown(false)
			deadline := time.Now().Add(3 * logRetryMax)
			for !c.Snapshot().Serving {
				if time.Now().After(deadline) {
					t.Error("the daemon does not serve after the outage")
					return
				}
				time.Sleep(time.Millisecond)
			}
			s.add(change)
			changed := time.Now()
			for time.Since(changed) < compactedApplyWithin && c.Snapshot().State.Offset < change.Offset {
				time.Sleep(time.Millisecond)
			}
			if got := c.Snapshot().State.Offset; got != change.Offset {
				t.Errorf("%v after a change: got the configuration of record %d, want %d", compactedApplyWithin, got, change.Offset)
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.enters.IsZero() || s.enters.Sub(s.readAt) > compactedApplyWithin {
				t.Errorf("the daemon did not enter the directory within %v of its first read of the log", compactedApplyWithin)
			}
		})
	}
	wg.Wait()
}

// TestReportsAfterOldRead guards against a daemon that serves an old configuration because
// the reports of moves arrive long after its last read of the log.
func TestReportsAfterOldRead(t *testing.T) {
	listing := listingOf(retained(timedRecords(t)...), 2)
	c := platformCore("d1", "a")
	c.handle(recordsArrived{entries: []log.Entry{listing}, first: 1, next: 3, asked: epoch}, epoch, 0)
	now := epoch.Add(compactedApplyWithin)
	c.handle(reportsRead{}, now, 0)
	if c.serving {
		t.Errorf("got serving by a read %v ago, want another read first", now.Sub(epoch))
	}
	c.handle(recordsArrived{first: 1, next: 3, asked: now}, now, 0)
	if !c.serving {
		t.Error("got not serving after another read, want serving")
	}
	if got, want := c.logEnds.relyUntil, now.Add(c.relyPeriod()); got.After(want) {
		t.Errorf("got reliance on peers until %v after the read, want %v", got.Sub(now), c.relyPeriod())
	}
}
