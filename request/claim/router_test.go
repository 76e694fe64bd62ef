package claim

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against shards that change their owner when a member that does not own
// them leaves, and against members that own no shard.
func TestOwnerOf(t *testing.T) {
	members := make([]string, 4)
	for i := range members {
		members[i] = fmt.Sprintf("daemon-%d", i)
	}
	owned := make(map[string]int)
	for shard := range Shards {
		o := OwnerOf(shard, members)
		owned[o]++
		reversed := []string{members[3], members[2], members[1], members[0]}
		if got := OwnerOf(shard, reversed); got != o {
			t.Errorf("shard %d: owner %s with another order of members, want %s", shard, got, o)
		}
		if got := OwnerOf(shard, members[:3]); o != members[3] && got != o {
			t.Errorf("shard %d: owner %s after another member left, want %s", shard, got, o)
		}
	}
	if len(owned) != len(members) {
		t.Errorf("shards owned: %v, want some for each member", owned)
	}
	if got := OwnerOf(0, nil); got != "" {
		t.Errorf("owner without members: got %q, want none", got)
	}
}

// lossyPeer is a peer whose answers to claims are lost.
type lossyPeer struct {
	*Router
}

func (l lossyPeer) Claim(ctx context.Context, key, claimID string) (Grant, error) {
	o, err := l.Local(key)
	if err != nil {
		return Grant{}, err
	}
	if _, err = o.Claim(ctx, key, claimID); err != nil {
		return Grant{}, err
	}
	return Grant{}, errors.New("connection reset")
}

// Guards against a key that stays taken because the grant of a peer was lost, and
// against operations sent to a daemon that does not own the shard.
func TestRouterReleasesLostGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		var log fakeLog
		open := func(shard int) *Writer {
			return NewWriter(&link{fakeLog: &log, delay: time.Millisecond}, shard)
		}
		owner := &Router{Open: open, Owners: func(int) (string, bool) { return "b", true }}
		entry := &Router{
			Open:   open,
			Owners: func(int) (string, bool) { return "b", false },
			Peer:   func(string) Owner { return lossyPeer{owner} },
		}
		g, err := entry.Claim(ctx, "k", "a")
		if !errors.Is(err, ErrUnavailable) || g.Result != Unavailable {
			t.Fatalf("lost grant: got %v, %v, want unavailable", g, err)
		}
		time.Sleep(time.Second)
		if g, err := owner.Claim(ctx, "k", "b"); err != nil || g.Result != Granted {
			t.Errorf("after the release: got %v, %v, want granted", g, err)
		}
		if err := entry.Finish(ctx, "k", "b", Stored{Status: 204}); err != nil {
			t.Error(err)
		}
		if g, _ := owner.Claim(ctx, "k", "c"); g.Result != Done || g.Stored.Status != 204 {
			t.Errorf("after the run: got %v, want done with status 204", g)
		}
		// A claim that arrives after its release must not hold the key.
		if err := entry.Release(ctx, "l", "d"); err != nil {
			t.Error(err)
		}
		if _, err := owner.Claim(ctx, "l", "d"); !errors.Is(err, ErrUnavailable) {
			t.Errorf("claim after its release: got %v, want ErrUnavailable", err)
		}
		entry.Peer = func(string) Owner { return nil }
		if _, err := entry.Claim(ctx, "k", "e"); !errors.Is(err, ErrUnavailable) {
			t.Errorf("unknown owner: got %v, want ErrUnavailable", err)
		}
		for _, r := range []*Router{entry, owner} {
			if err := r.Close(ctx); err != nil {
				t.Error(err)
			}
		}
	})
}
