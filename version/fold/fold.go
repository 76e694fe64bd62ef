// Package fold applies the records of the configuration stream to the state that
// is replicated on every daemon.
//
// Apply is deterministic in the state and the record, so all daemons that fold
// the same stream accept and refuse the same records and reach the same state.
// Each record is applied atomically. The offset never decreases.
//
// # Usage
//
//	var st fold.State
//	for _, e := range entries {
//		out := st.Apply(e.Offset, e.Data)
//		if out.Result == fold.Refused {
//			log.Info("record refused", "offset", e.Offset, "reason", out.Reason)
//		}
//	}
//	preset, ok := st.InForce(now)
package fold

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/kingcuppitch/kingcuppitch/version/config"
	"github.com/kingcuppitch/kingcuppitch/version/era"
	"github.com/kingcuppitch/kingcuppitch/version/record"
	"github.com/rotisserie/eris"
)

// MaxOutcomes is the number of outcomes that the state retains to detect records
// that were appended twice.
const MaxOutcomes = 1024

// maxReasonBytes bounds the reason of a refusal. Reasons are part of the state, and
// a large configuration can have thousands of problems.
const maxReasonBytes = 1024

// MaxRemarks is the number of remarks on a configuration that the state retains.
const MaxRemarks = 16

// MaxEndedMoves is the number of ended moves that the state retains.
const MaxEndedMoves = 256

// Result is the result of applying a record.
type Result string

// The results of applying a record.
const (
	Accepted  Result = "accepted"
	Refused   Result = "refused"
	Duplicate Result = "duplicate"
	// Skipped marks a record that was already folded, is malformed, or was
	// written by a newer release.
	Skipped Result = "skipped"
)

// Outcome is the result of one record.
type Outcome struct {
	Offset int64       `json:"offset"`
	ID     string      `json:"id"`
	Kind   record.Kind `json:"kind,omitempty"`
	Result Result      `json:"result"`
	Reason string      `json:"reason,omitempty"`
	// Winner is the version that a refused record conflicts with: a change after
	// its base, or a running move.
	Winner int64 `json:"winner,omitempty"`
	// Newer marks a record that a newer release wrote.
	Newer bool `json:"newer,omitempty"`
	// Sum is that of the record. Lost marks a record that the log has lost in a restore.
	Sum  uint64 `json:"sum,omitempty"`
	Lost bool   `json:"lost,omitempty"`
}

// MoveState is the state of a move.
type MoveState string

// The states of a move.
const (
	MoveRunning   MoveState = "running"
	MoveDone      MoveState = "done"
	MoveTakenBack MoveState = "takenBack"
)

// Move is a move between two versions of an upstream.
type Move struct {
	// ID is the offset of the record that started the move.
	ID int64 `json:"id"`
	// Order is the offset of the record that ordered the move again after the log had
	// been restored; zero if there is none.
	Order int64 `json:"order,omitempty"`
	record.Move
	State    MoveState `json:"state"`
	Reason   string    `json:"reason,omitempty"`
	Evidence string    `json:"evidence,omitempty"`
	EndedAt  time.Time `json:"endedAt"`
	// Replaced marks a move that counts as taken back because a later order replaced it
	// before its end was known.
	Replaced bool `json:"replaced,omitempty"`
	// InForce marks a move that is done because its target was in force already.
	InForce bool `json:"inForce,omitempty"`
}

// Zone is the state of an availability zone: out of service, or in service, where
// its share of the traffic ramps up after it came back.
type Zone struct {
	Out       bool      `json:"out"`
	RampFrom  time.Time `json:"rampFrom"`
	RampUntil time.Time `json:"rampUntil"`
}

// Activation is an entry of the preset schedule.
type Activation struct {
	Name string    `json:"name"`
	At   time.Time `json:"at"`
}

