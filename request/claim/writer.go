package claim

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/kingcuppitch/kingcuppitch/connection/log"
	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"
)

const (
	// maxQueue bounds the operations queued in a writer. Finishes stay queued
	// during an outage of the log; with the largest bodies they take 16 MiB.
	maxQueue = 4096
	// defaultMaxKeys is just below the number of keys at which the map of keys
	// grows.
	defaultMaxKeys = 400_000
	// defaultAppendsPerSecond is the rate of one writer. All shards share four
	// fifths of the 300 appends per second that the log accepts; the rest is for
	// other streams. Without a limit, 16 writers with a batch delay of 20 ms
	// exceed 300 appends per second at 1,000 claims per second, and the log
	// refuses a third of the claims.
	defaultAppendsPerSecond = 240.0 / Shards
	// appendBurst lets a writer under low load append without delay.
	appendBurst = 2
	// maxFoldAge is the age up to which a writer builds a batch on its fold
	// without reading the stream first. An older fold may lack records of
	// another writer.
	maxFoldAge = time.Second
	// initialBackoff and maxBackoff bound the pause between attempts while the
	// log does not answer. Claims are refused until an attempt succeeds, so the
	// pause is short.
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
	// carryChecksPerRetention is the number of times that a writer checks for
	// keys to carry while the log retains a record.
	carryChecksPerRetention = 16
)

// Option sets an option of a Writer.
type Option func(*options)

type options struct {
	lifetime, runWithin, batchDelay, retainAge, timeout time.Duration
	batchItems, maxKeys, bodyBytes                      int
	retainRecords                                       int64
	rate                                                float64
	jitter                                              float64 // randomization factor of the backoff
}

// WithLifetime sets the lifetime of a key, 24 h by default. All writers of a
// deployment use the same lifetime, because a fold that starts after the
// beginning of its stream relies on it. A quarter of the lifetime bounds the
// time to start a run (WithRunWithin).
func WithLifetime(d time.Duration) Option { return func(o *options) { o.lifetime = d } }

// WithRunWithin sets the time between the append of a claim and RunBy, 10 s by
// default.
func WithRunWithin(d time.Duration) Option { return func(o *options) { o.runWithin = d } }

// WithBatching sets how long a writer collects items for a batch and the maximum
// number of items in a batch, 20 ms and 512 by default.
func WithBatching(d time.Duration, items int) Option {
	return func(o *options) { o.batchDelay, o.batchItems = d, items }
}

// WithRate sets the mean number of appends per second, 15 by default. Above this
// rate a writer delays the append and collects a larger batch.
func WithRate(perSecond float64) Option { return func(o *options) { o.rate = perSecond } }

// WithRetention sets the minimum retention of the log: it retains a record that
// is younger than age and followed by fewer than the given number of records,
// 10 min and 2,048 records by default.
func WithRetention(age time.Duration, records int64) Option {
	return func(o *options) { o.retainAge, o.retainRecords = age, records }
}

// WithTimeout sets the time after which an append or read counts as unanswered,
// 1 s by default.
func WithTimeout(d time.Duration) Option { return func(o *options) { o.timeout = d } }

// WithLimits sets the number of keys at which claims are refused, 400,000 by
// default, and the memory for stored bodies in bytes, DefaultBodyLimit by
// default.
func WithLimits(keys, bodies int) Option {
	return func(o *options) { o.maxKeys, o.bodyBytes = keys, bodies }
}

// Stats are the counters of a writer since its start, and its number of keys.
type Stats struct {
	Appends, Claims, Granted, Carried, Keys int64
}

