// Package membership holds the members that a daemon knows and merges the entries
// that its peers know.
//
// A member describes one daemon and the upstream instance beside it. Entries
// are ordered by incarnation, sequence number and liveness, so merging is
// commutative and idempotent. A suspected member refutes with a higher sequence
// number. A daemon holds the members of its own availability zone, those of the
// services that it follows, and a few contacts in every other zone; it never needs
// the whole fleet.
//
// The package uses no clock, socket or random source. The control actor calls it
// and sends and receives its messages.
//
// # Usage
//
//	tbl := membership.NewTable(self, "booking", "records")
//	changed := tbl.Merge(now, received)
//	peer, ok := tbl.Next(rnd)            // partner of the next exchange
//	reply := tbl.Delta(request.Digests)  // what the partner lacks
//	dead := tbl.Tick(now)
package membership

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// SuspectTimeout is how long a suspected member has to refute.
	SuspectTimeout = 3 * time.Second
	// RejoinPeriod is how long peers try to reach a member that has left: the
	// longest grace period of a stop and the start after it.
	RejoinPeriod = time.Minute
	// TombstonePeriod is how long a dead or departed member is remembered, so that
	// a late message does not bring it back.
	TombstonePeriod = 5 * time.Minute
	// contactsPerZone is the number of members kept as contacts in each zone other
	// than the daemon's own, if the followed services have fewer there.
	contactsPerZone = 3
)

// State is the state of a member.
type State string

// The states of a member. A member itself declares Starting to Leaving; its peers
// declare Suspect and Dead.
const (
	Starting State = "starting"
	Ready    State = "ready"
	Draining State = "draining"
	Leaving  State = "leaving"
	Suspect  State = "suspect"
	Dead     State = "dead"
)

// rank orders entries with the same sequence number.
func (s State) rank() int {
	switch s {
	case Suspect:
		return 1
	case Dead:
		return 2
	}
	return 0
}

// Member is one daemon and the upstream instance beside it.
type Member struct {
	Name   string
	Region string
	Zone   string
	// Peer is the address for other daemons and Caller that for callers.
	Peer, Caller netip.AddrPort
	// Service and Version name the upstream and its version; empty until the
	// upstream has announced itself.
	Service, Version string
	State            State
	// UpstreamID, UpstreamIncarnation and Slots come from the announcement of the
	// upstream.
	UpstreamID          string
	UpstreamIncarnation uint64
	Slots               int
	// LogUnreachable says that the daemon cannot read the log.
	LogUnreachable bool
	// Incarnation is the start time of the daemon in Unix nanoseconds.
	Incarnation uint64
	// Seq increases with every change that the member makes to its entry.
	Seq uint64
}

// Newer reports whether m replaces old.
func (m Member) Newer(old Member) bool {
	return cmp.Or(
		cmp.Compare(m.Incarnation, old.Incarnation),
		cmp.Compare(m.Seq, old.Seq),
		cmp.Compare(m.State.rank(), old.State.rank()),
	) > 0
}

// hash returns a hash of the entry's content for digests.
func (m Member) hash() uint64 {
	b := make([]byte, 0, 64)
	b = append(b, m.Name...)
	b = append(b, '/')
	b = strconv.AppendUint(b, m.Incarnation, 36)
	b = append(b, '/')
	b = strconv.AppendUint(b, m.Seq, 36)
	b = append(b, m.State...)
	return xxhash.Sum64(b)
}

// Digest summarises the live members of one scope: a zone or a service.
type Digest struct {
	Scope string
	Hash  uint64
	Count int
}

// ZoneScope returns the scope of an availability zone.
func ZoneScope(zone string) string { return "zone:" + zone }

// ServiceScope returns the scope of a service.
func ServiceScope(service string) string { return "service:" + service }