// State is the folded state; the zero value is the state before any record.
type State struct {
	// Offset is the offset of the last folded record.
	Offset int64 `json:"offset"`
	// Version is the offset of the last accepted record.
	Version int64 `json:"version"`
	// Revision is that of the configuration; zero if it has none. It never decreases.
	Revision int64 `json:"revision,omitempty"`
	// Carried is the offset up to which the state includes the records of earlier eras
	// of the log, also those that the log has lost; zero if it includes none of them. Of
	// two states of an era, the one with the larger offset is the more complete one.
	Carried int64         `json:"carried,omitempty"`
	Config  config.Config `json:"config"`
	// Touched holds the last change of each resource, by its key.
	Touched map[string]LastChange `json:"touched"`
	Zones   map[string]Zone       `json:"zones"`
	Moves   []Move                `json:"moves"`
	// Versions holds what the moves of an upstream have decided, by its name, also of
	// moves that are no longer in Moves. It holds announced upstreams only.
	Versions map[string]Versions `json:"versions,omitempty"`
	Schedule []Activation        `json:"schedule"`
	Outcomes []Outcome           `json:"outcomes"`
	// Newer counts the skipped records that a newer release wrote.
	Newer int64 `json:"newer"`
	// Remarks say which parts of the configuration are not in force as its author wrote
	// them.
	Remarks []string `json:"remarks,omitempty"`
}

// LastChange is the version and the author of the last change of a resource.
type LastChange struct {
	Version int64  `json:"version"`
	Author  string `json:"author,omitempty"`
}

// refusal is the error of a record that conflicts with version winner.
type refusal struct {
	reason string
	winner int64
}

func (e *refusal) Error() string { return e.reason }

// Clone returns a copy that shares no mutable state with s.
func (s *State) Clone() *State {
	c := *s
	c.Touched = maps.Clone(s.Touched)
	c.Zones = maps.Clone(s.Zones)
	c.Moves = slices.Clone(s.Moves)
	c.Versions = maps.Clone(s.Versions)
	c.Schedule = slices.Clone(s.Schedule)
	c.Remarks = slices.Clone(s.Remarks)
	c.Outcomes = slices.Clone(s.Outcomes)
	return &c
}

// Apply folds the record at the given offset into s. Records at or below the
// current offset are skipped, so late and duplicate deliveries have no effect.
// The caller delivers records without gaps.
func (s *State) Apply(offset int64, data []byte) Outcome {
	if offset <= s.Offset {
		return Outcome{Offset: offset, Result: Skipped, Reason: "already folded"}
	}
	s.Offset = offset
	rec, err := record.Decode(data)
	if err != nil {
		newer := errors.Is(err, record.ErrNewer)
		if newer {
			s.Newer++
		}
		return Outcome{Offset: offset, Result: Skipped, Reason: eris.Cause(err).Error(), Newer: newer}
	}
	out := Outcome{Offset: offset, ID: rec.ID, Kind: rec.Kind, Result: Accepted, Sum: rec.Sum}
	if prev, ok := s.Outcome(rec.ID); ok {
		out.Result = Duplicate
		out.Reason = fmt.Sprintf("already applied at offset %d", prev.Offset)
		return out
	}
	if rec.Kind == record.KindSnapshot {
		// The state of a snapshot equals the fold of the records before it, so
		// a daemon that has folded them has nothing to apply, unless the snapshot
		// includes records that the log has lost.
		s.applyCarried(offset, rec.Snapshot)
		return out
	}
	if err := s.apply(offset, rec); err != nil {
		out.Result = Refused
		out.Reason = truncateReason(err.Error())
		var ref *refusal
		if errors.As(err, &ref) {
			out.Winner = ref.winner
		}
	} else {
		s.Version = offset
	}
	s.Outcomes = append(s.Outcomes, out)
	if n := len(s.Outcomes) - MaxOutcomes; n > 0 {
		s.Outcomes = slices.Delete(s.Outcomes, 0, n)
	}
	return out
}

