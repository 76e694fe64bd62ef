package claim

import (
	"bytes"
	"encoding/json"
	"slices"
	"time"
)

// MaxBaseLag is the number of offsets between the base of a batch and its own
// offset beyond which the batch has no effect. It bounds how late a delayed
// append can take effect, and the number of batch ids that a fold holds to
// detect duplicates.
const MaxBaseLag = 1024

// DefaultBodyLimit bounds the memory of one shard for stored bodies, in bytes. A
// daemon that owns all shards holds at most 64 MiB of bodies, half of the memory
// that a daemon may use.
const DefaultBodyLimit = 4 << 20

// storedOverheadBytes is the approximate memory of a stored answer without its
// body: an element of the map, which may be half empty, and one of storedOrder.
const storedOverheadBytes = 256

// maxClockSkew is added to the lifetime of claims that a fold has not seen. It
// covers the rounding of deadlines and the clock skew between the log and the
// daemons.
const maxClockSkew = 5 * time.Second

// Limits of one batch of carry items: the number of keys and the approximate
// size of the bodies. They bound the delay of the claims queued behind it.
const (
	maxCarryItems = 2048
	maxCarryBytes = 256 << 10
)

// Kind is the kind of an item.
type Kind string

// The kinds of items.
const (
	KindClaim   Kind = "claim"
	KindRelease Kind = "release"
	KindDone    Kind = "done"
	// KindCarry repeats the whole state of a key in a newer record, before the
	// log expires the older one.
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
	// Doubtful marks a carried key whose holder is unknown.
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
	// Covered is an offset such that, at Base and with the carry items of this
	// batch, every live key has a claim or carry at Covered or later. Zero means
	// that the writer does not know one.
	Covered int64  `json:"covered,omitempty"`
	Items   []Item `json:"items"`
}

// Effect is the effect of a batch or an item on a fold.
type Effect string

// The effects of batches and items.
const (
	// Applied means that the batch or item took effect.
	Applied Effect = "applied"
	// Lost means that the key is held by another claim or in another state.
	Lost Effect = "lost"
	// Doubtful means that the fold cannot determine whether the claim won.
	Doubtful Effect = "doubtful"
	// Duplicate means that the batch was already applied.
	Duplicate Effect = "duplicate"
	// Stale means that the base of the batch or carry is too old.
	Stale Effect = "stale"
	// Skipped means that the record was already folded, or is malformed.
	Skipped Effect = "skipped"
	// Newer means that a newer release wrote the record; nothing may be granted
	// after it.
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
	// inDoubt means that a claim that this fold has not seen may hold the key.
	// The key is not granted and a release does not free it.
	inDoubt
	finished
)

// keyState is the state of one key. It has 32 bytes and no pointers, so that the
// garbage collector does not scan the map of keys.
type keyState struct {
	claim  Hash
	offset int64 // of the claim or the last carry
	// deadline is the end of the lifetime in Unix seconds, rounded up.
	deadline    uint32
	httpStatus  uint16 // HTTP status of the answer
	status      status
	bodyDropped bool // the answer had a body, which is not in memory
}

// batchOffset is the offset of an applied batch.
type batchOffset struct {
	id     Hash
	offset int64
}

