// Package fold turns the records of the configuration stream into the state
// that every daemon shares.
//
// Apply is a pure function of the state and one record, so all daemons that
// fold the same stream accept and refuse the same records and hold the same
// state. A record takes effect as a whole or not at all. The offset never
// decreases.
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
	"github.com/kingcuppitch/kingcuppitch/version/record"
	"github.com/rotisserie/eris"
)

// KeptOutcomes is the number of record ids that the state remembers to find
// records that were appended twice.
const KeptOutcomes = 1024

// maxReason bounds the reason of a refusal in bytes. Reasons are part of the
// state, and a large configuration can have thousands of problems.
const maxReason = 1024

// KeptMoves is the number of ended moves that the state remembers.
const KeptMoves = 256

// Result says what became of a record.
type Result string

// The results of applying a record.
const (
	Accepted  Result = "accepted"
	Refused   Result = "refused"
	Duplicate Result = "duplicate"
	// Skipped marks a record that was already folded, a malformed record, or
	// one of a newer release.
	Skipped Result = "skipped"
)

// Outcome is the result of one record.
type Outcome struct {
	Offset int64       `json:"offset"`
	ID     string      `json:"id"`
	Kind   record.Kind `json:"kind,omitempty"`
	Result Result      `json:"result"`
	Reason string      `json:"reason,omitempty"`
	// Winner is the version that overtook the base of a refused record.
	Winner int64 `json:"winner,omitempty"`
	// Newer marks a record of a newer release.
	Newer bool `json:"newer,omitempty"`
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
	record.Move
	State    MoveState `json:"state"`
	Reason   string    `json:"reason,omitempty"`
	Evidence string    `json:"evidence,omitempty"`
	EndedAt  time.Time `json:"endedAt"`
}

// Zone is the operational state of an availability zone.
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
	Version int64         `json:"version"`
	Config  config.Config `json:"config"`
	// Touched holds the version that last changed each resource.
	Touched  map[string]Touch `json:"touched"`
	Zones    map[string]Zone  `json:"zones"`
	Moves    []Move           `json:"moves"`
	Schedule []Activation     `json:"schedule"`
	Outcomes []Outcome        `json:"outcomes"`
	// Newer counts the records of a newer release that were skipped.
	Newer int64 `json:"newer"`
}

// Touch is the last change of a resource.
type Touch struct {
	Version int64  `json:"version"`
	Author  string `json:"author,omitempty"`
}

// refusal is the reason of a refused record.
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
	c.Schedule = slices.Clone(s.Schedule)
	c.Outcomes = slices.Clone(s.Outcomes)
	return &c
}

// Apply folds the record at the given offset into s. Records at or below the
// current offset are skipped, so crossed and repeated deliveries are harmless.
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
	out := Outcome{Offset: offset, ID: rec.ID, Kind: rec.Kind, Result: Accepted}
	if prev, ok := s.Outcome(rec.ID); ok {
		out.Result = Duplicate
		out.Reason = fmt.Sprintf("already applied at offset %d", prev.Offset)
		return out
	}
	if rec.Kind == record.KindSnapshot {
		// The state of a snapshot equals the fold of the records before it,
		// so a daemon that holds them has nothing to apply.
		return out
	}
	if err := s.apply(offset, rec); err != nil {
		out.Result = Refused
		out.Reason = shorten(err.Error())
		var ref *refusal
		if errors.As(err, &ref) {
			out.Winner = ref.winner
		}
	} else {
		s.Version = offset
	}
	s.Outcomes = append(s.Outcomes, out)
	if n := len(s.Outcomes) - KeptOutcomes; n > 0 {
		s.Outcomes = slices.Delete(s.Outcomes, 0, n)
	}
	return out
}

func shorten(reason string) string {
	if len(reason) <= maxReason {
		return reason
	}
	return strings.ToValidUTF8(reason[:maxReason], "") + " …"
}

// Outcome returns what became of the record with the given id.
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
		return s.applyReplace(*rec.Replace)
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
	if err := s.checkInUse(&next); err != nil {
		return err
	}
	s.Config = next
	for _, k := range keys {
		s.touch(k.String(), offset, rec.Author)
	}
	if presets := rec.Publish.Upserts.Presets; len(s.Schedule) == 0 && len(presets) > 0 {
		// A first configuration puts its first preset in force, so that
		// exactly one preset is in force from the first version on. The order
		// is that of the record; the configuration is sorted by name.
		s.Schedule = []Activation{{Name: presets[0].Name}}
	}
	return nil
}