// applyCarried replaces the state by that of a snapshot of all records before it, if that
// includes more of earlier eras.
func (s *State) applyCarried(offset int64, snapshot *record.Snapshot) {
	if snapshot.UpTo != offset-1 || len(snapshot.State) == 0 {
		return
	}
	if st, err := DecodeState(snapshot.State); err == nil && st.Offset == snapshot.UpTo && st.Carried > s.Carried {
		*s = *st
		s.Offset = offset
	}
}

func truncateReason(reason string) string {
	if len(reason) <= maxReasonBytes {
		return reason
	}
	return strings.ToValidUTF8(reason[:maxReasonBytes], "") + " …"
}

// Outcome returns the outcome of the record with the given id.
func (s *State) Outcome(id string) (Outcome, bool) {
	for i := len(s.Outcomes) - 1; i >= 0; i-- {
		if s.Outcomes[i].ID == id {
			return s.Outcomes[i], true
		}
	}
	return Outcome{}, false
}

func (s *State) apply(offset int64, rec record.Record) error {
	switch rec.Kind {
	case record.KindPublish:
		return s.applyPublish(offset, rec)
	case record.KindReplace:
		return s.applyReplace(*rec.Replace, rec.Notes, rec.Revision)
	case record.KindNone:
		return nil
	case record.KindPreset:
		return s.applyPreset(offset, rec)
	case record.KindZone:
		return s.applyZone(offset, rec)
	case record.KindMove:
		return s.applyMove(offset, rec)
	case record.KindMoveStop:
		return s.endMove(rec, rec.MoveStop, MoveTakenBack)
	case record.KindVerdict:
		return s.endMove(rec, rec.Verdict, MoveTakenBack)
	case record.KindMoveDone:
		return s.endMove(rec, rec.MoveDone, MoveDone)
	}
	return fmt.Errorf("kind %q cannot be applied", rec.Kind)
}

func (s *State) applyPublish(offset int64, rec record.Record) error {
	if rec.Publish.Empty() {
		return errors.New("the change is empty")
	}
	keys := rec.Publish.Keys()
	for _, k := range keys {
		if err := s.checkBase(k.String(), rec.Base); err != nil {
			return err
		}
	}
	next := config.Apply(s.Config, *rec.Publish)
	if err := next.Validate(); err != nil {
		return err
	}
	if err := s.checkReferences(&next); err != nil {
		return err
	}
	s.Config = next
	for _, k := range keys {
		s.setTouched(k.String(), offset, rec.Author)
	}
	if presets := rec.Publish.Upserts.Presets; len(s.Schedule) == 0 && len(presets) > 0 {
		// The first configuration puts its first preset in force, so that
		// exactly one preset is in force from the first version on. The first
		// preset is the first in the record; the configuration is sorted by
		// name.
		s.Schedule = []Activation{{Name: presets[0].Name}}
	}
	return nil
}

// applyReplace puts a whole configuration in force. If the instances of an
// upstream announce their versions, the version that a move made active stays
// active. The schedule stays if the new configuration defines all its presets;
// otherwise the first preset is in force. A configuration of an earlier revision is
// refused: it comes from a log that has lost the later one. Its author has accepted
// the configuration by rules of its own, so what cannot be used as it is does not keep
// the rest from being in force; the remarks say what that is. notes are those of the
// record.
func (s *State) applyReplace(next config.Config, notes []string, revision int64) error {
	if revision > 0 && revision < s.Revision {
		return fmt.Errorf("revision %d is older than revision %d, which is in force", revision, s.Revision)
	}
	next, problems := next.Usable()
	for i := range next.Upstreams {
		u := &next.Upstreams[i]
		if u.Announced {
			u.Active = s.ActiveVersion(u.Name)
		}
	}
	s.Config, s.Revision = next, max(s.Revision, revision)
	s.Remarks = slices.Clone(notes)
	for _, p := range problems {
		s.Remarks = append(s.Remarks, truncateReason(p.Error()))
	}
	s.Remarks = s.Remarks[:min(len(s.Remarks), MaxRemarks)]
	for _, a := range s.Schedule {
		if _, ok := next.Preset(a.Name); !ok {
			s.Schedule = nil
			break
		}
	}
	if len(s.Schedule) == 0 && len(next.Presets) > 0 {
		s.Schedule = []Activation{{Name: next.Presets[0].Name}}
	}
	return nil
}

