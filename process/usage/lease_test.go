package usage

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

const testLease = 3 * time.Second

var epoch = time.Unix(1_700_000_000, 0)

// modelStore is a topic of a store that can be restored from a copy.
type modelStore struct {
	era     int64
	records [][]byte
}

func (s *modelStore) newest() Newest {
	n := Newest{Position: Position{s.era, int64(len(s.records))}}
	if len(s.records) > 0 {
		n.Offset, n.Data = n.End-1, s.records[n.End-1]
	}
	return n
}

func (s *modelStore) append(at Position, data []byte) error {
	if at.End != int64(len(s.records)) {
		return ErrConflict
	}
	s.records = append(s.records, data)
	if at.Era != s.era {
		return ErrConflict // the record is there, and not in force
	}
	return nil
}

// modelDaemon runs a Lease by a clock of its own.
type modelDaemon struct {
	name        string
	lease       *Lease
	offset      time.Duration
	rate        float64
	pausedUntil time.Time
	// call is the call to the store in flight.
	call *modelCall
}

type modelCall struct {
	step             Step
	sentAt           time.Time
	effectAt, doneAt time.Time
	noEffect, lost   bool
	newest           Newest
	err              error
}

func (d *modelDaemon) now(t time.Time) time.Time {
	return epoch.Add(d.offset + time.Duration(d.rate*float64(t.Sub(epoch))))
}

// leaseModel runs several daemons against one store, with faults, and checks the rules of
// the holders and their tokens each time one acts.
type leaseModel struct {
	t       *testing.T
	rnd     *rand.Rand
	store   modelStore
	copies  [][][]byte
	daemons []*modelDaemon
	// late holds the appends whose effect is delayed beyond the answer.
	late     []*modelCall
	downTill time.Time
	restores bool

	starts  int
	token   int64
	holders map[int64]string
	acted   map[string]time.Time
	last    string
	changes int
	counts  map[int64]WindowCounts
}

func (m *leaseModel) start(name string) *Lease {
	m.starts++
	return &Lease{Name: name, Process: fmt.Sprint(name, "/", m.starts), Period: testLease}
}

func (m *leaseModel) duration(most time.Duration) time.Duration {
	return time.Duration(m.rnd.Int64N(int64(most)))
}

// begin starts a call with a random fate.
func (m *leaseModel) begin(t time.Time, d *modelDaemon, step Step, faults bool) {
	took := 2*time.Millisecond + m.duration(20*time.Millisecond)
	c := &modelCall{step: step, sentAt: d.now(t), effectAt: t.Add(took / 2), doneAt: t.Add(took)}
	timeout := t.Add(testLease / storePart)
	if faults {
		switch m.rnd.IntN(14) {
		case 0:
			c.noEffect, c.lost, c.doneAt = true, true, timeout
		case 1:
			c.lost, c.doneAt = true, timeout
		case 2:
			c.lost, c.doneAt, c.effectAt = true, timeout, t.Add(m.duration(2*testLease))
		case 3:
			c.effectAt = t.Add(m.duration(testLease / storePart))
			c.doneAt = timeout
		}
	}
	if t.Before(m.downTill) {
		c.noEffect, c.lost, c.err = true, false, ErrNotWritten
	}
	m.late = append(m.late, c)
	d.call = c
}

func (m *leaseModel) effects(t time.Time) {
	kept := m.late[:0]
	for _, c := range m.late {
		if t.Before(c.effectAt) {
			kept = append(kept, c)
			continue
		}
		switch {
		case c.noEffect:
		case c.step.Kind == StepRead:
			c.newest = m.store.newest()
		default:
			data, err := json.Marshal(c.step.Record)
			if err != nil {
				m.t.Fatal(err)
			}
			c.err = m.store.append(c.step.At, data)
		}
	}
	m.late = kept
}