// applyReplace puts a whole configuration in force. Where instances announce
// the versions of an upstream, the version that a move made active stays. Its first
// preset is in force, unless the one so far is defined too.
func (s *State) applyReplace(next config.Config) error {
	if err := next.Validate(); err != nil {
		return err
	}
	next.Upstreams = slices.Clone(next.Upstreams)
	for i := range next.Upstreams {
		u := &next.Upstreams[i]
		if old, ok := s.Config.Upstream(u.Name); ok && u.Announced {
			u.Active = old.Active
		}
	}
	s.Config = next
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

// checkInUse refuses a configuration without a preset or a version that the
// preset schedule or a running move names.
func (s *State) checkInUse(next *config.Config) error {
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
	// A later record replaces activations that were planned for after it.
	s.Schedule = slices.DeleteFunc(s.Schedule, func(a Activation) bool { return !a.At.Before(at) && !a.At.IsZero() })
	s.Schedule = append(s.Schedule, Activation{Name: rec.Preset.Name, At: at})
	s.pruneSchedule(rec.At)
	s.touch(key, offset, rec.Author)
	return nil
}

// pruneSchedule drops activations that were replaced before the given time.
func (s *State) pruneSchedule(now time.Time) {
	for len(s.Schedule) > 1 && !s.Schedule[1].At.After(now) {
		s.Schedule = s.Schedule[1:]
	}
}

func (s *State) applyZone(offset int64, rec record.Record) error {
	key := "zoneState/" + rec.Zone.Name
	if err := s.checkBase(key, rec.Base); err != nil {
		return err
	}
	if _, ok := s.Config.Zone(rec.Zone.Name); !ok {
		return fmt.Errorf("availability zone %q is not defined", rec.Zone.Name)
	}
	if s.Zones == nil {
		s.Zones = make(map[string]Zone)
	}
	cur := s.Zones[rec.Zone.Name]
	if cur.Out == rec.Zone.Out {
		return fmt.Errorf("availability zone %q is already %s", rec.Zone.Name, zoneWord(cur.Out))
	}
	if rec.Zone.Out {
		s.Zones[rec.Zone.Name] = Zone{Out: true}
	} else {
		s.Zones[rec.Zone.Name] = Zone{RampFrom: rec.At, RampUntil: rec.Zone.RampUntil}
	}
	s.touch(key, offset, rec.Author)
	return nil
}

func zoneWord(out bool) string {
	if out {
		return "out"
	}
	return "in service"
}

func (s *State) applyMove(offset int64, rec record.Record) error {
	m := *rec.Move
	u, ok := s.Config.Upstream(m.Upstream)
	if !ok {
		return fmt.Errorf("upstream %q is not defined", m.Upstream)
	}
	for _, other := range s.Moves {
		if other.Upstream == m.Upstream && other.State == MoveRunning && !m.Replaces {
			return &refusal{fmt.Sprintf("upstream %q already has the running move %d", m.Upstream, other.ID), other.ID}
		}
	}
	if u.Announced {
		m.From = u.Active
	}
	if u.Active != m.From {
		return fmt.Errorf("upstream %q runs version %q, not %q", m.Upstream, u.Active, m.From)
	}
	if !u.Announced && !slices.Contains(u.Versions, m.To) {
		return fmt.Errorf("upstream %q has no version %q", m.Upstream, m.To)
	}
	if m.From == m.To {
		return errors.New("the move has the same version as source and target")
	}
	if m.Within <= 0 && !m.DoneBy.After(m.StartAt) {
		return errors.New("doneBy is not after startAt")
	}
	for i, other := range s.Moves {
		if other.Upstream == m.Upstream && other.State == MoveRunning {
			s.Moves[i].State, s.Moves[i].Reason = MoveTakenBack, fmt.Sprintf("replaced by move %d", offset)
		}
	}
	s.Moves = append(s.Moves, Move{ID: offset, Move: m, State: MoveRunning})
	s.pruneMoves()
	return nil
}

func (s *State) pruneMoves() {
	ended := 0
	for _, m := range s.Moves {
		if m.State != MoveRunning {
			ended++
		}
	}
	s.Moves = slices.DeleteFunc(s.Moves, func(m Move) bool {
		if m.State == MoveRunning || ended <= KeptMoves {
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
	if m.State != MoveRunning {
		return fmt.Errorf("move %d has already ended: %s", m.ID, m.State)
	}
	s.Moves = slices.Clone(s.Moves)
	m.State, m.Reason, m.Evidence, m.EndedAt = to, end.Reason, end.Evidence, rec.At
	s.Moves[i] = m
	if to == MoveDone {
		u, _ := s.Config.Upstream(m.Upstream)
		u.Active = m.To
		s.Config = config.Apply(s.Config, config.Change{Upserts: config.Config{Upstreams: []config.Upstream{u}}})
		s.touch(config.Key{Kind: config.KindUpstream, Name: u.Name}.String(), s.Offset, rec.Author)
	}
	return nil
}

// EndMove ends a running move by a decision that is kept beside the stream.
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

func (s *State) touch(key string, version int64, author string) {
	if s.Touched == nil {
		s.Touched = make(map[string]Touch)
	}
	s.Touched[key] = Touch{Version: version, Author: author}
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

// TakenBackVersion returns the version that the newest move of an upstream went to, if
// that move was taken back.
func (s *State) TakenBackVersion(upstream string) string {
	for _, m := range slices.Backward(s.Moves) {
		if m.Upstream != upstream {
			continue
		}
		if m.State == MoveTakenBack {
			return m.To
		}
		break
	}
	return ""
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

// DecodeState reads the JSON of a state and validates it.
func DecodeState(data []byte) (s *State, err error) {
	defer func() { err = eris.Wrap(err, "decode state") }()
	s = new(State)
	if err = json.Unmarshal(data, s); err != nil {
		return nil, err
	}
	return s, s.Config.Validate()
}

// Hash returns a hash of the state, with which daemons compare their folds.
func (s *State) Hash() uint64 {
	data, err := json.Marshal(s)
	if err != nil {
		return 0
	}
	return HashOf(data)
}

// HashOf returns the hash of the state with the given encoding.
func HashOf(encoded []byte) uint64 { return xxhash.Sum64(encoded) }

// RetainedRecord is a record that a log has kept, with its offset.
type RetainedRecord struct {
	Offset int64
	Record record.Record
}

// FromNewest returns the state after a stream that ends at the given offset and
// of which only the newest record of each resource is left, in any order. The
// configuration comes first, since the other records name parts of it.
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
		if s.apply(k.Offset, k.Record) == nil {
			s.Version = max(s.Version, k.Offset)
		}
	}
	return s
}