// checkReferences refuses a configuration that lacks a preset of the schedule or
// the upstream or a version of a running move, or that changes the active version
// of its upstream.
func (s *State) checkReferences(next *config.Config) error {
	for _, a := range s.Schedule {
		if _, ok := next.Preset(a.Name); !ok {
			return fmt.Errorf("preset %q is scheduled or in force and cannot be deleted", a.Name)
		}
	}
	for _, m := range s.Moves {
		if m.State != MoveRunning {
			continue
		}
		u, ok := next.Upstream(m.Upstream)
		if !ok || !slices.Contains(u.Versions, m.From) || !slices.Contains(u.Versions, m.To) || u.Active != m.From {
			return fmt.Errorf("upstream %q has a running move from %q to %q; stop move %d first", m.Upstream, m.From, m.To, m.ID)
		}
	}
	return nil
}

func (s *State) applyPreset(offset int64, rec record.Record) error {
	const key = "presetInForce"
	if err := s.checkBase(key, rec.Base); err != nil {
		return err
	}
	if _, ok := s.Config.Preset(rec.Preset.Name); !ok {
		return fmt.Errorf("preset %q is not defined", rec.Preset.Name)
	}
	at := rec.Preset.ActivateAt
	// The activation replaces those scheduled for the same time or later.
	s.Schedule = slices.DeleteFunc(s.Schedule, func(a Activation) bool { return !a.At.Before(at) && !a.At.IsZero() })
	s.Schedule = append(s.Schedule, Activation{Name: rec.Preset.Name, At: at})
	s.pruneSchedule(rec.At)
	s.setTouched(key, offset, rec.Author)
	return nil
}

// pruneSchedule drops activations that a later one has superseded at the given
// time.
func (s *State) pruneSchedule(now time.Time) {
	for len(s.Schedule) > 1 && !s.Schedule[1].At.After(now) {
		s.Schedule = s.Schedule[1:]
	}
}

func (s *State) applyZone(offset int64, rec record.Record) error {
	key := zoneKey(rec.Zone.Name)
	if err := s.checkBase(key, rec.Base); err != nil {
		return err
	}
	if _, ok := s.Config.Zone(rec.Zone.Name); !ok && len(s.Config.Zones) > 0 {
		// Without a configuration, the one that defines the zone may follow.
		return fmt.Errorf("availability zone %q is not defined", rec.Zone.Name)
	}
	if s.Zones == nil {
		s.Zones = make(map[string]Zone)
	}
	cur := s.Zones[rec.Zone.Name]
	if cur.Out == rec.Zone.Out {
		return fmt.Errorf("availability zone %q is already %s", rec.Zone.Name, zoneStatus(cur.Out))
	}
	if rec.Zone.Out {
		s.Zones[rec.Zone.Name] = Zone{Out: true}
	} else {
		s.Zones[rec.Zone.Name] = Zone{RampFrom: rec.At, RampUntil: rec.Zone.RampUntil}
	}
	s.setTouched(key, offset, rec.Author)
	return nil
}

func zoneKey(zone string) string { return "zoneState/" + zone }

func zoneStatus(out bool) string {
	if out {
		return "out"
	}
	return "in service"
}

