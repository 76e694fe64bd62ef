package control

import (
	"container/heap"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/kingcuppitch/kingcuppitch/connection/log"
	"github.com/kingcuppitch/kingcuppitch/process/membership"
	"github.com/kingcuppitch/kingcuppitch/version/era"
	"github.com/kingcuppitch/kingcuppitch/version/fold"
	"github.com/kingcuppitch/kingcuppitch/version/record"
	wirev1 "github.com/kingcuppitch/kingcuppitch/wire/v1"
)

// Delays of a fleet of small instances, with a sixth of a CPU and links of
// 10 Mbit/s, and a configuration of 100 kB.
const (
	sameZoneDelay  = 200 * time.Microsecond
	crossZoneHop   = 1400 * time.Microsecond
	messageTime    = time.Millisecond
	configTime     = 60 * time.Millisecond
	serveTime      = 20 * time.Millisecond
	transferTime   = 20 * time.Millisecond
	storeTime      = 4 * time.Millisecond
	storeReadTime  = 80 * time.Millisecond
	restartTime    = 400 * time.Millisecond
	knownAtRestart = 5
)

// fleet is a simulation of daemons that follow a compacted log. Each daemon handles
// one event after the other, and events, messages and transfers take time.
type fleet struct {
	cores map[string]*core
	names []string
	// busyUntil is when the CPU of a daemon is free, and fetches the number of
	// fetches that it is serving.
	busyUntil map[string]time.Time
	fetches   map[string]int
	// generation counts the restarts of a daemon; events of an earlier process are
	// dropped.
	generation map[string]int
	startedAt  map[string]time.Time
	rnd        *rand.Rand
	now        time.Time
	queue      timers
	// timers counts the timers, which run in this order at the same time.
	timers int
	// records holds the records of the log, of which those from number first on are
	// retained. era counts the restores of the log.
	records []log.Entry
	first   int64
	era     int64
	// revision is that of the newest configuration.
	revision int64
	// deafUntil is until when reads that wait are not told of new records.
	deafUntil time.Time
	// cut says which messages are lost, and logCut which daemons do not reach the log;
	// nil means none.
	cut    func(from, to string) bool
	logCut func(name string) bool
	// fromStart says that the next read of a daemon returns the newest state of the log.
	fromStart map[string]bool
	// frozenUntil is until when a daemon stands still. Daemons that ever did are not
	// judged.
	frozenUntil map[string]time.Time
	// reads counts the reads of the log.
	reads int
	// written is when each revision was acknowledged, and heldAt when each daemon
	// held it.
	written map[int64]time.Time
	heldAt  map[int64]map[string]time.Time
	// lastHeld is the revision that the process of each daemon held last, and regressed
	// counts how often one held an earlier one after that.
	lastHeld  map[string]int64
	regressed int
}

type timer struct {
	at    time.Time
	order int
	run   func()
}

// timers is a heap of timers by time.
type timers []timer

func (h timers) Len() int      { return len(h) }
func (h timers) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h timers) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].order < h[j].order
	}
	return h[i].at.Before(h[j].at)
}
func (h *timers) Push(x any) { *h = append(*h, x.(timer)) }
func (h *timers) Pop() any {
	old := *h
	t := old[len(old)-1]
	*h = old[:len(old)-1]
	return t
}

// newFleet returns a fleet of n daemons in three zones that know each other and
// hold a first configuration.
func newFleet(t *testing.T, n int, seed uint64) *fleet {
	t.Helper()
	f := &fleet{
		cores: make(map[string]*core), busyUntil: make(map[string]time.Time), fetches: make(map[string]int),
		generation: make(map[string]int), startedAt: make(map[string]time.Time), frozenUntil: make(map[string]time.Time), fromStart: make(map[string]bool), rnd: rand.New(rand.NewPCG(seed, 21)), now: epoch,
		first: 1, written: make(map[int64]time.Time), heldAt: make(map[int64]map[string]time.Time), lastHeld: make(map[string]int64),
	}
	f.write(t)
	var members []membership.Member
	for i := range n {
		name := fmt.Sprint("d", i)
		f.names = append(f.names, name)
		f.cores[name] = platformCore(name, []string{"a", "b", "c"}[i%3])
		members = append(members, f.cores[name].table.Self())
	}
	for _, name := range f.names {
		f.cores[name].table.Merge(epoch, members)
		f.cores[name].handle(recordsArrived{entries: f.records, first: 1, next: 2, asked: epoch}, epoch, 0)
		f.start(name)
	}
	return f
}