func (m *leaseModel) finish(t time.Time, d *modelDaemon) {
	c := d.call
	d.call = nil
	err := c.err
	if c.lost {
		err = errors.New("no answer")
	}
	if c.step.Kind == StepRead {
		d.lease.Read(d.now(t), c.newest, err)
		return
	}
	d.lease.Appended(c.sentAt, d.now(t), c.step.Record, err)
}

// act checks the rules when a daemon acts.
func (m *leaseModel) act(t time.Time, d *modelDaemon) {
	g := d.lease.Grant()
	if g == nil || !g.Allows(g.Token, d.now(t)) {
		return
	}
	if g.Token < m.token {
		m.t.Fatalf("%v: %s acts with token %d after %d", t.Sub(epoch), d.name, g.Token, m.token)
	}
	if other, ok := m.holders[g.Token]; ok && other != d.lease.Process {
		m.t.Fatalf("%v: %s and %s act with token %d", t.Sub(epoch), other, d.lease.Process, g.Token)
	}
	if at, again := m.acted[d.name]; again && m.last != d.name {
		if since := t.Sub(m.acted[m.last]); since < testLease {
			m.t.Fatalf("%v: %s acts again %v after %s, and %v after itself", t.Sub(epoch), d.name, since, m.last, t.Sub(at))
		}
	}
	if m.last != d.name {
		m.changes++
	}
	m.token, m.last = g.Token, d.name
	m.holders[g.Token], m.acted[d.name] = d.lease.Process, t
	for _, w := range d.lease.reports.Pending {
		if old, ok := m.counts[w.Window]; ok && !reflect.DeepEqual(old, w) && !m.restores {
			m.t.Fatalf("%v: %s reports %v after %v", t.Sub(epoch), d.name, w, old)
		}
		m.counts[w.Window] = w
		if m.rnd.IntN(20) == 0 {
			d.lease.reports.settle(w.Window)
		}
	}
	if up := d.lease.reports.UpTo; len(d.lease.proposed) == 0 && up < int64(t.Sub(epoch)/time.Second) {
		d.lease.Propose(WindowCounts{Window: up + 1, Counts: map[string]int64{d.lease.Process: m.rnd.Int64()}})
	}
}

// fault injects a random fault now and then.
func (m *leaseModel) fault(t time.Time) {
	d := m.daemons[m.rnd.IntN(len(m.daemons))]
	for _, other := range m.daemons {
		if other.name == m.last && m.rnd.IntN(2) == 0 {
			d = other // faults of the holder matter most
		}
	}
	switch m.rnd.IntN(5) {
	case 0:
		d.pausedUntil = t.Add(m.duration(3 * testLease))
	case 1: // killed and started again
		d.lease, d.call = m.start(d.name), nil
		d.pausedUntil = t.Add(m.duration(testLease))
	case 2:
		m.downTill = t.Add(m.duration(2 * testLease))
	case 3:
		m.copies = append(m.copies, append([][]byte(nil), m.store.records...))
	case 4:
		if m.restores && len(m.copies) > 0 {
			m.store.era++
			m.store.records = append([][]byte(nil), m.copies[m.rnd.IntN(len(m.copies))]...)
		}
	}
}

func (m *leaseModel) run(length time.Duration) {
	const tick = 4 * time.Millisecond
	calm := epoch.Add(length)
	end := calm.Add(6 * testLease)
	for t := epoch; t.Before(end); t = t.Add(tick) {
		faults := t.Before(calm)
		if faults && m.rnd.IntN(400) == 0 {
			m.fault(t)
		}
		if !faults && m.downTill.After(t) {
			m.downTill = t
		}
		m.effects(t)
		// The first candidate is the one before the last holder or the last.
		for i, d := range m.daemons {
			if t.Before(d.pausedUntil) && faults {
				continue
			}
			if d.call != nil && !t.Before(d.call.doneAt) {
				m.finish(t, d)
			}
			if d.call == nil {
				turn := Turn{Candidate: true, Rank: i, Leaving: faults && m.rnd.IntN(20_000) == 0}
				if step := d.lease.Step(d.now(t), turn); step.Kind != StepWait {
					m.begin(t, d, step, faults)
				}
			}
			m.act(t, d)
		}
	}
	if since := end.Sub(m.acted[m.last]); since > testLease {
		m.t.Errorf("nobody has acted for %v after the faults ended", since)
	}
}

