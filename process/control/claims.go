package control

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/kingcuppitch/kingcuppitch/process/membership"
	"github.com/kingcuppitch/kingcuppitch/request/claim"
	wirev1 "github.com/kingcuppitch/kingcuppitch/wire/v1"
	"github.com/kingcuppitch/kingcuppitch/wire/v1/wirev1connect"
)

// owner is the owner of a shard as this daemon sees it.
type owner struct {
	name  string
	local bool
	// authoritative is false if the owner is in another zone, where this daemon may
	// know only a few members. The members of that zone know the owner.
	authoritative bool
}

// shardOwners chooses the owner of each shard by rendezvous hashing: first the
// zone, among those of the known members, and then the daemon among the members of
// that zone, so that a shard has one writer in the whole mesh. A wrong choice only
// costs extra appends.
func (s *Snapshot) shardOwners() (owners [claim.Shards]owner) {
	byZone := make(map[string][]string)
	for _, m := range s.Members {
		if m.State != membership.Leaving && m.State != membership.Suspect {
			byZone[m.Zone] = append(byZone[m.Zone], m.Name)
		}
	}
	zones := slices.Sorted(maps.Keys(byZone))
	for shard := range owners {
		zone := claim.OwnerOf(shard, zones)
		name := claim.OwnerOf(shard, byZone[zone])
		owners[shard] = owner{name: name, local: name == s.Self.Name, authoritative: zone == s.Self.Zone}
	}
	return owners
}

// newClaimRouter returns the router that sends claims to the owners of their
// shards.
func newClaimRouter(c *control) *claim.Router {
	return &claim.Router{
		Owners: func(shard int) (string, bool) {
			o := c.view.Load().owners()[shard]
			return o.name, o.local
		},
		Peer: func(name string) claim.Owner {
			if o := c.peerOwner(name, false); o != nil {
				return o
			}
			return nil
		},
		Open: func(shard int) *claim.Writer { return claim.NewWriter(c.log, shard) },
	}
}

// claimLoop opens the writers of the shards that this daemon owns and closes all
// others. The records of a shard without an open writer are not carried forward
// before they expire from the log.
func (c *control) claimLoop() {
	for c.pause(jitter(claimSyncPeriod)) {
		if !c.view.Load().Serving {
			continue
		}
		ctx, cancel := context.WithTimeout(c.ctx, claimSyncTimeout)
		if err := c.claims.Sync(ctx); err != nil {
			c.metrics.Add("control.claimSyncFailures", 1)
		}
		cancel()
	}
}

// peerOwner returns the named member as an owner, or nil if it is not known.
func (c *control) peerOwner(name string, forwarded bool) *remoteOwner {
	for _, m := range c.view.Load().Members {
		if m.Name == name {
			return &remoteOwner{control: c, peer: m.Peer, forwarded: forwarded}
		}
	}
	return nil
}

// remoteOwner forwards claims to the daemon that owns the shard.
type remoteOwner struct {
	*control
	peer      netip.AddrPort
	forwarded bool
}

// claimClient returns the client for claims at a peer.
func (c *control) claimClient(addr netip.AddrPort) wirev1connect.ControlClient {
	return wirev1connect.NewControlClient(c.claimPeers.Client(addr), "http://"+addr.String())
}

// Claim implements claim.Owner.
func (o *remoteOwner) Claim(ctx context.Context, key, claimID string) (claim.Grant, error) {
	deadline, _ := ctx.Deadline()
	res, err := o.claimClient(o.peer).Claim(ctx, connect.NewRequest(&wirev1.ClaimRequest{
		Shard: shardOf(key), Key: key, ClaimId: claimID, DeadlineUnixNano: deadline.UnixNano(), Forwarded: o.forwarded,
	}))
	if err != nil {
		return claim.Grant{Result: claim.Unavailable}, err
	}
	m := res.Msg
	return claim.Grant{
		Result: claim.Result(m.GetResult()), RunBy: time.Unix(0, m.GetRunByUnixNano()),
		Stored: claim.Stored{Status: int(m.GetStatus()), ContentType: m.GetContentType(), Body: m.GetBody(), Truncated: m.GetTruncated()},
	}, nil
}