// start schedules the periodic events of a daemon and its reads of the log.
func (f *fleet) start(name string) {
	f.every(name, func() time.Duration { return tickPeriod }, func() { f.deliver(name, tick{}, messageTime, nil) })
	f.every(name, func() time.Duration { return f.jitter(gossipPeriod) }, func() { f.deliver(name, gossipDue{}, messageTime, nil) })
	f.every(name, func() time.Duration { return updatePauseMin }, func() {
		c := f.cores[name]
		due, ok := c.updatesDue()
		overdue := c.serving && f.now.After(c.logEnds.relyUntil) && !c.readsLog()
		if ok && !f.now.Before(due) || overdue {
			f.deliver(name, flush{}, messageTime, nil)
		}
	})
	f.follow(name)
}

func (f *fleet) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(f.rnd.Int64N(int64(d)))
}

func (f *fleet) after(d time.Duration, run func()) {
	f.timers++
	heap.Push(&f.queue, timer{f.now.Add(d), f.timers, run})
}

// every runs an event of a daemon with the given pauses until the daemon restarts.
func (f *fleet) every(name string, pause func() time.Duration, run func()) {
	generation := f.generation[name]
	var next func()
	next = func() {
		if f.generation[name] != generation {
			return
		}
		run()
		f.after(pause(), next)
	}
	f.after(time.Duration(f.rnd.Int64N(int64(pause()))), next)
}

// runUntil handles all events up to the given time.
func (f *fleet) runUntil(end time.Time) {
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		t := heap.Pop(&f.queue).(timer)
		f.now = t.at
		t.run()
	}
	f.now = end
}

// write appends a large configuration to the log.
func (f *fleet) write(t *testing.T) {
	t.Helper()
	f.revision++
	f.written[f.revision] = f.now
	f.writeRevision(t, f.revision)
}

func (f *fleet) writeRevision(t *testing.T, revision int64) {
	t.Helper()
	cfg := announcedConfig()
	for i := range 60 {
		r := cfg.Routes[0]
		r.Name, r.Prefix = fmt.Sprint("r", i), fmt.Sprintf("/%d/version%d/", i, revision)
		cfg.Routes = append(cfg.Routes, r)
	}
	f.append(t, record.Record{Kind: record.KindReplace, Replace: cfg, Revision: revision, Sum: xxhash.Sum64String(fmt.Sprint("config", revision))})
}

// setZone takes a zone out of service or back.
func (f *fleet) setZone(t *testing.T, zone string, out bool) {
	t.Helper()
	f.append(t, record.Record{Kind: record.KindZone, Zone: &record.Zone{Name: zone, Out: out}, Sum: xxhash.Sum64String(fmt.Sprint(zone, out))})
}

func (f *fleet) append(t *testing.T, rec record.Record) {
	t.Helper()
	offset := f.end() + 1
	rec.ID, rec.Base = fmt.Sprint("r", offset), offset-1
	f.records = append(f.records, entryOf(t, offset, rec))
}

// end returns the offset of the last record.
func (f *fleet) end() int64 { return f.offset(int64(len(f.records))) }

// offset returns the offset of the record with a number in the current era.
func (f *fleet) offset(number int64) int64 {
	offset, err := era.Offset(f.era, number)
	if err != nil {
		panic(err)
	}
	return offset
}

// restore restores the log from a copy that holds n records. All retained records get
// offsets of a new era.
func (f *fleet) restore(t *testing.T, n int) {
	t.Helper()
	f.era++
	f.first = min(f.first, int64(n)+1)
	kept := f.records[:n]
	f.records = nil
	for _, e := range kept {
		rec, err := record.Decode(e.Data)
		if err != nil {
			t.Fatal(err)
		}
		f.append(t, rec)
	}
}

// forget deletes all records but the newest. For a second, reads that wait are not
// told of new records.
func (f *fleet) forget() {
	f.first, f.deafUntil = int64(len(f.records))+1, f.now.Add(time.Second)
}