// TestLeaseRules guards against two daemons that both believe to hold the lease: the clocks
// differ by hours and run apart by 1%; daemons are paused and killed at any time; appends
// are lost, take effect without an answer or seconds later; the store is down. The load is
// one report a second.
func TestLeaseRules(t *testing.T) {
	for _, restores := range []bool{false, true} {
		changes := 0
		for seed := range uint64(300) {
			m := &leaseModel{
				t: t, rnd: rand.New(rand.NewPCG(seed, 41)), restores: restores,
				holders: make(map[int64]string), acted: make(map[string]time.Time), counts: make(map[int64]WindowCounts),
			}
			m.store.era = 1
			for _, name := range []string{"a", "b", "c"} {
				m.daemons = append(m.daemons, &modelDaemon{
					name: name, lease: m.start(name), offset: m.duration(time.Hour), rate: 0.99 + 0.02*m.rnd.Float64(),
				})
			}
			m.run(90 * time.Second)
			if t.Failed() {
				t.Fatalf("seed %d, restores %t", seed, restores)
			}
			changes += m.changes
		}
		if changes < 500 {
			t.Errorf("got %d changes of the holder, want the lease to move often under these faults", changes)
		}
	}
}

// driveLease runs a lease alone against a store until a time.
func driveLease(l *Lease, s *modelStore, turn Turn, from, until time.Time) {
	for now := from; now.Before(until); now = now.Add(10 * time.Millisecond) {
		switch step := l.Step(now, turn); step.Kind {
		case StepRead:
			l.Read(now, s.newest(), nil)
		case StepAppend:
			data, _ := json.Marshal(step.Record)
			l.Appended(now, now, step.Record, s.append(step.At, data))
		}
	}
}

// TestLeaseCalls guards against calls to the store that are not needed: each is paid for.
func TestLeaseCalls(t *testing.T) {
	s := &modelStore{era: 1}
	holder, second, third := &Lease{Name: "a", Process: "a/1", Period: testLease}, &Lease{Name: "b", Process: "b/1", Period: testLease},
		&Lease{Name: "c", Process: "c/1", Period: testLease}
	driveLease(holder, s, Turn{Candidate: true}, epoch, epoch.Add(3*testLease))
	reads, appends := map[string]int{}, map[string]int{}
	const leases = 20
	for now := epoch.Add(3 * testLease); now.Before(epoch.Add((3 + leases) * testLease)); now = now.Add(10 * time.Millisecond) {
		for i, l := range []*Lease{holder, second, third} {
			switch step := l.Step(now, Turn{Candidate: true, Rank: max(0, i-1)}); step.Kind {
			case StepRead:
				reads[l.Name]++
				l.Read(now, s.newest(), nil)
			case StepAppend:
				appends[l.Name]++
				data, _ := json.Marshal(step.Record)
				l.Appended(now, now, step.Record, s.append(step.At, data))
			}
		}
	}
	if got := appends["a"]; got > renewalPart*leases+1 || reads["a"] > 0 {
		t.Errorf("the holder made %d appends and %d reads in %d leases, want %d appends", got, reads["a"], leases, renewalPart*leases)
	}
	if appends["b"]+appends["c"] > 0 || reads["b"] > leases+1 || reads["c"] > leases/2+1 {
		t.Errorf("candidates made %v reads and %v appends in %d leases", reads, appends, leases)
	}
}