// Writer appends the claims of one shard and grants them.
type Writer struct {
	log    log.Log
	stream string
	opts   options
	ctx    context.Context
	cancel context.CancelFunc
	wake   chan struct{}
	exited chan struct{}

	mu          sync.Mutex
	queue       []*op
	pending     map[Hash]*op       // undecided claims, by claim id
	granted     map[grantKey]Grant // grants whose RunBy has not passed
	released    map[Hash]time.Time // released claim ids, with the time to forget them
	unavailable bool
	closed      bool
	stats       Stats

	// Only the goroutine of run uses the fields below.
	fold          *Fold
	readAt        time.Time // start of the last read that reached the end of the stream
	oldestOffset  int64     // oldest retained offset
	coveredFrom   int64     // the stream contains all live keys from it on
	lastCoveredAt int64     // offset of this writer's last batch with Covered
	recordTimes   []recordTime
	pruneAt       time.Time
	retry         *backoff.ExponentialBackOff
	limit         *rate.Limiter
	// awaitedID is the batch that the writer has appended and waits to fold;
	// awaitedFound and awaitedOutcome are set once it is folded.
	awaitedID      Hash
	awaitedFound   bool
	awaitedOutcome Outcome
	// carryKeys are the keys that remain to be carried: those with a record
	// before carryCutoff. The stream contains all others from carryFloor on.
	carryKeys               []Hash
	carryCutoff, carryFloor int64
}

// grantKey identifies a grant.
type grantKey struct{ key, claim Hash }

// recordTime is the time of a record. A sample of the records is kept to find
// the offset before which all records exceed an age.
type recordTime struct {
	offset int64
	at     time.Time
}

// op is one operation that waits in a writer.
type op struct {
	item    Item
	at      time.Time
	waiters int // zero if every requester has given up
	decided bool
	grant   Grant
	err     error
	done    chan struct{}
}

// NewWriter returns a writer of one shard and starts it. The writer folds the
// retained stream before it grants anything. It carries keys until it is closed,
// so the owner of a shard keeps its writer open.
func NewWriter(log log.Log, shard int, opts ...Option) *Writer {
	o := options{
		lifetime: DefaultLifetime, runWithin: 10 * time.Second,
		batchDelay: 20 * time.Millisecond, batchItems: 512,
		retainAge: 10 * time.Minute, retainRecords: 2048,
		timeout: time.Second, maxKeys: defaultMaxKeys, bodyBytes: DefaultBodyLimit,
		rate:   defaultAppendsPerSecond,
		jitter: backoff.DefaultRandomizationFactor,
	}
	for _, opt := range opts {
		opt(&o)
	}
	// With a shorter lifetime, the key of a run that starts just before RunBy
	// could expire during the run and be claimed again.
	o.runWithin = min(o.runWithin, o.lifetime/4)
	w := &Writer{
		log: log, stream: Stream(shard), opts: o,
		wake: make(chan struct{}, 1), exited: make(chan struct{}),
		pending: make(map[Hash]*op), granted: make(map[grantKey]Grant), released: make(map[Hash]time.Time),
		retry: backoff.NewExponentialBackOff(), limit: rate.NewLimiter(rate.Limit(o.rate), appendBurst),
	}
	w.retry.InitialInterval, w.retry.MaxInterval, w.retry.RandomizationFactor = initialBackoff, maxBackoff, o.jitter
	w.ctx, w.cancel = context.WithCancel(context.Background())
	go w.run()
	return w
}