// follow reads the log while the daemon is a reader. A read waits for a record.
func (f *fleet) follow(name string) {
	generation := f.generation[name]
	var waitUntil time.Time
	var poll func()
	poll = func() {
		c := f.cores[name]
		end := f.end()
		// A read of an era that is over is answered at once.
		behind := c.state.Offset < end || f.fromStart[name]
		switch {
		case f.generation[name] != generation:
			return
		case f.now.Before(f.frozenUntil[name]):
			f.after(f.frozenUntil[name].Sub(f.now), poll)
		case waitUntil.IsZero() && !c.readsLog() && era.Number(c.state.Offset) > 0:
			f.after(tickPeriod, poll)
		case f.logCut != nil && f.logCut(name):
			waitUntil = time.Time{}
			f.read(name, func() { f.after(f.jitter(logRetryMin), poll) })
		case waitUntil.IsZero() && era.Number(c.state.Offset) > 0:
			waitUntil = f.now.Add(pollPeriod(c.applyWithin))
			poll()
		case !f.now.Before(f.deafUntil) && (behind || f.now.After(waitUntil)):
			waitUntil = time.Time{}
			f.read(name, poll)
		default:
			f.after(10*time.Millisecond, poll)
		}
	}
	f.after(0, poll)
}

// read reads the log to its end once: from the daemon's offset on, as a snapshot if those
// records have been deleted, or all records of a new era.
func (f *fleet) read(name string, then func()) {
	c, asked := f.cores[name], f.now
	f.reads++
	if f.logCut != nil && f.logCut(name) {
		f.deliver(name, logFailed{errors.New("cut off")}, messageTime, func(any) { f.after(0, then) })
		return
	}
	from, end := c.state.Offset+1, f.end()
	ev := recordsArrived{first: f.offset(f.first), next: end + 1, asked: asked}
	switch newEra := era.Of(from) < f.era; {
	case isEmpty(c.state) || f.fromStart[name] || !newEra && from < ev.first:
		ev.first, f.fromStart[name] = f.offset(1), false
		if len(f.records) > 0 {
			ev.entries = []log.Entry{f.snapshot(end)}
		}
	case newEra:
		start := f.offset(f.first)
		for back := int64(resumeStep); ; back *= resumeStep {
			from = resumeFrom(c.state, start, back)
			if from == start || from <= end && startsFolded(f.records[era.Number(from)-1:], c.state) {
				break
			}
		}
		ev.entries = slices.Clone(f.records[min(len(f.records), int(era.Number(from))-1):])
	case from <= end:
		ev.entries = slices.Clone(f.records[era.Number(from)-1:])
	}
	delay := storeTime + time.Duration(len(ev.entries))*storeReadTime
	f.after(delay, func() {
		f.deliver(name, ev, messageTime+time.Duration(len(ev.entries))*configTime, func(any) { f.after(0, then) })
	})
}

// snapshot returns the newest records of each resource as a snapshot.
func (f *fleet) snapshot(end int64) log.Entry {
	newest := make(map[string]fold.RetainedRecord)
	for _, e := range f.records {
		rec, err := record.Decode(e.Data)
		if err != nil {
			panic(err)
		}
		switch {
		case rec.Replace != nil:
			newest["config"] = fold.RetainedRecord{Offset: e.Offset, Record: rec}
		case rec.Zone.Out:
			newest[rec.Zone.Name] = fold.RetainedRecord{Offset: e.Offset, Record: rec}
		default:
			delete(newest, rec.Zone.Name)
		}
	}
	return listingOf(slices.Collect(maps.Values(newest)), end)
}

// listingOf returns the newest state of a compacted log that ends at the given offset.
func listingOf(kept []fold.RetainedRecord, end int64) log.Entry {
	state, err := fold.FromNewest(kept, end).Encode()
	if err != nil {
		panic(err)
	}
	data, err := record.Record{ID: "newest", Kind: record.KindSnapshot, Snapshot: &record.Snapshot{UpTo: end, State: state}}.Encode()
	if err != nil {
		panic(err)
	}
	return log.Entry{Offset: end, Data: data}
}

