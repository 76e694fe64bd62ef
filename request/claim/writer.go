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
	// maxQueue bounds the operations that wait in a writer. Finishes wait
	// through an outage, and with the largest bodies they need 16 MiB.
	maxQueue = 4096
	// defaultKeys is just below a step in the size of the map of keys.
	defaultKeys = 400_000
	// defaultRate is the number of appends a second of one writer. All shards
	// share four fifths of the 300 that the log accepts; the rest is for other
	// streams. Without it, 16 writers that gather for 20 ms exceed 300 appends a
	// second at 1,000 claims a second, and the log refuses a third of the claims.
	defaultRate = 240.0 / Shards
	// rateBurst lets a writer with little load append without waiting.
	rateBurst = 2
	// freshFor is the age of the fold up to which a writer builds a batch on it
	// without reading the stream first. An older fold may miss what another
	// writer appended.
	freshFor = time.Second
	// retryFirst and retryMax bound the pause between attempts on a log that
	// does not answer. Claims are refused until the first attempt that works,
	// so the pause stays short.
	retryFirst = 20 * time.Millisecond
	retryMax   = 500 * time.Millisecond
	// carryParts is the number of times that a writer checks for records to
	// carry in the time that the log retains a record.
	carryParts = 16
)

// Option sets an option of a Writer.
type Option func(*options)

type options struct {
	lifetime, runWithin, gather, retainAge, timeout time.Duration
	items, keys, bodies                             int
	retainRecords                                   int64
	rate                                            float64
	jitter                                          float64 // of the pauses between attempts
}

// WithLifetime sets the lifetime of a key, 24 h by default. All writers of a
// deployment use the same; a fold without the beginning of its stream relies on
// it. It is at least four times the time to start a run.
func WithLifetime(d time.Duration) Option { return func(o *options) { o.lifetime = d } }

// WithRunWithin sets the time between the writing of a claim and RunBy, 10 s by
// default.
func WithRunWithin(d time.Duration) Option { return func(o *options) { o.runWithin = d } }

// WithGather sets how long a writer gathers items for one batch and how many a
// batch holds, 20 ms and 512 by default.
func WithGather(d time.Duration, items int) Option {
	return func(o *options) { o.gather, o.items = d, items }
}

// WithRate sets the mean number of appends a second, 15 by default. When they
// are used up, a writer gathers longer.
func WithRate(perSecond float64) Option { return func(o *options) { o.rate = perSecond } }

// WithRetention states what the log retains at least: it keeps a record that is
// younger than age and followed by fewer than that many records. 10 min and
// 2,048 records by default.
func WithRetention(age time.Duration, records int64) Option {
	return func(o *options) { o.retainAge, o.retainRecords = age, records }
}

// WithTimeout sets the time after which an append or read counts as unanswered,
// 1 s by default.
func WithTimeout(d time.Duration) Option { return func(o *options) { o.timeout = d } }

// WithLimits sets the number of keys above which claims are refused, 400,000 by
// default, and the bytes of memory for stored bodies, DefaultBodyLimit by
// default.
func WithLimits(keys, bodies int) Option {
	return func(o *options) { o.keys, o.bodies = keys, bodies }
}

// Stats are counters of a writer since its start.
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

	mu      sync.Mutex
	queue   []*op
	pending map[Hash]*op       // claims that are not decided, by claim id
	granted map[grantKey]Grant // grants before their RunBy
	dead    map[Hash]time.Time // released claim ids, until the given time
	down    bool
	closed  bool
	stats   Stats

	// The fields below belong to the goroutine run.
	fold    *Fold
	readAt  time.Time // start of the last read that reached the end of the stream
	first   int64     // oldest retained offset
	floor   int64     // the stream holds all live keys from it on
	stated  int64     // offset of the last batch with Covered
	ages    []age
	pruneAt time.Time
	retry   *backoff.ExponentialBackOff
	limit   *rate.Limiter
	// watched is the batch whose outcome is awaited; found is set with it.
	watched Hash
	found   bool
	outcome Outcome
	// old holds the keys that are still to be carried: those with a record
	// before oldCut. The stream holds all others from oldFloor on.
	old              []Hash
	oldCut, oldFloor int64
}

// grantKey names a grant.
type grantKey struct{ key, claim Hash }

// age is the time of a record; a few are kept to find the records of an age.
type age struct {
	offset int64
	at     time.Time
}

// op is one operation that waits in a writer.
type op struct {
	item    Item
	at      time.Time
	waiters int // zero: the requester has given up
	decided bool
	grant   Grant
	err     error
	done    chan struct{}
}

