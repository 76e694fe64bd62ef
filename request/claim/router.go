package claim

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"
)

const (
	// maxReleasing bounds the claims that a Router releases in the background.
	// Further abandoned claims stay taken, which is safe.
	maxReleasing = 256
	// abandonTimeout is how long a Router tries to release an abandoned claim.
	abandonTimeout = time.Minute
)

// Router sends the operations of an entry to the owner of the key's shard, which
// is a peer or a writer of this daemon. All exported fields are set before the
// first use.
//
// While views of the members differ, two daemons or none may consider themselves
// the owner of a shard. Two owners cost extra appends. Without an owner, the
// daemon that a peer asks opens a writer. Neither affects safety.
type Router struct {
	// Owners returns the owner of a shard and whether it is this daemon.
	Owners func(shard int) (name string, local bool)
	// Peer returns the named daemon, or nil if it is unknown. If the writer of a
	// peer refuses a claim, the peer returns Unavailable without an error.
	Peer func(name string) Owner
	// Open opens the writer of a shard on this daemon.
	Open func(shard int) *Writer

	mu        sync.Mutex
	writers   map[int]*Writer
	closed    bool
	releasing int
	ctx       context.Context // of the background releases
	stop      context.CancelFunc
	wg        sync.WaitGroup
}

// Claim claims a key; see Writer.Claim. After an error the claim id must not be
// used again; the Router releases the claim in case it was granted.
func (r *Router) Claim(ctx context.Context, key, claimID string) (grant Grant, err error) {
	defer func() { err = eris.Wrap(err, "claim") }()
	o, local, err := r.owner(key)
	if err != nil {
		return Grant{Result: Unavailable}, err
	}
	grant, err = o.Claim(ctx, key, claimID)
	switch {
	case err == nil && grant.Result != Unavailable:
		return grant, nil
	case err != nil && !local:
		// The peer may have granted the claim and its answer was lost. After a
		// refusal no release is needed: the writer itself releases the claim.
		r.abandon(key, claimID)
	}
	return Grant{Result: Unavailable}, errors.Join(ErrUnavailable, err)
}

// Release frees a key; see Writer.Release.
func (r *Router) Release(ctx context.Context, key, claimID string) (err error) {
	defer func() { err = eris.Wrap(err, "release") }()
	o, _, err := r.owner(key)
	if err != nil {
		return err
	}
	return o.Release(ctx, key, claimID)
}

// Finish stores an answer; see Writer.Finish. It may be repeated after an error.
func (r *Router) Finish(ctx context.Context, key, claimID string, s Stored) (err error) {
	defer func() { err = eris.Wrap(err, "finish") }()
	o, _, err := r.owner(key)
	if err != nil {
		return err
	}
	if len(s.Body) > MaxBody {
		s.Body, s.Truncated = nil, true
	}
	return o.Finish(ctx, key, claimID, s)
}

// Local returns this daemon's writer of the key's shard, for the requests of
// peers; it opens the writer if needed.
func (r *Router) Local(key string) (Owner, error) {
	w, err := r.writer(Shard(key))
	if err != nil {
		return nil, err
	}
	return w, nil
}

// Sync opens the writers of the shards that this daemon owns and closes the
// others. It is called whenever the members change, since only an open writer
// carries the keys of its shard before their records expire. It returns the
// errors of closing.
func (r *Router) Sync(ctx context.Context) (err error) {
	defer func() { err = eris.Wrap(err, "sync writers") }()
	var drop []*Writer
	for shard := range Shards {
		if _, local := r.Owners(shard); local {
			if _, err = r.writer(shard); err != nil {
				return err
			}
			continue
		}
		r.mu.Lock()
		if w := r.writers[shard]; w != nil {
			drop = append(drop, w)
			delete(r.writers, shard)
		}
		r.mu.Unlock()
	}
	return closeAll(ctx, drop)
}

// Close closes all writers and cancels the background releases. It is called
// after all calls have ended.
func (r *Router) Close(ctx context.Context) error {
	r.mu.Lock()
	r.closed = true
	if r.stop != nil {
		r.stop()
	}
	var drop []*Writer
	for _, w := range r.writers {
		drop = append(drop, w)
	}
	r.writers = nil
	r.mu.Unlock()
	err := closeAll(ctx, drop)
	r.wg.Wait()
	return eris.Wrap(err, "close writers")
}

func closeAll(ctx context.Context, ws []*Writer) error {
	errs := make([]error, len(ws))
	var wg sync.WaitGroup
	for i, w := range ws {
		wg.Go(func() { errs[i] = w.Close(ctx) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// owner returns the owner of a key's shard and whether it is this daemon.
func (r *Router) owner(key string) (o Owner, local bool, err error) {
	shard := Shard(key)
	name, local := r.Owners(shard)
	if local {
		w, err := r.writer(shard)
		return w, true, err
	}
	if r.Peer != nil && name != "" {
		o = r.Peer(name)
	}
	if o == nil {
		return nil, false, eris.Wrapf(ErrUnavailable, "shard %d has no reachable owner", shard)
	}
	return o, false, nil
}

// writer returns this daemon's writer of a shard and opens it if needed.
func (r *Router) writer(shard int) (*Writer, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return nil, eris.Wrap(ErrUnavailable, "router is closed")
	}
	w := r.writers[shard]
	if w == nil {
		if r.writers == nil {
			r.writers = make(map[int]*Writer)
		}
		w = r.Open(shard)
		r.writers[shard] = w
	}
	return w, nil
}

// abandon releases a claim in the background, after its answer did not arrive.
func (r *Router) abandon(key, claimID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.releasing >= maxReleasing {
		return
	}
	r.releasing++
	if r.ctx == nil {
		r.ctx, r.stop = context.WithCancel(context.Background())
	}
	ctx, cancel := context.WithTimeout(r.ctx, abandonTimeout)
	r.wg.Go(func() {
		defer func() {
			cancel()
			r.mu.Lock()
			r.releasing--
			r.mu.Unlock()
		}()
		_, _ = backoff.Retry(ctx, func() (struct{}, error) {
			return struct{}{}, r.Release(ctx, key, claimID)
		})
	})
}
