package usage

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/kingcuppitch/kingcuppitch/process/membership"
)

// maxCandidates is the number of daemons that collect counts and may acquire the lease.
const maxCandidates = 3

// task is hashed with the names of the members.
const task = "usage/"

// candidates returns the first members in the order of a hash, among those that answer.
// Those that do not reach the store come last. Daemons that know the same members choose
// the same ones.
func candidates(members []membership.Member) []membership.Member {
	type choice struct {
		member *membership.Member
		weight uint64
	}
	best := make([]choice, 0, maxCandidates+1)
	for i := range members {
		m := &members[i]
		switch m.State {
		case membership.Leaving, membership.Suspect, membership.Dead:
			continue
		}
		if !m.Peer.IsValid() {
			continue
		}
		c := choice{m, xxhash.Sum64String(task + m.Name)}
		if c.weight >>= 1; !m.LogUnreachable {
			c.weight |= 1 << 63
		}
		at, _ := slices.BinarySearchFunc(best, c, func(a, b choice) int {
			return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.member.Name, b.member.Name))
		})
		if best = slices.Insert(best, at, c); len(best) > maxCandidates {
			best = best[:maxCandidates]
		}
	}
	out := make([]membership.Member, 0, len(best))
	for _, c := range best {
		out = append(out, *c.member)
	}
	return out
}

// turnOf returns the place of a daemon among the candidates other than the holder.
func turnOf(self, holder string, list []membership.Member) Turn {
	rank := 0
	for _, m := range list {
		if m.Name == self {
			return Turn{Candidate: true, Rank: rank}
		}
		if m.Name != holder {
			rank++
		}
	}
	return Turn{Rank: rank}
}