// Release implements claim.Owner.
func (o *remoteOwner) Release(ctx context.Context, key, claimID string) error {
	_, err := o.claimClient(o.peer).Release(ctx, connect.NewRequest(&wirev1.ReleaseRequest{Shard: shardOf(key), Key: key, ClaimId: claimID, Forwarded: o.forwarded}))
	return err
}

// Finish implements claim.Owner.
func (o *remoteOwner) Finish(ctx context.Context, key, claimID string, s claim.Stored) error {
	_, err := o.claimClient(o.peer).Finish(ctx, connect.NewRequest(&wirev1.FinishRequest{
		Shard: shardOf(key), Key: key, ClaimId: claimID,
		Forwarded: o.forwarded,
		Status:    int32(s.Status), ContentType: s.ContentType, Body: s.Body, Truncated: s.Truncated, //nolint:gosec // an HTTP status
	}))
	return err
}

func shardOf(key string) int32 { return int32(claim.Shard(key)) } //nolint:gosec // below claim.Shards

// Claim implements wirev1connect.ControlHandler.
func (s *service) Claim(ctx context.Context, req *connect.Request[wirev1.ClaimRequest]) (*connect.Response[wirev1.ClaimResponse], error) {
	ctx, cancel := context.WithDeadline(ctx, time.Unix(0, req.Msg.GetDeadlineUnixNano()))
	defer cancel()
	owner, err := s.owner(req.Msg)
	if err != nil {
		return nil, err
	}
	g, err := owner.Claim(ctx, req.Msg.GetKey(), req.Msg.GetClaimId())
	if err != nil && !errors.Is(err, claim.ErrUnavailable) {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	if err != nil {
		// The writer itself releases a claim that it did not grant. An error here
		// would make the router at the requesting daemon release it again.
		g = claim.Grant{Result: claim.Unavailable}
	}
	return connect.NewResponse(&wirev1.ClaimResponse{
		Result: string(g.Result), RunByUnixNano: g.RunBy.UnixNano(), Status: int32(g.Stored.Status), //nolint:gosec // an HTTP status
		ContentType: g.Stored.ContentType, Body: g.Stored.Body, Truncated: g.Stored.Truncated,
	}), nil
}

// Release implements wirev1connect.ControlHandler.
func (s *service) Release(ctx context.Context, req *connect.Request[wirev1.ReleaseRequest]) (*connect.Response[wirev1.ReleaseResponse], error) {
	owner, err := s.owner(req.Msg)
	if err != nil {
		return nil, err
	}
	if err := owner.Release(ctx, req.Msg.GetKey(), req.Msg.GetClaimId()); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&wirev1.ReleaseResponse{}), nil
}

// Finish implements wirev1connect.ControlHandler.
func (s *service) Finish(ctx context.Context, req *connect.Request[wirev1.FinishRequest]) (*connect.Response[wirev1.FinishResponse], error) {
	owner, err := s.owner(req.Msg)
	if err != nil {
		return nil, err
	}
	stored := claim.Stored{
		Status: int(req.Msg.GetStatus()), ContentType: req.Msg.GetContentType(),
		Body: req.Msg.GetBody(), Truncated: req.Msg.GetTruncated(),
	}
	if err := owner.Finish(ctx, req.Msg.GetKey(), req.Msg.GetClaimId(), stored); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&wirev1.FinishResponse{}), nil
}

// claimMessage is a request for a key.
type claimMessage interface {
	GetKey() string
	GetShard() int32
	GetForwarded() bool
}

// owner returns the owner that serves a peer's request: this daemon or, if the peer
// knows only some members of this zone, the owner that this daemon knows.
func (s *service) owner(msg claimMessage) (claim.Owner, error) {
	shard := shardOf(msg.GetKey())
	if shard != msg.GetShard() {
		return nil, connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("key belongs to shard %d, not %d", shard, msg.GetShard()))
	}
	if o := s.view.Load().owners()[shard]; !msg.GetForwarded() && !o.local && o.authoritative {
		if next := s.peerOwner(o.name, true); next != nil {
			return next, nil
		}
	}
	local, err := s.claims.Local(msg.GetKey())
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return local, nil
}
