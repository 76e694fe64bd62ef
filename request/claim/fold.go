package claim

import (
	"bytes"
	"encoding/json"
	"slices"
	"time"
)

// Window is the number of offsets between the base of a batch and its own
// offset beyond which the batch has no effect. It bounds how long a delayed
// append can act, and with it the number of batch ids that a fold remembers.
const Window = 1024

// DefaultBodyLimit bounds the memory of one shard for stored bodies, in bytes. A
// daemon that owns all shards holds 64 MiB of bodies, half of the memory that a
// daemon may use.
const DefaultBodyLimit = 4 << 20

// storedOverhead is about the memory of a stored answer beside its body, in
// bytes: a slot in the map, which may be half empty, and its place in the order.
const storedOverhead = 256

// maxSkew is added to the lifetime of claims that a fold has not seen. It covers
// the rounding of deadlines and the skew between the clocks of log and daemons.
const maxSkew = 5 * time.Second

// A batch of carries holds at most carryItems keys, and about carryBytes of
// bodies, so that it does not delay the claims behind it for long.
const (
	carryItems = 2048
	carryBytes = 256 << 10
)

// Kind is the kind of an item.
type Kind string

// The kinds of items.
const (
	KindClaim   Kind = "claim"
	KindRelease Kind = "release"
	KindDone    Kind = "done"
	// KindCarry states the whole state of a key again.
	KindCarry Kind = "carry"
)

// Item is one operation on a key.
type Item struct {
	Kind  Kind `json:"kind"`
	Key   Hash `json:"key"`
	Claim Hash `json:"claim"`
	// Deadline is the end of the key's lifetime (claim, carry).
	Deadline time.Time `json:"deadline,omitzero"`
	// Stored is the answer (done; carry of a finished key).
	Stored *Stored `json:"stored,omitempty"`
	// Doubtful marks a carried key whose holder is not known.
	Doubtful bool `json:"doubtful,omitempty"`
}

// Batch is one record on the stream of a shard.
type Batch struct {
	Format int `json:"format"`
	// ID is the same in every append of one batch.
	ID Hash `json:"id"`
	// Base is the last offset that the writer had folded. The keys of its
	// claims were free there.
	Base int64 `json:"base"`
	// Covered is an offset: at Base, together with the carries of this batch,
	// every live key has a claim or carry there or later. Zero states nothing.
	Covered int64  `json:"covered,omitempty"`
	Items   []Item `json:"items"`
}

// Effect says what became of a batch or an item.
type Effect string

// The effects of batches and items.
const (
	// Applied means that the batch or item took effect.
	Applied Effect = "applied"
	// Lost means that the key is held by another claim or in another state.
	Lost Effect = "lost"
	// Doubtful means that the fold can't tell whether the claim won.
	Doubtful Effect = "doubtful"
	// Duplicate means that the batch was already applied.
	Duplicate Effect = "duplicate"
	// Stale means that the base of the batch or carry is too old.
	Stale Effect = "stale"
	// Skipped means a record that was already folded, or is malformed.
	Skipped Effect = "skipped"
	// Newer means a record of a newer release; nothing may be granted after it.
	Newer Effect = "newer"
	// Gap means that records before this one are missing; it was not folded.
	Gap Effect = "gap"
)

// Outcome is the result of folding one record.
type Outcome struct {
	Offset int64
	ID     Hash
	Effect Effect
	// Items holds the effect of each item of an applied batch.
	Items []Effect
}

// status is the state of a key.
type status uint8

const (
	claimed status = iota
	// doubt means that the key may be held by a claim that this fold has not
	// seen. It is never granted and a release does not free it.
	doubt
	finished
)

// entry is the state of one key. It has 32 bytes and no pointers, so that the
// garbage collector does not scan the map of keys.
type entry struct {
	claim  Hash
	offset int64 // of the claim or the last carry
	// deadline is the end of the lifetime in Unix seconds, rounded up.
	deadline uint32
	code     uint16 // HTTP status of the answer
	status   status
	cut      bool // the answer had a body, which is not in memory
}

// mark is the place of a batch on the stream.
type mark struct {
	id     Hash
	offset int64
}

// Fold is the state of one shard after a prefix of its stream. The zero value
// is the state of a stream from its beginning. Time is that of the log, so all
// folds drop a key at the same record; the log's times must not decrease.
//
// A fold may start after the beginning of the stream, when earlier records have
// expired. It may then miss claims, and it must not take a losing claim for the
// winner. Two rules keep it from that. Claims and releases count only if the
// fold has seen all records since the base of their batch, where the writer
// found the claimed keys free; otherwise the key is in doubt and taken until its
// deadline. And Complete tells whether every live key has been seen.
type Fold struct {
	// BodyLimit bounds the memory for stored bodies in bytes; zero means
	// DefaultBodyLimit. Beyond it the oldest are dropped and marked as truncated.
	BodyLimit int

	start   int64 // offsets before it were not seen; zero means 1
	startAt time.Time
	offset  int64
	covered int64
	now     time.Time
	newer   bool
	keys    map[Hash]entry
	batches map[Hash]int64
	recent  []mark
	stored  map[Hash]Stored // answers with a body
	kept    []Hash          // the keys of stored, oldest first; may repeat
	size    int             // of stored, in bytes
	applied int             // items since the last sweep
}

