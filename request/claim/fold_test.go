package claim

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// modelWriter is a writer without a log client: a fold that may lag behind the
// stream, and the claims that it has appended.
type modelWriter struct {
	fold   *Fold
	floor  int64
	claims []Item // appended, outcome unknown
	grants []Item
}

// pick removes each item with the probability of one in n and returns them.
func (m *model) pick(items *[]Item, n int) (out []Item) {
	*items = slices.DeleteFunc(*items, func(it Item) bool {
		if m.rng.IntN(n) > 0 {
			return false
		}
		out = append(out, it)
		return true
	})
	return out
}

// model is a stream with several writers, and the fold of the whole stream.
type model struct {
	rng       *rand.Rand
	now       time.Time
	lifetime  time.Duration
	first     int64
	records   [][]byte
	at        []time.Time
	reference Fold
	states    []map[Hash]keyState // of reference after each offset
	writers   []*modelWriter
	inFlight  [][]byte // appends that take effect later
	ids       int
	held      map[Hash]Hash // claim by key, granted and not released
	heldUntil map[Hash]time.Time
	grants    int
	resets    int
}

func (m *model) id(prefix string) Hash {
	m.ids++
	return HashOf(fmt.Sprint(prefix, m.ids))
}

// live returns the state of the keys whose lifetime has not ended.
func live(f *Fold) map[Hash]keyState {
	out := make(map[Hash]keyState)
	for key := range f.keys {
		if e, ok := f.live(key); ok {
			out[key] = e
		}
	}
	return out
}

func (m *model) append(data []byte) {
	m.records, m.at = append(m.records, data), append(m.at, m.now)
	m.reference.Apply(int64(len(m.records)), m.now, data)
	m.states = append(m.states, live(&m.reference))
}

// catchUp folds up to n records and compares the state with that of the whole
// stream.
func (m *model) catchUp(w *modelWriter, n int) error {
	for ; n > 0; n-- {
		offset := w.fold.Offset() + 1
		if offset < m.first {
			w.fold, w.floor = NewFold(m.first, m.now), 0
			m.resets++
			continue
		}
		if offset > int64(len(m.records)) {
			break
		}
		data, at := m.records[offset-1], m.at[offset-1]
		complete := w.fold.Complete(m.now, m.lifetime)
		out := w.fold.Apply(offset, at, data)
		var b Batch
		_ = json.Unmarshal(data, &b)
		for i, effect := range out.Items {
			it := b.Items[i]
			k := slices.IndexFunc(w.claims, func(c Item) bool { return c.Claim == it.Claim })
			if it.Kind != KindClaim || k < 0 {
				continue
			}
			w.claims = slices.Delete(w.claims, k, k+1)
			// After the deadline another claim may have won at an offset that
			// this fold has not reached. RunBy prevents a late writer from
			// granting.
			if effect != Applied || !complete || !m.now.Before(it.Deadline) {
				continue
			}
			// The writer grants the claim.
			if other, ok := m.held[it.Key]; ok && at.Before(m.heldUntil[it.Key]) {
				return fmt.Errorf("offset %d: key granted while claim %v holds it", offset, other)
			}
			m.held[it.Key], m.heldUntil[it.Key] = it.Claim, it.Deadline
			w.grants = append(w.grants, it)
			m.grants++
		}
	}
	if offset := w.fold.Offset(); offset > 0 && w.fold.Complete(m.now, m.lifetime) {
		want := m.states[offset-1]
		got := live(w.fold)
		for key, e := range want {
			if m.now.Unix() >= int64(e.deadline) {
				continue // a claim that is appended now finds the key free
			}
			g, ok := got[key]
			if !ok {
				return fmt.Errorf("offset %d: key is free, want held by %v", offset, e.claim)
			}
			if g.status != inDoubt && (g.claim != e.claim || g.deadline != e.deadline) {
				return fmt.Errorf("offset %d: key held by %v until %d, want %v until %d", offset, g.claim, g.deadline, e.claim, e.deadline)
			}
		}
	}
	return nil
}

