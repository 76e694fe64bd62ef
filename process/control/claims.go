package control

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/kingcuppitch/kingcuppitch/request/claim"
	wirev1 "github.com/kingcuppitch/kingcuppitch/wire/v1"
	"github.com/kingcuppitch/kingcuppitch/wire/v1/wirev1connect"
)

// newRouter returns the router of claims. The owner of a shard is chosen among
// the members that this daemon knows; a wrong choice costs appends only.
func newRouter(c *control) *claim.Router {
	return &claim.Router{
		Owners: func(shard int) (string, bool) {
			snap := c.view.Load()
			name := claim.OwnerOf(shard, snap.members())
			return name, name == snap.Self.Name
		},
		Peer: func(name string) claim.Owner {
			for _, m := range c.view.Load().Members {
				if m.Name == name {
					return &remoteOwner{control: c, peer: m.Peer}
				}
			}
			return nil
		},
		Open: func(shard int) *claim.Writer { return claim.NewWriter(c.log, shard) },
	}
}

// remoteOwner serves claims through the daemon that owns the shard.
type remoteOwner struct {
	*control
	peer netip.AddrPort
}

// claimClient returns the client of a peer for claims.
func (c *control) claimClient(addr netip.AddrPort) wirev1connect.ControlClient {
	return wirev1connect.NewControlClient(c.claimPeers.Client(addr), "http://"+addr.String())
}

// Claim implements claim.Owner.
func (o *remoteOwner) Claim(ctx context.Context, key, claimID string) (claim.Grant, error) {
	deadline, _ := ctx.Deadline()
	res, err := o.claimClient(o.peer).Claim(ctx, connect.NewRequest(&wirev1.ClaimRequest{
		Shard: shardOf(key), Key: key, ClaimId: claimID, DeadlineUnixNano: deadline.UnixNano(),
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
	_, err := o.claimClient(o.peer).Release(ctx, connect.NewRequest(&wirev1.ReleaseRequest{Shard: shardOf(key), Key: key, ClaimId: claimID}))
	return err
}

// Finish implements claim.Owner.
func (o *remoteOwner) Finish(ctx context.Context, key, claimID string, s claim.Stored) error {
	_, err := o.claimClient(o.peer).Finish(ctx, connect.NewRequest(&wirev1.FinishRequest{
		Shard: shardOf(key), Key: key, ClaimId: claimID,
		Status: int32(s.Status), ContentType: s.ContentType, Body: s.Body, Truncated: s.Truncated, //nolint:gosec // an HTTP status
	}))
	return err
}

func shardOf(key string) int32 { return int32(claim.Shard(key)) } //nolint:gosec // below claim.Shards

// Claim implements wirev1connect.ControlHandler.
func (s *service) Claim(ctx context.Context, req *connect.Request[wirev1.ClaimRequest]) (*connect.Response[wirev1.ClaimResponse], error) {
	ctx, cancel := context.WithDeadline(ctx, time.Unix(0, req.Msg.GetDeadlineUnixNano()))
	defer cancel()
	owner, err := s.localOwner(req.Msg.GetKey(), req.Msg.GetShard())
	if err != nil {
		return nil, err
	}
	g, err := owner.Claim(ctx, req.Msg.GetKey(), req.Msg.GetClaimId())
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&wirev1.ClaimResponse{
		Result: string(g.Result), RunByUnixNano: g.RunBy.UnixNano(), Status: int32(g.Stored.Status), //nolint:gosec // an HTTP status
		ContentType: g.Stored.ContentType, Body: g.Stored.Body, Truncated: g.Stored.Truncated,
	}), nil
}

// Release implements wirev1connect.ControlHandler.
func (s *service) Release(ctx context.Context, req *connect.Request[wirev1.ReleaseRequest]) (*connect.Response[wirev1.ReleaseResponse], error) {
	owner, err := s.localOwner(req.Msg.GetKey(), req.Msg.GetShard())
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
	owner, err := s.localOwner(req.Msg.GetKey(), req.Msg.GetShard())
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

// localOwner checks that both releases place the key in the same shard.
func (s *service) localOwner(key string, shard int32) (claim.Owner, error) {
	if shardOf(key) != shard {
		return nil, connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("key belongs to shard %d, not %d", shardOf(key), shard))
	}
	owner, err := s.claims.Local(key)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return owner, nil
}