type entry struct {
	Member
	// deadline is when a suspect becomes dead or a tombstone is dropped.
	deadline time.Time
	// rejoinUntil is until when peers try to reach a member that has left.
	rejoinUntil time.Time
	// contentHash is the hash of the entry's content and nameHash that of its name.
	contentHash, nameHash uint64
	scopes                [2]string
	// beforeRestart is the last entry from before a restart of the daemon, kept
	// until its upstream has announced itself to the restarted daemon.
	beforeRestart *Member
}

func newEntry(m Member) *entry {
	return &entry{
		Member: m, contentHash: m.hash(), nameHash: xxhash.Sum64String(m.Name),
		scopes: [2]string{ZoneScope(m.Zone), ServiceScope(m.Service)},
	}
}

// Table holds the members that one daemon knows. It is not safe for concurrent use.
type Table struct {
	self    Member
	follow  map[string]bool
	entries map[string]*entry
	// live holds the entries that are not dead, sorted by name.
	live []*entry
	// selfBeforeRestart is the newest entry of this daemon from before its restart.
	selfBeforeRestart *Member
	// digests summarises the live entries of every scope, excluding the daemon
	// itself.
	digests map[string]Digest
	// order holds the shuffled names of the next exchange partners.
	order []string
}

// NewTable returns a table for the given daemon that follows its own zone, its
// own service and the given services.
func NewTable(self Member, follow ...string) *Table {
	t := &Table{self: self, entries: make(map[string]*entry), digests: make(map[string]Digest)}
	t.Follow(follow...)
	return t
}

// Self returns the daemon's own entry.
func (t *Table) Self() Member { return t.self }

// Update changes the daemon's own entry and increments its sequence number.
func (t *Table) Update(change func(m *Member)) Member {
	change(&t.self)
	t.self.Seq++
	return t.self
}

// Follow sets the services whose members are held in all zones.
func (t *Table) Follow(services ...string) {
	t.follow = make(map[string]bool, len(services))
	for _, s := range services {
		t.follow[s] = true
	}
}

// Merge merges the entries received from a peer and returns the new ones.
func (t *Table) Merge(now time.Time, members []Member) []Member {
	var changed []Member
	for _, m := range members {
		if m.Name == t.self.Name {
			if m.Incarnation < t.self.Incarnation && m.UpstreamID != "" && (t.selfBeforeRestart == nil || m.Newer(*t.selfBeforeRestart)) {
				t.selfBeforeRestart = &m
			}
			if t.refute(m) {
				changed = append(changed, t.self)
			}
			continue
		}
		if m.Name == "" || !t.wants(m) {
			continue
		}
		if t.put(now, m) {
			changed = append(changed, m)
		}
	}
	return changed
}

// BeforeRestart returns the entry of a member and its upstream from before the
// member restarted. It is available until the upstream has announced itself to the
// restarted member.
func (t *Table) BeforeRestart(name string) (Member, bool) {
	if e, ok := t.entries[name]; ok && e.beforeRestart != nil {
		return *e.beforeRestart, true
	}
	return Member{}, false
}

// SelfBeforeRestart returns the entry of this daemon and its upstream that peers
// remember from before this daemon restarted.
func (t *Table) SelfBeforeRestart() (Member, bool) {
	if t.selfBeforeRestart == nil {
		return Member{}, false
	}
	return *t.selfBeforeRestart, true
}

// refute raises the daemon's incarnation and sequence number above those of a newer
// entry for it: one that declares it suspect or dead, or one from before its
// restart.
func (t *Table) refute(m Member) bool {
	if m == t.self || !m.Newer(t.self) {
		return false
	}
	t.self.Incarnation = max(t.self.Incarnation, m.Incarnation)
	t.self.Seq = max(t.self.Seq, m.Seq) + 1
	return true
}