// write sends one batch with claims, releases and answers.
func (m *model) write(w *modelWriter) {
	b := Batch{Format: Format, ID: m.id("batch"), Base: w.fold.Offset()}
	complete := w.fold.Complete(m.now, m.lifetime)
	if complete {
		b.Covered = max(w.floor, w.fold.covered, w.fold.start, 1)
	}
	for range m.rng.IntN(4) {
		key := HashOf(fmt.Sprint("key", m.rng.IntN(3)))
		if w.fold.Find(key).Result != Granted || !complete {
			continue
		}
		it := Item{Kind: KindClaim, Key: key, Claim: m.id("claim"), Deadline: m.now.Add(m.lifetime)}
		w.claims = append(w.claims, it)
		b.Items = append(b.Items, it)
	}
	// Claims whose requester has given up are released, whatever their outcome;
	// grants are released or finished.
	for _, it := range m.pick(&w.claims, 4) {
		b.Items = append(b.Items, Item{Kind: KindRelease, Key: it.Key, Claim: it.Claim})
	}
	for _, it := range m.pick(&w.grants, 4) {
		if m.rng.IntN(2) == 0 {
			b.Items = append(b.Items, Item{Kind: KindDone, Key: it.Key, Claim: it.Claim, Stored: &Stored{Status: 200}})
			continue
		}
		if m.held[it.Key] == it.Claim {
			delete(m.held, it.Key)
		}
		b.Items = append(b.Items, Item{Kind: KindRelease, Key: it.Key, Claim: it.Claim})
	}
	m.send(&b)
}

// carry sends a batch with carry items of old keys.
func (m *model) carry(w *modelWriter) {
	if !w.fold.Complete(m.now, m.lifetime) {
		return
	}
	cut := w.fold.Offset() + 1 - int64(m.rng.IntN(20))
	keys, floor := w.fold.KeysBefore(cut)
	b := Batch{Format: Format, ID: m.id("batch"), Base: w.fold.Offset(), Covered: floor}
	b.Items, _ = w.fold.CarryItems(keys, cut)
	m.send(&b)
}

func (m *model) send(b *Batch) {
	data, _ := json.Marshal(b)
	switch m.rng.IntN(6) {
	case 0: // takes effect later
		m.inFlight = append(m.inFlight, data)
	case 1: // takes effect twice
		m.append(data)
		m.inFlight = append(m.inFlight, data)
	default:
		m.append(data)
	}
}

func (m *model) step() error {
	m.now = m.now.Add(time.Duration(m.rng.IntN(2000)) * time.Millisecond)
	i := m.rng.IntN(len(m.writers))
	w := m.writers[i]
	switch m.rng.IntN(12) {
	case 0: // the log expires records, also those of keys not yet carried
		m.first += int64(m.rng.IntN(int(int64(len(m.records)) + 2 - m.first)))
	case 1:
		m.first = max(m.first, int64(len(m.records))-int64(m.rng.IntN(10)))
	case 2: // the writer is replaced
		m.writers[i] = &modelWriter{fold: NewFold(1, m.now)}
	case 3, 4:
		return m.catchUp(w, m.rng.IntN(10))
	case 5:
		if n := len(m.inFlight); n > 0 {
			k := m.rng.IntN(n)
			m.append(m.inFlight[k])
			m.inFlight = append(m.inFlight[:k], m.inFlight[k+1:]...)
		}
	case 6, 7:
		if err := m.catchUp(w, len(m.records)+1); err != nil {
			return err
		}
		m.carry(w)
	default:
		if m.rng.IntN(3) > 0 {
			if err := m.catchUp(w, len(m.records)+1); err != nil {
				return err
			}
		}
		m.write(w)
	}
	return nil
}

// Guards against two folds of one stream that determine different winners
// because one of them started after records had expired.
func TestFoldWithoutBeginning(t *testing.T) {
	grants, resets := 0, 0
	check(t, 5000, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		steps := rapid.IntRange(1, 200).Draw(rt, "steps")
		m := &model{
			rng: rand.New(rand.NewPCG(seed, 2)), now: time.Unix(1_700_000_000, 0), first: 1,
			held: make(map[Hash]Hash), heldUntil: make(map[Hash]time.Time),
		}
		m.lifetime = time.Duration(10+m.rng.IntN(200)) * time.Second
		for range 3 {
			m.writers = append(m.writers, &modelWriter{fold: NewFold(1, m.now)})
		}
		for n := range steps {
			if err := m.step(); err != nil {
				rt.Fatalf("step %d: %v", n, err)
			}
		}
		grants += m.grants
		resets += m.resets
	})
	t.Logf("%d grants, %d folds without beginning", grants, resets)
	if grants == 0 || resets == 0 {
		t.Errorf("the random streams have no grant or no fold without beginning")
	}
}