// Claim claims a key for one attempt. The error is ErrUnavailable if the claim
// was not granted because of the log, the writer or ctx; the caller must not run
// the request then, and need not release the claim.
func (w *Writer) Claim(ctx context.Context, key, claimID string) (grant Grant, err error) {
	defer func() {
		if err != nil {
			grant = Grant{Result: Unavailable}
			err = eris.Wrapf(err, "claim on stream %q", w.stream)
		}
	}()
	k, c := HashOf(key), HashOf(claimID)
	w.mu.Lock()
	if g, ok := w.granted[grantKey{k, c}]; ok && time.Now().Before(g.RunBy) {
		w.mu.Unlock()
		return g, nil
	}
	if _, ok := w.released[c]; ok {
		w.mu.Unlock()
		return Grant{}, errors.Join(ErrUnavailable, errors.New("claim id was released"))
	}
	p := w.pending[c]
	if p != nil && p.item.Key != k {
		w.mu.Unlock()
		return Grant{}, errors.Join(ErrUnavailable, errors.New("claim id is in use for another key"))
	}
	if p == nil {
		if w.closed || w.unavailable || len(w.queue) >= maxQueue {
			w.mu.Unlock()
			return Grant{}, ErrUnavailable
		}
		p = w.enqueue(Item{Kind: KindClaim, Key: k, Claim: c})
		w.pending[c] = p
		w.stats.Claims++
	}
	p.waiters++
	w.mu.Unlock()
	return w.await(ctx, p)
}

// Release frees a key whose request did not reach an upstream. The claim id
// cannot be granted afterwards. If ctx ends, the release is still appended.
func (w *Writer) Release(ctx context.Context, key, claimID string) (err error) {
	defer func() { err = eris.Wrapf(err, "release on stream %q", w.stream) }()
	k, c := HashOf(key), HashOf(claimID)
	w.mu.Lock()
	w.released[c] = time.Now().Add(w.opts.runWithin)
	delete(w.granted, grantKey{k, c})
	p, err := w.submit(Item{Kind: KindRelease, Key: k, Claim: c})
	w.mu.Unlock()
	if err != nil {
		return err
	}
	_, err = w.await(ctx, p)
	return err
}

// Finish stores the answer of a request that ran. It returns ErrNotHolder if
// the claim does not hold the key, or no longer does. If ctx ends, the answer is
// still appended.
func (w *Writer) Finish(ctx context.Context, key, claimID string, s Stored) (err error) {
	defer func() { err = eris.Wrapf(err, "finish on stream %q", w.stream) }()
	if len(s.Body) > MaxBody {
		s.Body, s.Truncated = nil, true
	}
	s.Body = bytes.Clone(s.Body) // the append may outlive this call
	w.mu.Lock()
	p, err := w.submit(Item{Kind: KindDone, Key: HashOf(key), Claim: HashOf(claimID), Stored: &s})
	w.mu.Unlock()
	if err != nil {
		return err
	}
	_, err = w.await(ctx, p)
	return err
}

// Close appends the queued operations and stops the writer. If ctx ends first,
// queued releases and answers are lost, and their keys stay taken.
func (w *Writer) Close(ctx context.Context) (err error) {
	defer func() { err = eris.Wrapf(err, "close the writer of stream %q", w.stream) }()
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.signal()
	select {
	case <-w.exited:
	case <-ctx.Done():
		w.cancel()
		<-w.exited
		err = ctx.Err()
	}
	w.cancel()
	return err
}

// Stats returns the counters of the writer.
func (w *Writer) Stats() Stats {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stats
}

// submit queues a release or an answer for which a requester waits. The caller
// holds mu.
func (w *Writer) submit(it Item) (*op, error) {
	if w.closed || len(w.queue) >= maxQueue {
		return nil, ErrUnavailable
	}
	p := w.enqueue(it)
	p.waiters++
	return p, nil
}

// enqueue queues an item. The caller holds mu.
func (w *Writer) enqueue(it Item) *op {
	p := &op{item: it, at: time.Now(), done: make(chan struct{})}
	w.queue = append(w.queue, p)
	w.signal()
	return p
}