// NewFold returns a fold that starts at an offset, which was the oldest that the
// log retained at the given time.
func NewFold(first int64, at time.Time) *Fold {
	return &Fold{start: first, startAt: at, offset: first - 1}
}

// Offset returns the offset of the last folded record.
func (f *Fold) Offset() int64 { return f.offset }

// Len returns the number of keys in memory.
func (f *Fold) Len() int { return len(f.keys) }

// Complete tells whether the fold has seen every live key of the stream, given
// the longest lifetime of a key: from its beginning, or by a statement in a
// batch, or because the lifetime of all that came before its start has ended.
func (f *Fold) Complete(now time.Time, lifetime time.Duration) bool {
	if f.newer {
		return false
	}
	return f.start <= 1 || f.covered >= f.start || !now.Before(f.startAt.Add(lifetime+maxSkew))
}

// Apply folds one record. Records are folded in the order of their offsets.
func (f *Fold) Apply(offset int64, at time.Time, data []byte) (out Outcome) {
	switch {
	case offset <= f.offset:
		return Outcome{Effect: Skipped}
	case offset != f.offset+1:
		return Outcome{Effect: Gap}
	}
	f.offset = offset
	if f.offset == f.start && at.Before(f.startAt) {
		f.startAt = at
	}
	if at.After(f.now) {
		f.now = at
	}
	var b Batch
	err := json.Unmarshal(data, &b)
	if err != nil { // a newer format may have other types
		var header struct{ Format int }
		_ = json.Unmarshal(data, &header)
		b = Batch{Format: header.Format}
	}
	out = Outcome{Offset: offset, ID: b.ID}
	switch {
	case b.Format > Format:
		f.newer = true
		out.Effect = Newer
		return out
	case err != nil:
		out.Effect = Skipped
		return out
	}
	if offset-b.Base > Window || b.Base >= offset {
		out.Effect = Stale
		return out
	}
	if _, ok := f.batches[b.ID]; ok {
		out.Effect = Duplicate
		return out
	}
	f.remember(b.ID)
	if f.keys == nil {
		f.keys = make(map[Hash]entry)
	}
	out.Effect = Applied
	out.Items = make([]Effect, len(b.Items))
	for i := range b.Items {
		out.Items[i] = f.item(&b, &b.Items[i])
	}
	// Without a record in between, the statement holds at this offset. With one
	// in between, the carries had no effect and the statement may be wrong.
	if b.Base == offset-1 {
		f.covered = max(f.covered, b.Covered)
	}
	// A sweep costs as much as half a map of items, so that its mean cost per
	// item is constant.
	if f.applied += len(b.Items); f.applied > len(f.keys)/2+Window {
		f.Sweep()
	}
	return out
}

// item applies one item.
func (f *Fold) item(b *Batch, it *Item) Effect {
	e, held := f.live(it.Key)
	// Records between the base and this batch came before the fold's start.
	unseen := b.Base < f.start-1
	switch it.Kind {
	case KindClaim:
		deadline := unixCeil(it.Deadline)
		switch {
		case held && e.status == doubt:
			// The key is in doubt until the last deadline among all claims that
			// may hold it.
			e.deadline = max(e.deadline, deadline)
			f.keys[it.Key] = e
			return Doubtful
		case held:
			return Lost
		}
		e = entry{claim: it.Claim, offset: f.offset, deadline: deadline}
		if unseen {
			e.status = doubt
		}
		f.forget(it.Key) // of a lifetime that has ended
		f.keys[it.Key] = e
		if e.status == doubt {
			return Doubtful
		}
		return Applied
	case KindRelease:
		if !held || e.status != claimed || e.claim != it.Claim {
			return Lost
		}
		if unseen {
			// The batch may be the second copy of one that released before the
			// claim, without effect.
			e.status = doubt
			f.keys[it.Key] = e
			return Doubtful
		}
		delete(f.keys, it.Key)
		return Applied
	case KindDone:
		switch {
		case held && e.status == doubt:
			// The answer may be that of a claim whose lifetime ended before the
			// present holder claimed the key.
			return Doubtful
		case !held || it.Stored == nil || e.status == finished || e.claim != it.Claim:
			return Lost
		}
		e.status = finished
		f.keep(it.Key, &e, it.Stored)
		f.keys[it.Key] = e
		return Applied
	case KindCarry:
		if b.Base != f.offset-1 {
			return Stale
		}
		return f.carry(it, e, held)
	}
	f.newer = true
	return Newer
}