// retained returns the records that a compacted log keeps.
func retained(entries ...log.Entry) (kept []fold.RetainedRecord) {
	for _, e := range entries {
		rec, err := record.Decode(e.Data)
		if err != nil {
			panic(err)
		}
		kept = append(kept, fold.RetainedRecord{Offset: e.Offset, Record: rec})
	}
	return kept
}

// deliver hands an event to a daemon once its CPU is free and has spent the given
// time on it.
func (f *fleet) deliver(name string, ev any, cost time.Duration, then func(reply any)) {
	generation := f.generation[name]
	f.busyUntil[name] = latest(latest(f.busyUntil[name], f.now), f.frozenUntil[name]).Add(cost)
	f.after(f.busyUntil[name].Sub(f.now), func() {
		c := f.cores[name]
		if f.generation[name] != generation {
			return
		}
		reply, actions := c.handle(ev, f.now, f.rnd.Float64())
		f.noteHeld(name, c.state.Revision)
		for _, a := range actions {
			f.act(name, a)
		}
		if then != nil {
			then(reply)
		}
	})
}

// index returns the number of a daemon.
func (f *fleet) index(name string) int { return slices.Index(f.names, name) }

// freeze stops a daemon for a time. What arrives meanwhile is handled after it.
func (f *fleet) freeze(name string, d time.Duration) { f.frozenUntil[name] = f.now.Add(d) }

// lost reports whether a message between two daemons is lost.
func (f *fleet) lost(from, to string) bool { return f.cut != nil && f.cut(from, to) }

func (f *fleet) noteHeld(name string, revision int64) {
	if revision < f.lastHeld[name] {
		f.regressed++
	}
	f.lastHeld[name] = revision
	for ; revision > 0 && f.heldAt[revision][name].IsZero(); revision-- {
		if f.heldAt[revision] == nil {
			f.heldAt[revision] = make(map[string]time.Time)
		}
		f.heldAt[revision][name] = f.now
	}
}

func (f *fleet) delay(a, b string) time.Duration {
	if f.cores[a].table.Self().Zone == f.cores[b].table.Self().Zone {
		return sameZoneDelay
	}
	return crossZoneHop
}

func (f *fleet) act(name string, action any) {
	generation := f.generation[name]
	// back hands a response to the daemon, unless it has restarted.
	back := func(ev any, cost time.Duration) {
		if f.generation[name] == generation {
			f.deliver(name, ev, cost, nil)
		}
	}
	switch a := action.(type) {
	case sendPush:
		for _, m := range a.to {
			ev := recordsArrived{entries: entriesFromWire(a.req.GetRecords()), source: a.req.GetFrom()}
			if !f.lost(name, m.Name) {
				f.after(f.delay(name, m.Name), func() { f.deliver(m.Name, ev, messageTime, nil) })
			}
		}
	case sendExchange:
		f.after(max(0, a.notBefore.Sub(f.now)), func() { f.exchange(name, a, back) })
	case sendFetch:
		f.fetch(a, name, back)
	case sendProbe:
		alive := slices.ContainsFunc(a.via, func(m membership.Member) bool {
			return !f.lost(name, m.Name) && !f.lost(m.Name, name) && f.reaches(m.Name, a.target.Name)
		})
		delay := 2 * crossZoneHop
		if !alive {
			delay = rpcTimeout
		}
		f.after(delay, func() { back(probeDone{to: a.target, alive: alive}, messageTime) })
	case readLog:
		f.fromStart[name] = f.fromStart[name] || a.fromStart
		delay := time.Duration(f.rnd.Int64N(int64(logRetryMin)))
		if f.cores[name].readsLog() {
			delay = 0
		}
		f.after(delay, func() {
			if f.generation[name] == generation {
				f.read(name, func() {})
			}
		})
	}
}

// reaches reports whether a daemon gets an answer of another one.
func (f *fleet) reaches(from, to string) bool {
	return !f.lost(from, to) && !f.lost(to, from) && !f.now.Before(f.frozenUntil[to])
}

