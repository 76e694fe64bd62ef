// Package claim runs keyed requests at most once.
//
// Each key belongs to a shard, and each shard has a stream claims-NN on the log.
// An entry claims a key before it runs the request. The first claim of a key on
// the stream wins. Every daemon that folds the stream reaches the same decision,
// whichever daemon appended the claim.
//
// The package has two layers. Fold is a deterministic function of the stream.
// Writer appends claims in batches (group commit) and grants a claim only after
// it has folded the stream up to its own batch, so several writers of one shard
// are safe, even after one of them was paused. Router sends a claim to the
// daemon that owns the shard. Ownership only saves appends; safety does not
// depend on it.
//
// # Usage
//
//	w := claim.NewWriter(log, claim.Shard(key), claim.WithLifetime(24*time.Hour))
//	defer w.Close(ctx)
//	grant, err := w.Claim(ctx, key, claimID) // claimID is unique to this attempt
//	switch {
//	case err != nil: // nothing ran: refuse as notRun
//	case grant.Result == claim.Done: // repeat grant.Stored as replayed
//	case grant.Result == claim.Taken: // 409, outcome unknown
//	case !time.Now().Before(grant.RunBy): // too late to start
//		err = w.Release(ctx, key, claimID)
//	default:
//		// run the request
//		err = w.Finish(ctx, key, claimID, claim.Stored{Status: 201, Body: body})
//	}
//
// # Rules for the holder of a grant
//
// A grant carries RunBy. The holder compares it with its clock immediately
// before it hands the first byte to an upstream. At or after RunBy it must not
// start the run, and it releases the claim. A pause after the comparison is
// safe as long as it is shorter than the rest of the key's lifetime, because the
// key stays claimed until then. The interval between RunBy and the end of the
// lifetime also covers the skew between the clocks of the log, the writer and
// the holder.
//
// The holder releases a claim only if no byte of the request reached an
// upstream. It never releases after it started to write, whatever the error. If
// the holder crashes or its outcome is unknown, the key stays claimed and
// repeats get Taken.
//
// # Expiry of the log
//
// The log retains its records for a limited time, often less than the lifetime
// of a key. A writer appends live keys again (carries them) while their records
// are in the older half of the retention, and writes the offset from which the
// stream contains all live keys (Batch.Covered). A writer that starts on a
// stream whose first records have expired grants nothing until it has read such
// an offset, or until the lifetime of every claim in the expired records has
// ended.
package claim

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Shards is the number of shards, each with its own stream.
	Shards = 16
	// MaxBody bounds the body of a stored answer, in bytes.
	MaxBody = 4 << 10
	// DefaultLifetime is how long a key stays claimed or its answer stays stored.
	DefaultLifetime = 24 * time.Hour
	// Format is the newest batch format that this release reads.
	Format = 1
)

// Errors of claims.
var (
	// ErrUnavailable means that the claim was not granted because the log or
	// the owner of the shard is unavailable; nothing ran.
	ErrUnavailable = errors.New("claims are unavailable")
	// ErrNotHolder means that the claim id does not hold the key.
	ErrNotHolder = errors.New("claim does not hold the key")
)

// Result is the result of a claim.
type Result string

// The results of a claim.
const (
	// Granted means that the requester may run the request before RunBy.
	Granted Result = "granted"
	// Taken means that another claim holds the key and has not finished.
	Taken Result = "taken"
	// Done means that the request ran and its answer is stored.
	Done Result = "done"
	// Unavailable means that the claim was not granted; nothing ran.
	Unavailable Result = "unavailable"
)

// Stored is the answer of a finished request.
type Stored struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Truncated means that the body was not stored.
	Truncated bool `json:"truncated,omitempty"`
}

// Grant is the answer to a claim.
type Grant struct {
	Result Result
	// Stored is set if the result is Done.
	Stored Stored
	// RunBy is the time before which a granted request must start.
	RunBy time.Time
}

// Owner handles claims; the key determines the shard.
type Owner interface {
	Claim(ctx context.Context, key, claimID string) (Grant, error)
	Release(ctx context.Context, key, claimID string) error
	Finish(ctx context.Context, key, claimID string, s Stored) error
}

// Shard returns the shard of a key.
func Shard(key string) int { return int(xxhash.Sum64String(key) % Shards) }

// Stream returns the name of the stream of a shard.
func Stream(shard int) string { return fmt.Sprintf("claims-%02d", shard) }

// OwnerOf returns the member that owns a shard by rendezvous hashing; it is
// empty if there are no members. The order of members does not matter.
func OwnerOf(shard int, members []string) string {
	if len(members) == 0 {
		return ""
	}
	weight := func(m string) uint64 { return xxhash.Sum64String(strconv.Itoa(shard) + "/" + m) }
	return slices.MaxFunc(members, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(a), weight(b)), cmp.Compare(a, b))
	})
}

// Hash identifies a key or a claim id on the stream and in memory. It is the
// first half of SHA-256. Callers choose keys, so a hash without collision
// resistance would let one caller read the stored answer of another.
type Hash [16]byte

// HashOf returns the hash of a key or a claim id.
func HashOf(s string) Hash {
	sum := sha256.Sum256([]byte(s))
	return Hash(sum[:len(Hash{})])
}

// MarshalText implements encoding.TextMarshaler.
func (h Hash) MarshalText() ([]byte, error) {
	return base64.RawURLEncoding.AppendEncode(nil, h[:]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *Hash) UnmarshalText(text []byte) error {
	b, err := base64.RawURLEncoding.DecodeString(string(text))
	if err == nil && len(b) != len(h) {
		err = fmt.Errorf("hash of %d bytes", len(b))
	}
	if err != nil {
		return err
	}
	*h = Hash(b)
	return nil
}