// carry applies a carry without any record between its base and itself. For a
// fold that has seen the key it changes nothing but the offset.
func (f *Fold) carry(it *Item, e entry, held bool) Effect {
	deadline := unixCeil(it.Deadline)
	switch {
	case it.Doubtful && held && e.status != doubt:
		return Lost // this fold knows more, and carries the key itself
	case it.Doubtful:
		e.status, e.deadline = doubt, max(e.deadline, deadline)
	case held && e.status == finished && e.claim == it.Claim:
		e.deadline = deadline
	default:
		f.forget(it.Key)
		e = entry{claim: it.Claim, deadline: deadline}
		if it.Stored != nil {
			e.status = finished
			f.keep(it.Key, &e, it.Stored)
		}
	}
	e.offset = f.offset
	f.keys[it.Key] = e
	return Applied
}

// live returns the entry of a key whose lifetime has not ended.
func (f *Fold) live(key Hash) (entry, bool) {
	e, ok := f.keys[key]
	if !ok || f.ended(e) {
		return entry{}, false
	}
	return e, true
}

func (f *Fold) ended(e entry) bool { return f.now.Unix() >= int64(e.deadline) }

// keep stores an answer within the limit of bodies.
func (f *Fold) keep(key Hash, e *entry, s *Stored) {
	f.forget(key)
	e.code, e.cut = uint16(s.Status), s.Truncated
	if len(s.Body) == 0 {
		return
	}
	limit := f.BodyLimit
	if limit == 0 {
		limit = DefaultBodyLimit
	}
	if f.stored == nil {
		f.stored = make(map[Hash]Stored)
	}
	f.stored[key] = *s
	f.size += s.memory()
	f.kept = append(f.kept, key)
	for f.size > limit && len(f.kept) > 1 {
		oldest := f.kept[0]
		f.kept = f.kept[1:]
		if old, ok := f.keys[oldest]; ok && f.forget(oldest) {
			old.cut = true
			f.keys[oldest] = old
		}
	}
	if _, ok := f.stored[key]; !ok {
		e.cut = true
	}
}

// forget drops the body of a key and tells whether there was one.
func (f *Fold) forget(key Hash) bool {
	s, ok := f.stored[key]
	if ok {
		f.size -= s.memory()
		delete(f.stored, key)
	}
	return ok
}

// memory returns about the bytes that the answer takes in a fold.
func (s *Stored) memory() int { return len(s.Body) + len(s.ContentType) + storedOverhead }

// answer returns the answer of a finished key.
func (f *Fold) answer(key Hash, e entry) Stored {
	if s, ok := f.stored[key]; ok {
		return s
	}
	return Stored{Status: int(e.code), Truncated: e.cut}
}

// remember notes the id of a batch and forgets those outside the window.
func (f *Fold) remember(id Hash) {
	if f.batches == nil {
		f.batches = make(map[Hash]int64)
	}
	f.batches[id] = f.offset
	f.recent = append(f.recent, mark{id: id, offset: f.offset})
	for f.offset-f.recent[0].offset > Window {
		delete(f.batches, f.recent[0].id)
		f.recent = f.recent[1:]
	}
}

// Sweep frees the memory of keys whose lifetime has ended.
func (f *Fold) Sweep() {
	f.applied = 0
	for key, e := range f.keys {
		if f.ended(e) {
			f.forget(key)
			delete(f.keys, key)
		}
	}
}

// Find returns what a claim of the key would meet; Granted means that the key
// is free.
func (f *Fold) Find(key Hash) Grant {
	e, held := f.live(key)
	switch {
	case !held:
		return Grant{Result: Granted}
	case e.status == finished:
		return Grant{Result: Done, Stored: f.answer(key, e)}
	}
	return Grant{Result: Taken}
}

// Old returns the live keys whose records are before an offset, and an offset
// from which the stream holds all other live keys.
func (f *Fold) Old(cutoff int64) (keys []Hash, floor int64) {
	floor = f.offset + 1
	for key, e := range f.keys {
		switch {
		case f.ended(e):
		case e.offset < cutoff:
			keys = append(keys, key)
		default:
			floor = min(floor, e.offset)
		}
	}
	slices.SortFunc(keys, func(a, b Hash) int { return bytes.Compare(a[:], b[:]) })
	return keys, floor
}

// Carry returns the carry items for the first of the given keys, as many as one
// batch may hold, and the keys that remain. Keys that have ended or whose
// records are not before cutoff need none.
func (f *Fold) Carry(keys []Hash, cutoff int64) (items []Item, rest []Hash) {
	size := 0
	for i, key := range keys {
		if len(items) >= carryItems || size >= carryBytes {
			return items, keys[i:]
		}
		e, held := f.live(key)
		if !held || e.offset >= cutoff {
			continue
		}
		it := Item{
			Kind: KindCarry, Key: key, Claim: e.claim,
			Deadline: time.Unix(int64(e.deadline), 0).UTC(), Doubtful: e.status == doubt,
		}
		if e.status == finished {
			stored := f.answer(key, e)
			it.Stored = &stored
			size += len(stored.Body)
		}
		items = append(items, it)
	}
	return items, nil
}

func unixCeil(t time.Time) uint32 {
	return uint32(max(0, t.Add(time.Second-1).Unix()))
}
