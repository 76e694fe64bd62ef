package fold

import (
	"encoding/json"
	"slices"

	"github.com/kingcuppitch/kingcuppitch/version/era"
	"github.com/kingcuppitch/kingcuppitch/version/record"
)

// StoredRecord is an encoded record with its offset.
type StoredRecord struct {
	Offset int64
	Data   []byte
}

// Resume returns the state after the last records of a log that has been restored from an
// older copy, where s is the state before. Up to some record the log is a copy of
// what s has folded; the records after it are new and are folded onto s. What the log has
// lost stays in force until a new record changes it. end is the offset of the last record.
//
// Resume returns false if the records do not show where the copy ends.
func (s *State) Resume(records []StoredRecord, end int64) (next *State, outcomes []Outcome, ok bool) {
	copied, ok := s.copied(records, end)
	if !ok {
		return nil, nil, false
	}
	next = s.Clone()
	next.Carried = s.Offset
	next.lose(era.Number(end) + 1 - int64(len(records)-copied))
	for _, r := range records[copied:] {
		outcomes = append(outcomes, next.Apply(r.Offset, r.Data))
	}
	next.Offset = end
	return next, outcomes, true
}

// Folded reports whether a record of a restored log is known to be a copy of one that s
// has folded.
func (s *State) Folded(r StoredRecord) bool {
	for _, out := range slices.Backward(s.Outcomes) {
		if !out.Lost && era.Number(out.Offset) == era.Number(r.Offset) {
			return out.isOf(r.Data)
		}
	}
	return false
}

// copied returns the number of records that s has folded in an earlier era, and whether
// that is known. If none of them is a copy, records between the copy and them may have been
// deleted, unless they begin with the first one of the log.
func (s *State) copied(records []StoredRecord, end int64) (n int, ok bool) {
	known := make(map[int64]Outcome, len(s.Outcomes))
	for _, out := range s.Outcomes {
		if !out.Lost {
			known[era.Number(out.Offset)] = out
		}
	}
	for i, r := range records {
		out, folded := known[era.Number(r.Offset)]
		switch {
		case !folded:
			// The outcome has not been kept; a later record may tell.
		case !out.isOf(r.Data):
			return n, n > 0 || era.Number(records[0].Offset) == 1
		default:
			n = i + 1
		}
	}
	return n, n > 0 || era.Number(end) == 0
}

// isOf reports whether out is the outcome of a record or of a copy of it.
func (out Outcome) isOf(data []byte) bool {
	var rec struct {
		ID  string `json:"id"`
		Sum uint64 `json:"sum"`
	}
	if json.Unmarshal(data, &rec) != nil {
		return false
	}
	if rec.Sum != 0 || out.Sum != 0 {
		return rec.Sum == out.Sum
	}
	return rec.ID == out.ID
}

// lose marks the outcomes of records that the log has lost: those with a number from the
// given one on.
func (s *State) lose(from int64) {
	for i := range s.Outcomes {
		if era.Number(s.Outcomes[i].Offset) >= from {
			s.Outcomes[i].Lost = true
		}
	}
}

// Add folds records of an earlier era that s, a state of a later one, does not include.
// Those on a zone or an upstream that a record of the later era has changed have no effect.
func (s *State) Add(records []StoredRecord) {
	now, offset, version := era.Of(s.Offset), s.Offset, s.Version
	for _, r := range records {
		rec, err := record.Decode(r.Data)
		if err != nil || r.Offset <= s.Carried || s.changedSince(rec, now) || s.apply(r.Offset, rec) != nil {
			continue
		}
		version = max(version, r.Offset)
	}
	s.Offset, s.Version = offset, version
}

// changedSince reports whether a record of an era has changed the zone or ordered a move
// of the upstream of a record.
func (s *State) changedSince(rec record.Record, e int64) bool {
	switch {
	case rec.Zone != nil:
		return era.Of(s.Touched[zoneKey(rec.Zone.Name)].Version) >= e
	case rec.Move != nil:
		return slices.ContainsFunc(s.Moves, func(m Move) bool { return m.Upstream == rec.Move.Upstream && era.Of(m.OrderedAt()) >= e })
	}
	return false
}

// Keep adds to s, a state made from the newest records of a log, what an earlier state
// holds and s can only lack because the log does not hold it: a newer configuration that
// the log has lost, and what is known of moves, also of those that have been ordered
// again. It reports whether the configuration was kept.
func (s *State) Keep(earlier *State) bool {
	for i, m := range s.Moves {
		j := slices.IndexFunc(earlier.Moves, func(old Move) bool { return old.OrderedAt() == m.ID })
		if j < 0 {
			j = earlier.orderedBefore(m.Move, m.ID)
		}
		if j < 0 || m.State != MoveRunning {
			continue
		}
		s.Moves[i] = earlier.Moves[j]
		if m.ID != s.Moves[i].ID {
			s.Moves[i].Order = m.ID
		}
	}
	for upstream, v := range earlier.Versions {
		s.MergeVersions(upstream, v)
	}
	if earlier.Revision > s.Revision {
		s.Config, s.Schedule, s.Revision = earlier.Config, earlier.Schedule, earlier.Revision
		return true
	}
	for i, u := range s.Config.Upstreams {
		if old, ok := earlier.Config.Upstream(u.Name); ok && u.Announced && u.Active == "" {
			s.Config.Upstreams[i].Active = old.Active
		}
	}
	return false
}