// exchange sends a message and hands the response back, or a failure if there is none
// in time.
func (f *fleet) exchange(name string, a sendExchange, back func(ev any, cost time.Duration)) {
	asked, delay, answered := f.now, f.delay(name, a.to.Name), false
	if !f.lost(name, a.to.Name) {
		f.after(delay, func() {
			f.deliver(a.to.Name, exchangeReceived{a.req}, messageTime, func(reply any) {
				if f.lost(a.to.Name, name) || f.now.After(asked.Add(rpcTimeout)) {
					return
				}
				answered = true
				res := reply.(*wirev1.ExchangeResponse)
				f.after(delay, func() { back(exchangeDone{to: a.to, res: res, asked: asked}, messageTime) })
			})
		})
	}
	f.after(rpcTimeout, func() {
		if !answered && !a.update {
			back(exchangeFailed{to: a.to}, messageTime)
		}
	})
}

// fetch transfers records or a state from a peer, which serves maxFetches at once.
func (f *fleet) fetch(a sendFetch, name string, back func(ev any, cost time.Duration)) {
	asked, delay := f.now, f.delay(name, a.to.Name)
	if !f.reaches(name, a.to.Name) {
		f.after(rpcTimeout, func() { back(fetchFailed{to: a.to, upTo: a.upTo}, messageTime) })
		return
	}
	f.after(delay, func() {
		if f.fetches[a.to.Name] == maxFetches {
			f.after(delay+f.jitter(fetchRetryDelay), func() { back(fetchFailed{to: a.to, upTo: a.upTo}, messageTime) })
			return
		}
		f.fetches[a.to.Name]++
		f.deliver(a.to.Name, fetchReceived{&wirev1.FetchRequest{From: a.offset, Carried: a.carried}}, messageTime, func(reply any) {
			res := reply.(*wirev1.FetchResponse)
			configs := max(len(res.GetRecords()), min(1, len(res.GetSnapshot())))
			f.busyUntil[a.to.Name] = f.busyUntil[a.to.Name].Add(time.Duration(configs) * serveTime)
			f.after(f.busyUntil[a.to.Name].Sub(f.now)+delay+time.Duration(configs)*transferTime, func() {
				f.fetches[a.to.Name]--
				cost := messageTime + time.Duration(configs)*configTime
				if data := res.GetSnapshot(); len(data) > 0 {
					st, err := fold.DecodeState(data)
					if err != nil {
						panic(err)
					}
					back(stateArrived{state: st, zone: res.GetZone(), name: a.to.Name}, cost)
				} else if len(res.GetRecords()) > 0 {
					back(recordsArrived{entries: entriesFromWire(res.GetRecords()), source: a.to.Name}, cost)
				}
				back(offsetReported{zone: res.GetZone(), at: reportedPosition(res), serving: res.GetServing(), asked: asked}, messageTime)
			})
		})
	})
}

// restartReaders replaces the readers of all zones by new processes that know a few
// daemons and read the log.
func (f *fleet) restartReaders() {
	for _, name := range f.names {
		old := f.cores[name]
		if !old.isReader() {
			continue
		}
		f.generation[name]++
		self := old.table.Self()
		c := platformCore(name, self.Zone)
		c.table.Update(func(m *membership.Member) { m.Incarnation = self.Incarnation + 1 })
		for _, i := range f.rnd.Perm(len(f.names))[:knownAtRestart] {
			if other := f.names[i]; other != name {
				c.table.Merge(f.now, []membership.Member{f.cores[other].table.Self()})
			}
		}
		f.cores[name], f.fetches[name], f.lastHeld[name] = c, 0, 0
		f.startedAt[name] = f.now.Add(restartTime)
		generation := f.generation[name]
		f.after(restartTime, func() {
			if f.generation[name] == generation {
				f.start(name)
			}
		})
	}
}

// late returns, for the daemons that ran all the time and never stood still, the longest time until one
// of them held a version, and the number of those that held one too late.
func (f *fleet) late(within time.Duration) (longest time.Duration, late int) {
	for revision, at := range f.written {
		if at.Equal(epoch) {
			continue
		}
		for _, name := range f.names {
			if !f.startedAt[name].IsZero() || !f.frozenUntil[name].IsZero() {
				continue
			}
			took := f.now.Sub(at)
			if held := f.heldAt[revision][name]; !held.IsZero() {
				took = held.Sub(at)
			}
			longest = max(longest, took)
			if took > within {
				late++
			}
		}
	}
	return longest, late
}