// TestTokenRisesAfterRestore guards against a token that falls, or a report that changes,
// when the store comes back from a copy in which the offsets are lower.
func TestTokenRisesAfterRestore(t *testing.T) {
	s := &modelStore{era: 1}
	l := &Lease{Name: "a", Process: "a/1", Period: testLease}
	driveLease(l, s, Turn{Candidate: true}, epoch, epoch.Add(4*testLease))
	before := l.Grant()
	older := append([][]byte(nil), s.records...)
	fixed := WindowCounts{Window: 7, Counts: map[string]int64{"t": 3}}
	l.Propose(fixed)
	driveLease(l, s, Turn{Candidate: true}, epoch.Add(4*testLease), epoch.Add(5*testLease))
	s.era, s.records = 2, older
	driveLease(l, s, Turn{Candidate: true}, epoch.Add(5*testLease), epoch.Add(6*testLease))
	after := l.Grant()
	if before == nil || after == nil || after.Token <= before.Token {
		t.Fatalf("got grant %+v after the restore and %+v before, want a higher token", after, before)
	}
	var rec Record
	if err := json.Unmarshal(s.newest().Data, &rec); err != nil || len(rec.Reports.Pending) != 1 || !reflect.DeepEqual(rec.Reports.Pending[0], fixed) {
		t.Errorf("got reports %+v on the restored store, error %v, want %v", rec.Reports, err, fixed)
	}
}

// TestSameEndAfterRestore guards against a record that a restored store takes since its
// end is the same by chance: its writer must not act by it.
func TestSameEndAfterRestore(t *testing.T) {
	s := &modelStore{era: 1}
	a, b := &Lease{Name: "a", Process: "a/1", Period: testLease}, &Lease{Name: "b", Process: "b/1", Period: testLease}
	driveLease(a, s, Turn{Candidate: true}, epoch, epoch.Add(4*testLease))
	end := len(s.records)
	// The store is restored, and b holds the lease there when a comes back.
	s.era, s.records = 2, s.records[:end-5]
	now := epoch.Add(5 * testLease)
	driveLease(b, s, Turn{Candidate: true}, now, now.Add(3*testLease))
	for len(s.records) < end {
		data, _ := json.Marshal(b.append(func(*Record) {}).Record)
		b.position.End++
		s.records = append(s.records, data)
	}
	s.records = s.records[:end]
	now = now.Add(3 * testLease)
	step := a.Step(now, Turn{Candidate: true})
	if step.Kind != StepAppend || step.At.End != int64(end) {
		t.Fatalf("got %+v, want a renewal at the end %d", step, end)
	}
	data, _ := json.Marshal(step.Record)
	a.Appended(now, now, step.Record, s.append(step.At, data))
	if len(s.records) != end+1 {
		t.Fatalf("got %d records, want the renewal to be appended by chance", len(s.records))
	}
	a.Read(now, s.newest(), nil)
	if g := a.Grant(); g != nil {
		t.Errorf("got grant %+v by a record of an era that is over", g)
	}
}

// TestRestoreSeenTooLate guards against a holder that takes the lease again on a restored
// store after its time: another one may have acted in the part that the store has lost.
func TestRestoreSeenTooLate(t *testing.T) {
	s := &modelStore{era: 1}
	l := &Lease{Name: "a", Process: "a/1", Period: testLease}
	now := epoch.Add(4 * testLease)
	driveLease(l, s, Turn{Candidate: true}, epoch, now)
	s.era, s.records = 2, s.records[:1]
	l.Read(now, s.newest(), nil)
	if step := l.Step(now, Turn{Candidate: true}); step.Kind != StepAppend || step.Record.Token <= l.Grant().Token {
		t.Errorf("got %+v while the lease lasts, want it to be acquired in the new era", step)
	}
	if step := l.Step(now.Add(testLease), Turn{Candidate: true}); step.Kind == StepAppend || l.Grant() != nil {
		t.Errorf("got %+v and grant %+v after the lease, want none", step, l.Grant())
	}
}