// NewWriter returns a writer of one shard and starts it. It folds the retained
// stream before it grants anything. It carries keys forward until it is closed,
// so the owner of a shard keeps its writer open.
func NewWriter(log log.Log, shard int, opts ...Option) *Writer {
	o := options{
		lifetime: DefaultLifetime, runWithin: 10 * time.Second,
		gather: 20 * time.Millisecond, items: 512,
		retainAge: 10 * time.Minute, retainRecords: 2048,
		timeout: time.Second, keys: defaultKeys, bodies: DefaultBodyLimit,
		rate:   defaultRate,
		jitter: backoff.DefaultRandomizationFactor,
	}
	for _, opt := range opts {
		opt(&o)
	}
	// With less, a run that starts just before RunBy could meet the end of the
	// lifetime, and a second claim.
	o.runWithin = min(o.runWithin, o.lifetime/4)
	w := &Writer{
		log: log, stream: Stream(shard), opts: o,
		wake: make(chan struct{}, 1), exited: make(chan struct{}),
		pending: make(map[Hash]*op), granted: make(map[grantKey]Grant), dead: make(map[Hash]time.Time),
		retry: backoff.NewExponentialBackOff(), limit: rate.NewLimiter(rate.Limit(o.rate), rateBurst),
	}
	w.retry.InitialInterval, w.retry.MaxInterval, w.retry.RandomizationFactor = retryFirst, retryMax, o.jitter
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
	if _, ok := w.dead[c]; ok {
		w.mu.Unlock()
		return Grant{}, errors.Join(ErrUnavailable, errors.New("claim id was released"))
	}
	p := w.pending[c]
	if p != nil && p.item.Key != k {
		w.mu.Unlock()
		return Grant{}, errors.Join(ErrUnavailable, errors.New("claim id is in use for another key"))
	}
	if p == nil {
		if w.closed || w.down || len(w.queue) >= maxQueue {
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

// Release frees a key whose request did not reach an upstream. The claim id can
// not be granted afterwards. On an error of ctx the release is still appended.
func (w *Writer) Release(ctx context.Context, key, claimID string) (err error) {
	defer func() { err = eris.Wrapf(err, "release on stream %q", w.stream) }()
	k, c := HashOf(key), HashOf(claimID)
	w.mu.Lock()
	w.dead[c] = time.Now().Add(w.opts.runWithin)
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
// the claim does not hold the key (any more). On an error of ctx the answer is
// still appended.
func (w *Writer) Finish(ctx context.Context, key, claimID string, s Stored) (err error) {
	defer func() { err = eris.Wrapf(err, "finish on stream %q", w.stream) }()
	if len(s.Body) > MaxBody {
		s.Body, s.Truncated = nil, true
	}
	s.Body = bytes.Clone(s.Body) // the append may outlast this call
	w.mu.Lock()
	p, err := w.submit(Item{Kind: KindDone, Key: HashOf(key), Claim: HashOf(claimID), Stored: &s})
	w.mu.Unlock()
	if err != nil {
		return err
	}
	_, err = w.await(ctx, p)
	return err
}

// Close appends what is queued and stops the writer. If ctx ends first, queued
// releases and answers are lost; their keys stay taken.
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

// submit queues a release or an answer for a caller that waits; mu is held.
func (w *Writer) submit(it Item) (*op, error) {
	if w.closed || len(w.queue) >= maxQueue {
		return nil, ErrUnavailable
	}
	p := w.enqueue(it)
	p.waiters++
	return p, nil
}

// enqueue queues an item; mu is held.
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

// await waits for the decision on an operation. A claim that is decided while
// ctx ends is returned as decided: the requester holds it.
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

// decide ends an operation; mu is held.
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

// run is the writer's goroutine.
func (w *Writer) run() {
	defer close(w.exited)
	defer w.abort()
	for w.ctx.Err() == nil {
		ops, ok := w.gather()
		if !ok {
			return
		}
		if err := w.step(ops); err != nil {
			w.refuse()
			w.sleep(w.retry.NextBackOff())
		}
	}
}

// step reads the stream, appends one batch and carries old records. On an
// error the log did not answer; the undecided releases and answers are queued
// again.
func (w *Writer) step(ops []*op) error {
	if len(ops) == 0 || w.isDown() || w.outdated(ops) {
		if err := w.refresh(); err != nil {
			w.requeue(ops)
			return err
		}
	}
	w.up()
	if len(ops) > 0 {
		if err := w.commit(ops); err != nil {
			w.requeue(ops)
			return err
		}
	}
	return w.maintain()
}

// outdated tells whether the stream must be read before a batch of ops. A key
// that looks taken may have been released through another writer before its
// claim came in.
func (w *Writer) outdated(ops []*op) bool {
	return w.fold == nil || time.Since(w.readAt) >= freshFor ||
		slices.ContainsFunc(ops, func(p *op) bool {
			return p.item.Kind == KindClaim && !w.readAt.After(p.at) && w.fold.Find(p.item.Key).Result == Taken
		})
}

// gather waits for a full batch, the end of the gather time, the next check or
// the end of the writer, for which ok is false.
func (w *Writer) gather() (ops []*op, ok bool) {
	check := time.Now().Add(w.opts.retainAge / carryParts)
	if w.fold == nil {
		check = time.Now() // fold the stream before the first claim comes
	}
	for paced := false; ; {
		w.mu.Lock()
		now := time.Now()
		w.prune(now)
		n, closed, down := len(w.queue), w.closed, w.down
		at := check
		if n > 0 {
			at = w.queue[0].at.Add(w.opts.gather)
		}
		if n >= w.opts.items || closed || down || !now.Before(at) {
			if n > 0 && !paced {
				w.mu.Unlock()
				w.pace()
				paced = true
				continue // with what came in meanwhile
			}
			k := min(n, w.opts.items)
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

// pace waits until the rate of appends allows another one.
func (w *Writer) pace() { w.sleep(w.limit.Reserve().Delay()) }

// prune forgets grants and released ids that can't be used any more; mu is held.
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
	for c, until := range w.dead {
		if !now.Before(until) {
			delete(w.dead, c)
		}
	}
}

func (w *Writer) isDown() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.down
}

// up notes that the log answers.
func (w *Writer) up() {
	w.retry.Reset()
	w.mu.Lock()
	w.down = false
	w.stats.Keys = int64(w.fold.Len())
	w.mu.Unlock()
}

// refuse notes that the log does not answer and refuses the waiting claims.
func (w *Writer) refuse() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down = true
	w.queue = slices.DeleteFunc(w.queue, func(p *op) bool {
		if p.item.Kind == KindClaim {
			w.decide(p, Grant{}, ErrUnavailable)
		}
		return p.decided
	})
}

// requeue puts undecided releases and answers back in front, and refuses
// undecided claims.
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

// abort ends everything that is left when the writer stops.
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

// commit appends one batch and decides its operations. It returns with the
// batch on the stream and folded, or certainly without effect.
func (w *Writer) commit(ops []*op) error {
	b := Batch{Format: Format, ID: newID(), Base: w.fold.Offset(), Covered: w.covered()}
	// Without the monotonic reading: it stands still while a machine sleeps.
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
			case p.waiters == 0, !complete, w.fold.Len() >= w.opts.keys:
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
	err := w.publish(&b, func() {
		// The log does not answer: the requesters may refuse their calls at
		// once. The claims that win after all are released.
		w.refuse()
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
	w.settle(sent, runBy)
	return nil
}

// settle decides the operations of the watched batch.
func (w *Writer) settle(sent []*op, runBy time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	// The fold may have been started again while the batch was in doubt.
	complete := w.fold.Complete(now, w.opts.lifetime)
	for i, p := range sent {
		effect := w.outcome.Effect
		if effect == Applied {
			effect = w.outcome.Items[i]
		}
		if p.item.Kind != KindClaim {
			switch {
			case effect == Stale || effect == Newer: // without effect: append it in a new batch
				w.queue = append(w.queue, p)
				w.signal()
			case effect == Lost && p.item.Kind == KindDone:
				w.decide(p, Grant{}, ErrNotHolder)
			default:
				w.decide(p, Grant{}, nil)
			}
			continue
		}
		_, dead := w.dead[p.item.Claim]
		switch {
		case effect == Applied && complete && !p.decided && !dead && p.waiters > 0 && now.Before(runBy):
			g := Grant{Result: Granted, RunBy: runBy}
			w.granted[grantKey{p.item.Key, p.item.Claim}] = g
			w.stats.Granted++
			w.decide(p, g, nil)
		case effect == Applied || effect == Doubtful:
			// Nobody runs this claim. A doubtful claim may have won for a fold
			// that has seen more.
			w.dead[p.item.Claim] = now.Add(w.opts.runWithin)
			w.enqueue(Item{Kind: KindRelease, Key: p.item.Key, Claim: p.item.Claim})
			w.decide(p, Grant{}, ErrUnavailable)
		case effect == Lost:
			found := w.fold.Find(p.item.Key)
			if found.Result == Granted { // released since
				found.Result = Taken
			}
			w.decide(p, found, nil)
		default:
			w.decide(p, Grant{}, ErrUnavailable)
		}
	}
}

// publish appends a batch until it is folded or certainly without effect. It
// calls refuse when the log stops answering while the batch is in doubt. An
// error means that the log never took the batch, or that the writer ends.
func (w *Writer) publish(b *Batch, refuse func()) error {
	data, err := json.Marshal(b)
	if err != nil {
		return err
	}
	w.watched, w.found = b.ID, false
	defer func() { w.watched = Hash{} }()
	for doubt := false; w.ctx.Err() == nil; doubt = true {
		ctx, cancel := context.WithTimeout(w.ctx, w.opts.timeout)
		offset, err := w.log.Append(ctx, w.stream, data)
		cancel()
		w.mu.Lock()
		w.stats.Appends++
		w.mu.Unlock()
		switch {
		case err == nil:
		case !doubt && errors.Is(err, log.ErrUnavailable) && !errors.Is(err, log.ErrUnknown):
			return err
		case doubt:
			refuse()
			w.sleep(w.retry.NextBackOff())
			fallthrough
		default:
			offset = 0
		}
		// Only when the log answers reads is the batch present or absent.
		for w.ctx.Err() == nil {
			if err = w.refresh(); err != nil {
				refuse()
			} else if w.found {
				w.retry.Reset()
				if w.outcome.Effect == Applied && b.Covered > 0 && w.outcome.Offset == b.Base+1 {
					w.stated = w.outcome.Offset
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
			// The records that follow are gone. Start again from the oldest.
			w.reset(page.First)
			continue
		}
		if err != nil {
			return err
		}
		if w.fold == nil {
			w.reset(1)
		}
		w.first = page.First
		for _, e := range page.Records {
			w.apply(e)
		}
		if len(page.Records) == 0 || w.fold.Offset()+1 >= page.Next {
			w.readAt = at
			return nil
		}
	}
}

// reset starts a new fold at an offset.
func (w *Writer) reset(first int64) {
	w.fold = NewFold(first, time.Now())
	w.fold.BodyLimit = w.opts.bodies
	w.floor, w.stated, w.ages, w.old = 0, 0, nil, nil
}

// apply folds one record.
func (w *Writer) apply(e log.Entry) {
	out := w.fold.Apply(e.Offset, e.At, e.Data)
	if n := len(w.ages); n == 0 || e.At.Sub(w.ages[n-1].at) >= w.opts.retainAge/carryParts {
		w.ages = append(w.ages, age{offset: e.Offset, at: e.At})
	}
	if w.found || out.ID != w.watched || w.watched == (Hash{}) {
		return
	}
	w.found, w.outcome = true, out
}

// covered returns the offset from which the stream holds all live keys, or zero
// if the writer does not know.
func (w *Writer) covered() int64 {
	if !w.fold.Complete(time.Now(), w.opts.lifetime) {
		return 0
	}
	return max(w.floor, w.fold.covered, w.fold.start, 1)
}

// cutoff returns the offset before which the records are older than the given
// part of what the log retains.
func (w *Writer) cutoff(parts int64) int64 {
	next := w.fold.Offset() + 1
	cut := next - w.opts.retainRecords/parts
	limit := time.Now().Add(-w.opts.retainAge / time.Duration(parts))
	for _, a := range w.ages {
		if !a.at.After(limit) {
			cut = max(cut, a.offset+1)
		}
	}
	return cut
}

// maintain carries the records in the older half of the retention, together
// with those in the third quarter, so that a pass over all keys is needed once
// in a quarter of the retention. Between two batches it lets claims pass.
func (w *Writer) maintain() error {
	for w.fold.Complete(time.Now(), w.opts.lifetime) {
		cut := w.cutoff(2)
		// What the log is seen to retain counts more than the settings.
		if seen := w.fold.Offset() + 1 - w.first; w.first > 1 {
			cut = max(cut, w.first+seen/4)
		}
		for len(w.ages) > 1 && w.ages[1].offset < cut {
			w.ages = w.ages[1:]
		}
		if len(w.old) == 0 {
			if w.covered() >= cut && w.stated >= cut || w.fold.Offset() == 0 {
				return nil
			}
			w.oldCut = max(cut, w.cutoff(4))
			if seen := w.fold.Offset() + 1 - w.first; w.first > 1 {
				w.oldCut = max(w.oldCut, w.first+seen/2)
			}
			w.old, w.oldFloor = w.fold.Old(w.oldCut)
		}
		w.pace()
		items, rest := w.fold.Carry(w.old, w.oldCut)
		b := Batch{Format: Format, ID: newID(), Base: w.fold.Offset(), Covered: w.covered(), Items: items}
		if len(rest) == 0 {
			b.Covered = max(b.Covered, w.oldFloor)
		}
		if err := w.publish(&b, w.refuse); err != nil {
			return err
		}
		// With a record of another writer in between, the carries had no effect.
		if w.outcome.Effect == Applied && w.outcome.Offset == b.Base+1 {
			w.old, w.floor = rest, b.Covered
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