func (s *State) applyMove(offset int64, rec record.Record) error {
	m := *rec.Move
	u, ok := s.Config.Upstream(m.Upstream)
	switch {
	case ok:
	case m.Within > 0:
		// The instances announce their versions, and the configuration that defines the
		// upstream may follow the order.
		u = config.Upstream{Name: m.Upstream, Announced: true}
	default:
		return fmt.Errorf("upstream %q is not defined", m.Upstream)
	}
	if i := s.orderedBefore(m, offset); i >= 0 {
		s.Moves[i].Order = offset
		return nil
	}
	for _, other := range s.Moves {
		if other.Upstream == m.Upstream && other.State == MoveRunning && !m.Replaces {
			return &refusal{fmt.Sprintf("upstream %q already has the running move %d", m.Upstream, other.ID), other.ID}
		}
	}
	if u.Announced {
		u.Active = s.ActiveVersion(m.Upstream)
		m.From = u.Active
	}
	if u.Active != m.From {
		return fmt.Errorf("upstream %q runs version %q, not %q", m.Upstream, u.Active, m.From)
	}
	if !u.Announced && !slices.Contains(u.Versions, m.To) {
		return fmt.Errorf("upstream %q has no version %q", m.Upstream, m.To)
	}
	if m.From == m.To && !u.Announced {
		return errors.New("the move has the same version as source and target")
	}
	if m.Within <= 0 && !m.DoneBy.After(m.StartAt) {
		return errors.New("doneBy is not after startAt")
	}
	for i, other := range s.Moves {
		if other.Upstream == m.Upstream && other.State == MoveRunning {
			s.Moves[i].State, s.Moves[i].Reason, s.Moves[i].Replaced = MoveTakenBack, fmt.Sprintf("replaced by move %d", offset), true
			s.withdraw(m.Upstream, other.To)
		}
	}
	next := Move{ID: offset, Move: m, State: MoveRunning}
	if u.Announced {
		s.unwithdraw(m.Upstream, m.To)
		next.follow(m.From)
	}
	s.Moves = append(s.Moves, next)
	s.pruneMoves()
	return nil
}

// orderedBefore returns the index of the newest move of an upstream if the given one, with
// an order at offset, repeats its order after the log has been restored, and -1 otherwise.
func (s *State) orderedBefore(m record.Move, offset int64) int {
	for i, old := range slices.Backward(s.Moves) {
		if old.Upstream != m.Upstream {
			continue
		}
		if m.Within > 0 && old.To == m.To && old.Within == m.Within && era.Of(old.OrderedAt()) < era.Of(offset) {
			return i
		}
		break
	}
	return -1
}

// OrderedAt returns the offset of the newest record that ordered the move.
func (m Move) OrderedAt() int64 { return cmp.Or(m.Order, m.ID) }

func (s *State) pruneMoves() {
	ended := 0
	for _, m := range s.Moves {
		if m.State != MoveRunning {
			ended++
		}
	}
	s.Moves = slices.DeleteFunc(s.Moves, func(m Move) bool {
		if m.State == MoveRunning || ended <= MaxEndedMoves {
			return false
		}
		ended--
		return true
	})
}

func (s *State) endMove(rec record.Record, end *record.MoveEnd, to MoveState) error {
	i := slices.IndexFunc(s.Moves, func(m Move) bool { return m.ID == end.Move })
	if i < 0 {
		return fmt.Errorf("move %d is not known", end.Move)
	}
	m := s.Moves[i]
	// A move may have been done before the order that replaced it.
	if m.State != MoveRunning && (!m.Replaced || to != MoveDone) {
		return fmt.Errorf("move %d has already ended: %s", m.ID, m.State)
	}
	s.Moves = slices.Clone(s.Moves)
	m.State, m.Reason, m.Evidence, m.EndedAt, m.Replaced = to, end.Reason, end.Evidence, rec.At, false
	s.Moves[i] = m
	u, defined := s.Config.Upstream(m.Upstream)
	announced := u.Announced || !defined
	switch {
	case to == MoveDone && announced:
		s.activate(m.Upstream, m.To, m.ID)
	case to == MoveDone:
		s.setConfiguredVersion(m.Upstream, m.To)
		s.setTouched(config.Key{Kind: config.KindUpstream, Name: u.Name}.String(), s.Offset, rec.Author)
	case announced:
		s.withdraw(m.Upstream, m.To)
	}
	return nil
}

