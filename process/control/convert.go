package control

import (
	"net/netip"

	"github.com/kingcuppitch/kingcuppitch/process/membership"
	wirev1 "github.com/kingcuppitch/kingcuppitch/wire/v1"
)

func toWire(m membership.Member) *wirev1.Member {
	return &wirev1.Member{
		Name: m.Name, Region: m.Region, Zone: m.Zone, PeerAddress: m.Peer.String(), CallerAddress: m.Caller.String(),
		Service: m.Service, Version: m.Version, State: string(m.State), Incarnation: m.Incarnation, Seq: m.Seq,
		LogOut: m.LogUnreachable, UpstreamId: m.UpstreamID, UpstreamIncarnation: m.UpstreamIncarnation,
		UpstreamSlots: uint32(max(0, m.Slots)), //nolint:gosec // a number of requests
	}
}

// fromWire returns the zero Member if an address is malformed; the membership table
// ignores members without a name.
func fromWire(m *wirev1.Member) membership.Member {
	peer, err := netip.ParseAddrPort(m.GetPeerAddress())
	if err != nil {
		return membership.Member{}
	}
	caller, err := netip.ParseAddrPort(m.GetCallerAddress())
	if err != nil {
		return membership.Member{}
	}
	return membership.Member{
		Name: m.GetName(), Region: m.GetRegion(), Zone: m.GetZone(), Peer: peer, Caller: caller,
		Service: m.GetService(), Version: m.GetVersion(), State: membership.State(m.GetState()),
		Incarnation: m.GetIncarnation(), Seq: m.GetSeq(), LogUnreachable: m.GetLogOut(),
		UpstreamID: m.GetUpstreamId(), UpstreamIncarnation: m.GetUpstreamIncarnation(), Slots: int(m.GetUpstreamSlots()),
	}
}

func membersToWire(list []membership.Member) []*wirev1.Member {
	out := make([]*wirev1.Member, 0, len(list))
	for _, m := range list {
		out = append(out, toWire(m))
	}
	return out
}

func membersFromWire(list []*wirev1.Member) []membership.Member {
	out := make([]membership.Member, 0, len(list))
	for _, m := range list {
		out = append(out, fromWire(m))
	}
	return out
}

func digestsToWire(list []membership.Digest) []*wirev1.Digest {
	out := make([]*wirev1.Digest, 0, len(list))
	for _, d := range list {
		out = append(out, &wirev1.Digest{Scope: d.Scope, Hash: d.Hash, Count: uint32(d.Count)}) //nolint:gosec // a count of members
	}
	return out
}

func digestsFromWire(list []*wirev1.Digest) []membership.Digest {
	out := make([]membership.Digest, 0, len(list))
	for _, d := range list {
		out = append(out, membership.Digest{Scope: d.GetScope(), Hash: d.GetHash(), Count: int(d.GetCount())})
	}
	return out
}
