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
	// maxAbandoned bounds the claims that a Router releases in the background.
	// Above it they stay taken, which is safe.
	maxAbandoned = 256
	// abandonFor is how long a Router tries to release an abandoned claim.
	abandonFor = time.Minute
)

// Router serves an entry: it sends an operation to the owner of the key's
// shard, or to its own writer. All fields are set before the first use.
//
// Two daemons may hold themselves for the owner of a shard, or none may. The
// first case costs appends, and in the second a daemon that is asked as the
// owner opens a writer. Neither affects safety.
type Router struct {
	// Owners returns the owner of a shard and whether it is this daemon.
	Owners func(shard int) (name string, local bool)
	// Peer returns the named daemon, or nil if it is not known. A peer reports
	// that its writer refused a claim as Unavailable without an error.
	Peer func(name string) Owner
	// Open opens the writer of a shard on this daemon.
	Open func(shard int) *Writer

	mu        sync.Mutex
	writers   map[int]*Writer
	closed    bool
	abandoned int
	ctx       context.Context // of the releases in the background
	stop      context.CancelFunc
	wg        sync.WaitGroup
}

// Claim claims a key, see Writer.Claim. After an error the claim id must not be
// used again; the Router releases the claim in case that it was granted.
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
		// The peer may have granted the claim and its answer got lost. A writer
		// that refuses a claim releases it itself.
		r.abandon(key, claimID)
	}
	return Grant{Result: Unavailable}, errors.Join(ErrUnavailable, err)
}

// Release frees a key, see Writer.Release.
func (r *Router) Release(ctx context.Context, key, claimID string) (err error) {
	defer func() { err = eris.Wrap(err, "release") }()
	o, _, err := r.owner(key)
	if err != nil {
		return err
	}
	return o.Release(ctx, key, claimID)
}

// Finish stores an answer, see Writer.Finish. It may be repeated after an error.
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
// others. It is called whenever the members change: a shard without an open
// writer is not carried forward. It returns the first error of closing.
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

// Close closes all writers and gives up the releases in the background. It is
// called when all calls have ended.
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

// owner returns who serves a key.
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

// writer returns the own writer of a shard.
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

// abandon releases a claim whose answer did not arrive.
func (r *Router) abandon(key, claimID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.abandoned >= maxAbandoned {
		return
	}
	r.abandoned++
	if r.ctx == nil {
		r.ctx, r.stop = context.WithCancel(context.Background())
	}
	ctx, cancel := context.WithTimeout(r.ctx, abandonFor)
	r.wg.Go(func() {
		defer func() {
			cancel()
			r.mu.Lock()
			r.abandoned--
			r.mu.Unlock()
		}()
		_, _ = backoff.Retry(ctx, func() (struct{}, error) {
			return struct{}{}, r.Release(ctx, key, claimID)
		})
	})
}