func (t *Table) put(now time.Time, m Member) bool {
	old, ok := t.entries[m.Name]
	if ok && !m.Newer(old.Member) {
		return false
	}
	if !ok && m.State == Dead {
		// A member that this daemon never held needs no tombstone.
		return false
	}
	e := newEntry(m)
	switch m.State {
	case Suspect:
		e.deadline = now.Add(SuspectTimeout)
	case Dead:
		e.deadline = now.Add(TombstonePeriod)
	case Leaving:
		e.rejoinUntil = now.Add(RejoinPeriod)
	}
	if ok {
		t.countInDigests(old, -1)
		switch {
		case m.Service != "":
		case old.Service != "" && old.UpstreamID != "":
			e.beforeRestart = &old.Member
		default:
			e.beforeRestart = old.beforeRestart
		}
	}
	t.countInDigests(e, 1)
	t.entries[m.Name] = e
	i, listed := slices.BinarySearchFunc(t.live, m.Name, func(e *entry, name string) int { return strings.Compare(e.Name, name) })
	switch {
	case e.State == Dead && listed:
		t.live = slices.Delete(t.live, i, i+1)
	case e.State == Dead:
	case listed:
		t.live[i] = e
	default:
		t.live = slices.Insert(t.live, i, e)
	}
	return true
}

// countInDigests adds an entry to the digests of its scopes if n is 1 and removes
// it if n is -1.
func (t *Table) countInDigests(e *entry, n int) {
	if e.State == Dead {
		return
	}
	for _, scope := range e.scopes {
		d := t.digests[scope]
		d.Hash ^= e.contentHash
		if d.Count += n; d.Count == 0 {
			delete(t.digests, scope)
			continue
		}
		t.digests[scope] = d
	}
}

// wants reports whether the table should hold the member.
func (t *Table) wants(m Member) bool {
	if _, held := t.entries[m.Name]; held || t.Authoritative(ZoneScope(m.Zone)) || t.Authoritative(ServiceScope(m.Service)) {
		return true
	}
	return t.digests[ZoneScope(m.Zone)].Count < contactsPerZone
}

// Authoritative reports whether the table holds all members of the scope.
func (t *Table) Authoritative(scope string) bool {
	switch {
	case scope == ZoneScope(t.self.Zone):
		return true
	case t.self.Service != "" && scope == ServiceScope(t.self.Service):
		return true
	}
	for s := range t.follow {
		if scope == ServiceScope(s) {
			return true
		}
	}
	return false
}

// Suspect marks an unresponsive member as suspect and returns its new entry.
func (t *Table) Suspect(now time.Time, name string) (Member, bool) {
	e, ok := t.entries[name]
	if !ok || e.State.rank() > 0 {
		return Member{}, false
	}
	m := e.Member
	m.State = Suspect
	t.put(now, m)
	return m, true
}