func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// await waits for the decision on an operation. If the operation is already
// decided when ctx ends, await returns the decision, since a granted claim must
// reach its requester.
func (w *Writer) await(ctx context.Context, p *op) (Grant, error) {
	select {
	case <-p.done:
		return p.grant, p.err
	case <-ctx.Done():
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if p.decided {
		return p.grant, p.err
	}
	p.waiters--
	return Grant{}, errors.Join(ErrUnavailable, ctx.Err())
}

// decide completes an operation. The caller holds mu.
func (w *Writer) decide(p *op, g Grant, err error) {
	if p.decided {
		return
	}
	p.decided, p.grant, p.err = true, g, err
	if p.item.Kind == KindClaim && w.pending[p.item.Claim] == p {
		delete(w.pending, p.item.Claim)
	}
	close(p.done)
}

// run processes the queue until the writer is closed.
func (w *Writer) run() {
	defer close(w.exited)
	defer w.abort()
	for w.ctx.Err() == nil {
		ops, ok := w.nextBatch()
		if !ok {
			return
		}
		if err := w.step(ops); err != nil {
			w.markUnavailable()
			w.sleep(w.retry.NextBackOff())
		}
	}
}

// step reads the stream if needed, appends one batch and carries old keys. An
// error means that the log did not answer; the undecided releases and answers
// are queued again.
func (w *Writer) step(ops []*op) error {
	if len(ops) == 0 || w.isUnavailable() || w.needsRefresh(ops) {
		if err := w.refresh(); err != nil {
			w.requeue(ops)
			return err
		}
	}
	w.markAvailable()
	if len(ops) > 0 {
		if err := w.commit(ops); err != nil {
			w.requeue(ops)
			return err
		}
	}
	return w.carryOldKeys()
}

// needsRefresh reports whether the stream must be read before a batch of ops. A
// key that looks taken may have been released through another writer before its
// claim arrived.
func (w *Writer) needsRefresh(ops []*op) bool {
	return w.fold == nil || time.Since(w.readAt) >= maxFoldAge ||
		slices.ContainsFunc(ops, func(p *op) bool {
			return p.item.Kind == KindClaim && !w.readAt.After(p.at) && w.fold.Find(p.item.Key).Result == Taken
		})
}

// nextBatch waits until a batch is full, the batch delay of the oldest operation
// has passed or the next check for keys to carry is due, and returns the
// operations. ok is false if the writer has ended.
func (w *Writer) nextBatch() (ops []*op, ok bool) {
	check := time.Now().Add(w.opts.retainAge / carryChecksPerRetention)
	if w.fold == nil {
		check = time.Now() // fold the stream before the first claim arrives
	}
	for paced := false; ; {
		w.mu.Lock()
		now := time.Now()
		w.prune(now)
		n, closed, down := len(w.queue), w.closed, w.unavailable
		at := check
		if n > 0 {
			at = w.queue[0].at.Add(w.opts.batchDelay)
		}
		if n >= w.opts.batchItems || closed || down || !now.Before(at) {
			if n > 0 && !paced {
				w.mu.Unlock()
				w.waitForRate()
				paced = true
				continue // include the operations queued meanwhile
			}
			k := min(n, w.opts.batchItems)
			ops = slices.Clone(w.queue[:k])
			w.queue = slices.Delete(w.queue, 0, k)
			w.mu.Unlock()
			return ops, n > 0 || !closed
		}
		w.mu.Unlock()
		timer := time.NewTimer(at.Sub(now))
		select {
		case <-timer.C:
		case <-w.wake:
		case <-w.ctx.Done():
			timer.Stop()
			return nil, false
		}
		timer.Stop()
	}
}

// waitForRate waits until the rate limit allows another append.
func (w *Writer) waitForRate() { w.sleep(w.limit.Reserve().Delay()) }

// prune drops grants past their RunBy and released ids that can no longer be
// granted. The caller holds mu.
func (w *Writer) prune(now time.Time) {
	if now.Before(w.pruneAt) {
		return
	}
	w.pruneAt = now.Add(w.opts.runWithin / 4)
	for c, g := range w.granted {
		if !now.Before(g.RunBy) {
			delete(w.granted, c)
		}
	}
	for c, until := range w.released {
		if !now.Before(until) {
			delete(w.released, c)
		}
	}
}

func (w *Writer) isUnavailable() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.unavailable
}