// EndMove ends a running move by a decision that is stored outside the stream.
func (s *State) EndMove(id int64, to MoveState, reason string) error {
	return s.endMove(record.Record{}, &record.MoveEnd{Move: id, Reason: reason}, to)
}

func (s *State) checkBase(key string, base int64) error {
	if t := s.Touched[key]; t.Version > base {
		return &refusal{
			reason: fmt.Sprintf("%s was changed by version %d (%s) after base %d", key, t.Version, t.Author, base),
			winner: t.Version,
		}
	}
	return nil
}

func (s *State) setTouched(key string, version int64, author string) {
	if s.Touched == nil {
		s.Touched = make(map[string]LastChange)
	}
	s.Touched[key] = LastChange{Version: version, Author: author}
}

// InForce returns the preset that is in force at the given time.
func (s *State) InForce(now time.Time) (config.Preset, bool) {
	if len(s.Schedule) == 0 {
		return config.Preset{}, false
	}
	name := s.Schedule[0].Name
	for _, a := range s.Schedule {
		if !a.At.After(now) {
			name = a.Name
		}
	}
	return s.Config.Preset(name)
}

// RunningMove returns the running move with the given id.
func (s *State) RunningMove(id int64) (Move, bool) {
	for _, m := range s.Moves {
		if m.ID == id && m.State == MoveRunning {
			return m, true
		}
	}
	return Move{}, false
}

// Move returns the running move of an upstream.
func (s *State) Move(upstream string) (Move, bool) {
	for _, m := range s.Moves {
		if m.Upstream == upstream && m.State == MoveRunning {
			return m, true
		}
	}
	return Move{}, false
}

// Encode returns the JSON of the state.
func (s *State) Encode() (data []byte, err error) {
	defer func() { err = eris.Wrap(err, "encode state") }()
	return json.Marshal(s)
}

// DecodeState reads the JSON of a state and makes its configuration usable.
func DecodeState(data []byte) (s *State, err error) {
	defer func() { err = eris.Wrap(err, "decode state") }()
	s = new(State)
	if err = json.Unmarshal(data, s); err != nil {
		return nil, err
	}
	s.Config, _ = s.Config.Usable()
	return s, nil
}

// Hash returns a hash of the state, by which daemons compare their states.
func (s *State) Hash() uint64 {
	data, err := json.Marshal(s)
	if err != nil {
		return 0
	}
	return HashOf(data)
}

// HashOf returns the hash of the state with the given encoding.
func HashOf(encoded []byte) uint64 { return xxhash.Sum64(encoded) }

// RetainedRecord is a record that a log retains, with its offset.
type RetainedRecord struct {
	Offset int64
	Record record.Record
}

// FromNewest returns the state after a compacted stream that ends at the given
// offset and retains only the newest record of each resource. The records may be
// in any order. FromNewest applies the configuration first, since the other
// records refer to its resources.
func FromNewest(records []RetainedRecord, end int64) *State {
	records = slices.Clone(records)
	slices.SortFunc(records, func(a, b RetainedRecord) int {
		if x, y := a.Record.Kind == record.KindReplace, b.Record.Kind == record.KindReplace; x != y {
			if x {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.Offset, b.Offset)
	})
	s := &State{Offset: end}
	for _, k := range records {
		out := Outcome{Offset: k.Offset, ID: k.Record.ID, Kind: k.Record.Kind, Result: Accepted, Sum: k.Record.Sum}
		if err := s.apply(k.Offset, k.Record); err != nil {
			out.Result, out.Reason = Refused, truncateReason(err.Error())
		} else {
			s.Version = max(s.Version, k.Offset)
		}
		s.Outcomes = append(s.Outcomes, out)
	}
	slices.SortFunc(s.Outcomes, func(a, b Outcome) int { return cmp.Compare(a.Offset, b.Offset) })
	return s
}