// Tick declares suspects dead after SuspectTimeout, drops old tombstones, and
// returns the members that have become dead.
func (t *Table) Tick(now time.Time) []Member {
	var dead []Member
	for name, e := range t.entries {
		if e.deadline.IsZero() || now.Before(e.deadline) {
			continue
		}
		if e.State == Dead {
			delete(t.entries, name) // not counted in the digests any more
			continue
		}
		m := e.Member
		m.State = Dead
		t.put(now, m)
		dead = append(dead, m)
	}
	slices.SortFunc(dead, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return dead
}

// Digests returns the digests of the scopes for which the daemon is
// authoritative.
func (t *Table) Digests() []Digest {
	self := newEntry(t.self)
	out := make([]Digest, 0, len(t.follow)+len(self.scopes))
	add := func(scope string) {
		d := t.digests[scope]
		d.Scope = scope
		if slices.Contains(self.scopes[:], scope) {
			d.Hash ^= self.contentHash
			d.Count++
		}
		out = append(out, d)
	}
	add(self.scopes[0])
	if t.self.Service != "" && !t.follow[t.self.Service] {
		add(self.scopes[1])
	}
	for s := range t.follow {
		add(ServiceScope(s))
	}
	slices.SortFunc(out, func(a, b Digest) int { return cmp.Compare(a.Scope, b.Scope) })
	return out
}

// Len returns the number of members in the table, including dead ones and the
// daemon itself.
func (t *Table) Len() int { return len(t.entries) + 1 }

// ZoneSize returns the number of known live members in a zone, including the daemon
// itself.
func (t *Table) ZoneSize(zone string) int {
	n := t.digests[ZoneScope(zone)].Count
	if zone == t.self.Zone {
		n++
	}
	return n
}

// Delta returns the entries that a peer with the given digests may lack: those of
// scopes whose digests differ, and the few known ones of other scopes of which the
// peer knows no member.
func (t *Table) Delta(theirs []Digest) []Member {
	own := make(map[string]Digest)
	for _, d := range t.Digests() {
		own[d.Scope] = d
	}
	scopes := make(map[string]bool)
	for _, d := range theirs {
		o, authoritative := own[d.Scope]
		if authoritative && o.Hash != d.Hash || !authoritative && d.Count == 0 {
			scopes[d.Scope] = true
		}
	}
	out := []Member{t.self}
	if len(scopes) == 0 {
		return out
	}
	for _, e := range t.entries {
		if scopes[e.scopes[0]] || scopes[e.scopes[1]] {
			out = append(out, e.Member)
		}
	}
	slices.SortFunc(out[1:], func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Next returns the partner of the next exchange. It returns every live member once
// before it returns any again, which bounds the time to detect a failure. rnd in
// [0,1) shuffles the order.
func (t *Table) Next(rnd float64) (Member, bool) {
	for range 2 {
		for len(t.order) > 0 {
			name := t.order[len(t.order)-1]
			t.order = t.order[:len(t.order)-1]
			if e, ok := t.entries[name]; ok && e.State != Dead && e.State != Leaving {
				return e.Member, true
			}
		}
		for name, e := range t.entries {
			if e.State != Dead && e.State != Leaving {
				t.order = append(t.order, name)
			}
		}
		salt := math.Float64bits(rnd)
		slices.SortFunc(t.order, func(a, b string) int {
			return cmp.Compare(mix(t.entries[a].nameHash, salt), mix(t.entries[b].nameHash, salt))
		})
	}
	return Member{}, false
}

// RejoinCandidate returns a random member that is dead, or has left in the last
// RejoinPeriod, and may have returned without knowing any member. rnd in [0,1)
// chooses it.
func (t *Table) RejoinCandidate(now time.Time, rnd float64) (Member, bool) {
	salt := math.Float64bits(rnd)
	var best *entry
	for _, e := range t.entries {
		lost := e.State == Dead || e.State == Leaving && now.Before(e.rejoinUntil)
		if lost && (best == nil || mix(e.nameHash, salt) < mix(best.nameHash, salt)) {
			best = e
		}
	}
	if best == nil {
		return Member{}, false
	}
	return best.Member, true
}

// Random returns up to n live members that accept returns true for, in a random
// order given by rnd in [0,1).
func (t *Table) Random(rnd float64, n int, accept func(Member) bool) []Member {
	// list holds the first n accepted members by salted hash, in order.
	list := make([]*entry, 0, n+1)
	salt := math.Float64bits(rnd)
	byKey := func(a, b *entry) int { return cmp.Compare(mix(a.nameHash, salt), mix(b.nameHash, salt)) }
	for _, e := range t.live {
		if e.State == Leaving || !accept(e.Member) {
			continue
		}
		if len(list) == n && (n == 0 || mix(e.nameHash, salt) >= mix(list[n-1].nameHash, salt)) {
			continue
		}
		i, _ := slices.BinarySearchFunc(list, e, byKey)
		if list = slices.Insert(list, i, e); len(list) > n {
			list = list[:n]
		}
	}
	out := make([]Member, 0, len(list))
	for _, e := range list {
		out = append(out, e.Member)
	}
	return out
}

// Branch is a member and the range of hashes of the other members to which it relays a
// message.
type Branch struct {
	Member      Member
	First, Last uint64
}

// Branches splits the responsive members of the daemon's zone, without the named origin of
// a message, whose hash with the salt is in a range into at most n branches of equal size.
// The member of a branch is to relay the message to the others in its range.
func (t *Table) Branches(origin string, salt, first, last uint64, n int) []Branch {
	type keyed struct {
		key   uint64
		entry *entry
	}
	var list []keyed
	for _, e := range t.live {
		key := mix(e.nameHash, salt)
		if e.Zone == t.self.Zone && e.State.rank() == 0 && e.State != Leaving && e.Name != origin && first <= key && key <= last {
			list = append(list, keyed{key, e})
		}
	}
	slices.SortFunc(list, func(a, b keyed) int { return cmp.Compare(a.key, b.key) })
	n = min(n, len(list))
	out := make([]Branch, 0, n)
	for i := range n {
		head, end := list[i*len(list)/n], last
		if i+1 < n {
			end = list[(i+1)*len(list)/n].key - 1
		}
		if head.key < math.MaxUint64 {
			head.key++
		}
		out = append(out, Branch{head.entry.Member, head.key, end})
	}
	return out
}

// mix returns a hash of a key and a salt.
func mix(key, salt uint64) uint64 {
	// These are the steps of SplitMix64.
	x := key ^ salt
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// All returns the daemon itself and all members that are not dead, sorted by name.
func (t *Table) All() []Member {
	out := make([]Member, 0, len(t.live)+1)
	own := false
	for _, e := range t.live {
		if !own && t.self.Name < e.Name {
			out, own = append(out, t.self), true
		}
		out = append(out, e.Member)
	}
	if !own {
		out = append(out, t.self)
	}
	return out
}

// Get returns the entry of a member that is not dead.
func (t *Table) Get(name string) (Member, bool) {
	if name == t.self.Name {
		return t.self, true
	}
	e, ok := t.entries[name]
	if !ok || e.State == Dead {
		return Member{}, false
	}
	return e.Member, true
}

// ZoneOrder returns the position of the daemon's zone for a task among the zones of
// the known members, by rendezvous hashing; 0 is the first choice.
func (t *Table) ZoneOrder(task string) int {
	key := xxhash.Sum64String(task)
	own, seen := mix(xxhash.Sum64String(t.self.Zone), key), make(map[string]bool)
	order := 0
	for _, e := range t.entries {
		if e.State == Dead || e.Zone == t.self.Zone || seen[e.Zone] {
			continue
		}
		seen[e.Zone] = true
		if mix(xxhash.Sum64String(e.Zone), key) > own {
			order++
		}
	}
	return order
}

// TaskOwners returns one live member of each known zone for a task, by rendezvous
// hashing. The daemon itself is a candidate. Daemons that know the same members
// choose the same ones.
func (t *Table) TaskOwners(task string) []Member {
	type choice struct {
		member       *Member
		task, weight uint64
	}
	best := make(map[string]*choice)
	consider := func(m *Member, key uint64) {
		c, ok := best[m.Zone]
		if !ok {
			c = &choice{task: xxhash.Sum64String(task + "/" + m.Zone)}
			best[m.Zone] = c
		}
		if w := mix(key, c.task); c.member == nil || w > c.weight {
			c.member, c.weight = m, w
		}
	}
	consider(&t.self, xxhash.Sum64String(t.self.Name))
	for _, e := range t.live {
		if e.State.rank() == 0 && e.State != Leaving {
			consider(&e.Member, e.nameHash)
		}
	}
	out := make([]Member, 0, len(best))
	for _, c := range best {
		out = append(out, *c.member)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// ZoneRank returns the position of the daemon for a task among the live members of
// its zone that can read the log, by rendezvous hashing; 0 is the first choice.
// Daemons that know different members may disagree.
func (t *Table) ZoneRank(task string) int {
	key := xxhash.Sum64String(task + "/" + t.self.Zone)
	own, rank := mix(xxhash.Sum64String(t.self.Name), key), 0
	for _, e := range t.entries {
		if e.Zone == t.self.Zone && e.State.rank() == 0 && e.State != Leaving && !e.LogUnreachable && mix(e.nameHash, key) > own {
			rank++
		}
	}
	return rank
}