// markAvailable records that the log answers.
func (w *Writer) markAvailable() {
	w.retry.Reset()
	w.mu.Lock()
	w.unavailable = false
	w.stats.Keys = int64(w.fold.Len())
	w.mu.Unlock()
}

// markUnavailable records that the log does not answer, and refuses the queued
// claims.
func (w *Writer) markUnavailable() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unavailable = true
	w.queue = slices.DeleteFunc(w.queue, func(p *op) bool {
		if p.item.Kind == KindClaim {
			w.decide(p, Grant{}, ErrUnavailable)
		}
		return p.decided
	})
}

// requeue puts undecided releases and answers back at the front of the queue,
// and refuses undecided claims.
func (w *Writer) requeue(ops []*op) {
	w.mu.Lock()
	defer w.mu.Unlock()
	back := make([]*op, 0, len(ops))
	for _, p := range ops {
		switch {
		case p.decided:
		case p.item.Kind == KindClaim:
			w.decide(p, Grant{}, ErrUnavailable)
		default:
			back = append(back, p)
		}
	}
	w.queue = append(back, w.queue...)
}

// abort ends the remaining operations with ErrUnavailable when the writer stops.
func (w *Writer) abort() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	for _, p := range w.queue {
		w.decide(p, Grant{}, ErrUnavailable)
	}
	w.queue = nil
}

func (w *Writer) sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-w.ctx.Done():
	}
}

// commit appends one batch and decides its operations. When it returns, the
// batch is folded or certainly has no effect.
func (w *Writer) commit(ops []*op) error {
	b := Batch{Format: Format, ID: newID(), Base: w.fold.Offset(), Covered: w.coveredOffset()}
	// Strip the monotonic reading, which stops while a machine is suspended.
	now := time.Now().Round(0)
	deadline := now.Add(w.opts.lifetime).UTC()
	runBy := now.Add(w.opts.runWithin)
	complete := w.fold.Complete(now, w.opts.lifetime)
	sent := make([]*op, 0, len(ops))
	w.mu.Lock()
	for _, p := range ops {
		if p.item.Kind == KindClaim {
			found := w.fold.Find(p.item.Key)
			switch {
			case p.waiters == 0, !complete, w.fold.Len() >= w.opts.maxKeys:
				w.decide(p, Grant{}, ErrUnavailable)
				continue
			case found.Result != Granted:
				w.decide(p, found, nil)
				continue
			}
			p.item.Deadline = deadline
		}
		b.Items = append(b.Items, p.item)
		sent = append(sent, p)
	}
	w.mu.Unlock()
	if len(sent) == 0 {
		return nil
	}
	err := w.appendBatch(&b, func() {
		// The log does not answer, so refuse the claims without further delay.
		// Claims that win later are released.
		w.markUnavailable()
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, p := range sent {
			if p.item.Kind == KindClaim {
				w.decide(p, Grant{}, ErrUnavailable)
			}
		}
	})
	if err != nil {
		return err
	}
	w.decideBatch(sent, runBy)
	return nil
}