// Fold is the state of one shard after a prefix of its stream. The zero value
// is the state before the first record of a stream. A fold uses the timestamps
// of the log, so all folds drop a key at the same record; the timestamps must
// not decrease.
//
// A fold may start after the beginning of the stream, when earlier records have
// expired. It may then miss claims, and it must not mistake a losing claim for
// the winner. Two rules prevent this. Claims and releases take effect only if
// the fold has seen all records since the base of their batch, where the writer
// found the claimed keys free; otherwise the key is in doubt, and counts as
// taken until its deadline. And Complete reports whether the fold has seen every
// live key.
type Fold struct {
	// BodyLimit bounds the memory for stored bodies in bytes; zero means
	// DefaultBodyLimit. Above it the fold drops the oldest bodies and marks their
	// answers as truncated.
	BodyLimit int

	start         int64 // first offset of the fold; zero means 1
	startAt       time.Time
	offset        int64
	covered       int64
	now           time.Time
	newer         bool
	keys          map[Hash]keyState
	batches       map[Hash]int64
	recentBatches []batchOffset
	stored        map[Hash]Stored // answers with a body, by key
	storedOrder   []Hash          // the keys of stored, oldest first; may repeat
	storedBytes   int             // memory of stored
	sinceSweep    int             // items applied since the last sweep
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

// Complete reports whether the fold has seen every live key of the stream, given
// the longest lifetime of a key. It has if it started at the beginning of the
// stream, if a batch has a Covered offset at or after its start, or if the
// lifetime of all keys from before its start has ended.
func (f *Fold) Complete(now time.Time, lifetime time.Duration) bool {
	if f.newer {
		return false
	}
	return f.start <= 1 || f.covered >= f.start || !now.Before(f.startAt.Add(lifetime+maxClockSkew))
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
	if offset-b.Base > MaxBaseLag || b.Base >= offset {
		out.Effect = Stale
		return out
	}
	if _, ok := f.batches[b.ID]; ok {
		out.Effect = Duplicate
		return out
	}
	f.addBatchID(b.ID)
	if f.keys == nil {
		f.keys = make(map[Hash]keyState)
	}
	out.Effect = Applied
	out.Items = make([]Effect, len(b.Items))
	for i := range b.Items {
		out.Items[i] = f.applyItem(&b, &b.Items[i])
	}
	// Covered holds at this offset only if no record lies between the base and
	// the batch. Otherwise the carry items had no effect and Covered may be wrong.
	if b.Base == offset-1 {
		f.covered = max(f.covered, b.Covered)
	}
	// A sweep visits all keys. With at least half as many items applied between
	// two sweeps, the amortized cost per item is constant.
	if f.sinceSweep += len(b.Items); f.sinceSweep > len(f.keys)/2+MaxBaseLag {
		f.Sweep()
	}
	return out
}

// applyItem applies one item of a batch.
func (f *Fold) applyItem(b *Batch, it *Item) Effect {
	e, held := f.live(it.Key)
	// Some records between the base and this batch precede the fold's start.
	unseen := b.Base < f.start-1
	switch it.Kind {
	case KindClaim:
		deadline := unixCeil(it.Deadline)
		switch {
		case held && e.status == inDoubt:
			// The key stays in doubt until the latest deadline of all claims that
			// may hold it.
			e.deadline = max(e.deadline, deadline)
			f.keys[it.Key] = e
			return Doubtful
		case held:
			return Lost
		}
		e = keyState{claim: it.Claim, offset: f.offset, deadline: deadline}
		if unseen {
			e.status = inDoubt
		}
		f.dropBody(it.Key) // the body of an expired lifetime
		f.keys[it.Key] = e
		if e.status == inDoubt {
			return Doubtful
		}
		return Applied
	case KindRelease:
		if !held || e.status != claimed || e.claim != it.Claim {
			return Lost
		}
		if unseen {
			// The batch may be a duplicate, whose first copy precedes the claim
			// and so had no effect.
			e.status = inDoubt
			f.keys[it.Key] = e
			return Doubtful
		}
		delete(f.keys, it.Key)
		return Applied
	case KindDone:
		switch {
		case held && e.status == inDoubt:
			// The answer may belong to a claim whose lifetime ended before the
			// current holder claimed the key.
			return Doubtful
		case !held || it.Stored == nil || e.status == finished || e.claim != it.Claim:
			return Lost
		}
		e.status = finished
		f.storeAnswer(it.Key, &e, it.Stored)
		f.keys[it.Key] = e
		return Applied
	case KindCarry:
		if b.Base != f.offset-1 {
			return Stale
		}
		return f.applyCarry(it, e, held)
	}
	f.newer = true
	return Newer
}

// applyCarry applies a carry item of a batch that directly follows its base. In
// a fold that has seen the key, it changes only the offset.
func (f *Fold) applyCarry(it *Item, e keyState, held bool) Effect {
	deadline := unixCeil(it.Deadline)
	switch {
	case it.Doubtful && held && e.status != inDoubt:
		return Lost // this fold knows the holder, and its writer carries the key itself
	case it.Doubtful:
		e.status, e.deadline = inDoubt, max(e.deadline, deadline)
	case held && e.status == finished && e.claim == it.Claim:
		e.deadline = deadline
	default:
		f.dropBody(it.Key)
		e = keyState{claim: it.Claim, deadline: deadline}
		if it.Stored != nil {
			e.status = finished
			f.storeAnswer(it.Key, &e, it.Stored)
		}
	}
	e.offset = f.offset
	f.keys[it.Key] = e
	return Applied
}

// live returns the state of a key whose lifetime has not ended.
func (f *Fold) live(key Hash) (keyState, bool) {
	e, ok := f.keys[key]
	if !ok || f.expired(e) {
		return keyState{}, false
	}
	return e, true
}

func (f *Fold) expired(e keyState) bool { return f.now.Unix() >= int64(e.deadline) }

// storeAnswer stores an answer and drops the oldest bodies above BodyLimit.
func (f *Fold) storeAnswer(key Hash, e *keyState, s *Stored) {
	f.dropBody(key)
	e.httpStatus, e.bodyDropped = uint16(s.Status), s.Truncated
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
	f.storedBytes += s.memoryBytes()
	f.storedOrder = append(f.storedOrder, key)
	for f.storedBytes > limit && len(f.storedOrder) > 1 {
		oldest := f.storedOrder[0]
		f.storedOrder = f.storedOrder[1:]
		if old, ok := f.keys[oldest]; ok && f.dropBody(oldest) {
			old.bodyDropped = true
			f.keys[oldest] = old
		}
	}
	if _, ok := f.stored[key]; !ok {
		e.bodyDropped = true
	}
}

// dropBody drops the body of a key and reports whether there was one.
func (f *Fold) dropBody(key Hash) bool {
	s, ok := f.stored[key]
	if ok {
		f.storedBytes -= s.memoryBytes()
		delete(f.stored, key)
	}
	return ok
}

// memoryBytes returns the approximate memory of the answer in a fold.
func (s *Stored) memoryBytes() int { return len(s.Body) + len(s.ContentType) + storedOverheadBytes }

// answer returns the answer of a finished key.
func (f *Fold) answer(key Hash, e keyState) Stored {
	if s, ok := f.stored[key]; ok {
		return s
	}
	return Stored{Status: int(e.httpStatus), Truncated: e.bodyDropped}
}

// addBatchID records the id of a batch and drops those older than MaxBaseLag.
func (f *Fold) addBatchID(id Hash) {
	if f.batches == nil {
		f.batches = make(map[Hash]int64)
	}
	f.batches[id] = f.offset
	f.recentBatches = append(f.recentBatches, batchOffset{id: id, offset: f.offset})
	for f.offset-f.recentBatches[0].offset > MaxBaseLag {
		delete(f.batches, f.recentBatches[0].id)
		f.recentBatches = f.recentBatches[1:]
	}
}

// Sweep frees the memory of keys whose lifetime has ended.
func (f *Fold) Sweep() {
	f.sinceSweep = 0
	for key, e := range f.keys {
		if f.expired(e) {
			f.dropBody(key)
			delete(f.keys, key)
		}
	}
}

// Find returns the result that a claim of the key would have at the current
// offset; Granted means that the key is free.
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

// KeysBefore returns the live keys whose records are before cutoff, and an
// offset from which the stream contains all other live keys.
func (f *Fold) KeysBefore(cutoff int64) (keys []Hash, floor int64) {
	floor = f.offset + 1
	for key, e := range f.keys {
		switch {
		case f.expired(e):
		case e.offset < cutoff:
			keys = append(keys, key)
		default:
			floor = min(floor, e.offset)
		}
	}
	slices.SortFunc(keys, func(a, b Hash) int { return bytes.Compare(a[:], b[:]) })
	return keys, floor
}

// CarryItems returns carry items for as many of the given keys as one batch may
// hold, and the remaining keys. It skips keys that have expired or whose records
// are not before cutoff.
func (f *Fold) CarryItems(keys []Hash, cutoff int64) (items []Item, rest []Hash) {
	size := 0
	for i, key := range keys {
		if len(items) >= maxCarryItems || size >= maxCarryBytes {
			return items, keys[i:]
		}
		e, held := f.live(key)
		if !held || e.offset >= cutoff {
			continue
		}
		it := Item{
			Kind: KindCarry, Key: key, Claim: e.claim,
			Deadline: time.Unix(int64(e.deadline), 0).UTC(), Doubtful: e.status == inDoubt,
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