// decideBatch decides the operations of the awaited batch.
func (w *Writer) decideBatch(sent []*op, runBy time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	// The fold may have been reset while the outcome of the batch was unknown.
	complete := w.fold.Complete(now, w.opts.lifetime)
	for i, p := range sent {
		effect := w.awaitedOutcome.Effect
		if effect == Applied {
			effect = w.awaitedOutcome.Items[i]
		}
		if p.item.Kind != KindClaim {
			switch {
			case effect == Stale || effect == Newer: // no effect: append it in a new batch
				w.queue = append(w.queue, p)
				w.signal()
			case effect == Lost && p.item.Kind == KindDone:
				w.decide(p, Grant{}, ErrNotHolder)
			default:
				w.decide(p, Grant{}, nil)
			}
			continue
		}
		_, released := w.released[p.item.Claim]
		switch {
		case effect == Applied && complete && !p.decided && !released && p.waiters > 0 && now.Before(runBy):
			g := Grant{Result: Granted, RunBy: runBy}
			w.granted[grantKey{p.item.Key, p.item.Claim}] = g
			w.stats.Granted++
			w.decide(p, g, nil)
		case effect == Applied || effect == Doubtful:
			// No requester runs this claim. A doubtful claim may have won in a fold
			// that has seen more of the stream.
			w.released[p.item.Claim] = now.Add(w.opts.runWithin)
			w.enqueue(Item{Kind: KindRelease, Key: p.item.Key, Claim: p.item.Claim})
			w.decide(p, Grant{}, ErrUnavailable)
		case effect == Lost:
			found := w.fold.Find(p.item.Key)
			if found.Result == Granted { // released in the meantime
				found.Result = Taken
			}
			w.decide(p, found, nil)
		default:
			w.decide(p, Grant{}, ErrUnavailable)
		}
	}
}

// appendBatch appends a batch, again if needed, until it is folded or certainly
// has no effect. It calls onUnavailable if the log does not answer while the
// outcome of an append is unknown. An error means that the log did not accept
// the batch, or that the writer ends.
func (w *Writer) appendBatch(b *Batch, onUnavailable func()) error {
	data, err := json.Marshal(b)
	if err != nil {
		return err
	}
	w.awaitedID, w.awaitedFound = b.ID, false
	defer func() { w.awaitedID = Hash{} }()
	for uncertain := false; w.ctx.Err() == nil; uncertain = true {
		ctx, cancel := context.WithTimeout(w.ctx, w.opts.timeout)
		offset, err := w.log.Append(ctx, w.stream, data)
		cancel()
		w.mu.Lock()
		w.stats.Appends++
		w.mu.Unlock()
		switch {
		case err == nil:
		case !uncertain && errors.Is(err, log.ErrUnavailable) && !errors.Is(err, log.ErrUnknown):
			return err
		case uncertain:
			onUnavailable()
			w.sleep(w.retry.NextBackOff())
			fallthrough
		default:
			offset = 0
		}
		// After an unknown outcome, only a read shows whether the batch is on the
		// stream.
		for w.ctx.Err() == nil {
			if err = w.refresh(); err != nil {
				onUnavailable()
			} else if w.awaitedFound {
				w.retry.Reset()
				if w.awaitedOutcome.Effect == Applied && b.Covered > 0 && w.awaitedOutcome.Offset == b.Base+1 {
					w.lastCoveredAt = w.awaitedOutcome.Offset
				}
				return nil
			} else if w.fold.Offset() >= offset {
				break
			}
			w.sleep(w.retry.NextBackOff())
		}
	}
	if err = w.ctx.Err(); err == nil {
		err = ErrUnavailable
	}
	return err
}

// refresh folds the stream up to its end.
func (w *Writer) refresh() error {
	for {
		next := int64(1)
		if w.fold != nil {
			next = w.fold.Offset() + 1
		}
		at := time.Now()
		ctx, cancel := context.WithTimeout(w.ctx, w.opts.timeout)
		page, err := w.log.Read(ctx, w.stream, next, at)
		cancel()
		if errors.Is(err, log.ErrExpired) && page.First > next {
			// The next records have expired. Start a new fold at the oldest one.
			w.resetFold(page.First)
			continue
		}
		if err != nil {
			return err
		}
		if w.fold == nil {
			w.resetFold(1)
		}
		w.oldestOffset = page.First
		for _, e := range page.Records {
			w.apply(e)
		}
		if len(page.Records) == 0 || w.fold.Offset()+1 >= page.Next {
			w.readAt = at
			return nil
		}
	}
}

// resetFold starts a new fold at an offset.
func (w *Writer) resetFold(first int64) {
	w.fold = NewFold(first, time.Now())
	w.fold.BodyLimit = w.opts.bodyBytes
	w.coveredFrom, w.lastCoveredAt, w.recordTimes, w.carryKeys = 0, 0, nil, nil
}

// apply folds one record.
func (w *Writer) apply(e log.Entry) {
	out := w.fold.Apply(e.Offset, e.At, e.Data)
	if n := len(w.recordTimes); n == 0 || e.At.Sub(w.recordTimes[n-1].at) >= w.opts.retainAge/carryChecksPerRetention {
		w.recordTimes = append(w.recordTimes, recordTime{offset: e.Offset, at: e.At})
	}
	if w.awaitedFound || out.ID != w.awaitedID || w.awaitedID == (Hash{}) {
		return
	}
	w.awaitedFound, w.awaitedOutcome = true, out
}

// coveredOffset returns the offset from which the stream contains all live keys,
// or zero if it is unknown.
func (w *Writer) coveredOffset() int64 {
	if !w.fold.Complete(time.Now(), w.opts.lifetime) {
		return 0
	}
	return max(w.coveredFrom, w.fold.covered, w.fold.start, 1)
}

// cutoff returns the offset before which the records are older than 1/parts of
// the retention.
func (w *Writer) cutoff(parts int64) int64 {
	next := w.fold.Offset() + 1
	cut := next - w.opts.retainRecords/parts
	limit := time.Now().Add(-w.opts.retainAge / time.Duration(parts))
	for _, a := range w.recordTimes {
		if !a.at.After(limit) {
			cut = max(cut, a.offset+1)
		}
	}
	return cut
}

// carryOldKeys carries the keys with records in the older half of the retention.
// It also carries those in the next quarter, so that it scans all keys only once
// per quarter of the retention. It returns after a batch if operations are
// queued.
func (w *Writer) carryOldKeys() error {
	for w.fold.Complete(time.Now(), w.opts.lifetime) {
		cut := w.cutoff(2)
		// The retention observed on the log takes precedence over the settings.
		if retained := w.fold.Offset() + 1 - w.oldestOffset; w.oldestOffset > 1 {
			cut = max(cut, w.oldestOffset+retained/4)
		}
		for len(w.recordTimes) > 1 && w.recordTimes[1].offset < cut {
			w.recordTimes = w.recordTimes[1:]
		}
		if len(w.carryKeys) == 0 {
			if w.coveredOffset() >= cut && w.lastCoveredAt >= cut || w.fold.Offset() == 0 {
				return nil
			}
			w.carryCutoff = max(cut, w.cutoff(4))
			if retained := w.fold.Offset() + 1 - w.oldestOffset; w.oldestOffset > 1 {
				w.carryCutoff = max(w.carryCutoff, w.oldestOffset+retained/2)
			}
			w.carryKeys, w.carryFloor = w.fold.KeysBefore(w.carryCutoff)
		}
		w.waitForRate()
		items, rest := w.fold.CarryItems(w.carryKeys, w.carryCutoff)
		b := Batch{Format: Format, ID: newID(), Base: w.fold.Offset(), Covered: w.coveredOffset(), Items: items}
		if len(rest) == 0 {
			b.Covered = max(b.Covered, w.carryFloor)
		}
		if err := w.appendBatch(&b, w.markUnavailable); err != nil {
			return err
		}
		// If a record of another writer lies in between, the carries had no effect.
		if w.awaitedOutcome.Effect == Applied && w.awaitedOutcome.Offset == b.Base+1 {
			w.carryKeys, w.coveredFrom = rest, b.Covered
			w.mu.Lock()
			w.stats.Carried += int64(len(items))
			w.mu.Unlock()
		}
		w.mu.Lock()
		waiting := len(w.queue) > 0
		w.mu.Unlock()
		if waiting {
			return nil
		}
	}
	return nil
}

func newID() Hash {
	var h Hash
	_, _ = rand.Read(h[:]) // never fails
	return h
}
