// Package record defines the records on the configuration stream of the log
// and their JSON codec.
//
// A record is an envelope with an id, a kind and one body. The offset at which
// the log stores a record is its version. The id identifies duplicates of a
// record whose append was retried after its answer was lost.
//
// # Usage
//
//	rec := record.Record{ID: id, Kind: record.KindPreset, Preset: &record.Preset{Name: "peak", ActivateAt: at}}
//	data, err := rec.Encode()
//	rec, err = record.Decode(data)
package record

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/kingcuppitch/kingcuppitch/version/config"
	"github.com/rotisserie/eris"
)

// Stream is the name of the configuration stream on the log.
const Stream = "config"

// Format is the newest record format that this release reads.
const Format = 1

// MaxSize is the largest record in bytes.
const MaxSize = 4 << 20

// Kind is the kind of a record.
type Kind string

// The kinds of records.
const (
	KindPublish  Kind = "publish"
	KindPreset   Kind = "preset"
	KindZone     Kind = "zone"
	KindMove     Kind = "move"
	KindMoveStop Kind = "moveStop"
	KindVerdict  Kind = "verdict"
	KindMoveDone Kind = "moveDone"
	KindSnapshot Kind = "snapshot"
	// KindReplace replaces the whole configuration.
	KindReplace Kind = "replace"
	// KindNone changes nothing. It is a placeholder for a record that another
	// writer appended to the log and that does not concern this mesh.
	KindNone Kind = "none"
)

// ErrNewer is returned for a record of a newer format or an unknown kind.
var ErrNewer = errors.New("record of a newer release")

// Record is one record of the configuration stream.
type Record struct {
	Format int    `json:"format"`
	ID     string `json:"id"`
	Kind   Kind   `json:"kind"`
	// Base is the latest version that the author had seen.
	Base   int64     `json:"base,omitempty"`
	Author string    `json:"author,omitempty"`
	At     time.Time `json:"at"`
	// Sum identifies the record by what the log stores, on a log whose records have no
	// ids. A restored log holds the same record with the same sum at the same number.
	Sum uint64 `json:"sum,omitempty"`
	// Revision is the author's own count of whole configurations, which only rises; zero
	// means that there is none.
	Revision int64 `json:"revision,omitempty"`
	// Notes say which parts of a whole configuration could not be read.
	Notes []string `json:"notes,omitempty"`

	Publish  *config.Change `json:"publish,omitempty"`
	Preset   *Preset        `json:"preset,omitempty"`
	Zone     *Zone          `json:"zone,omitempty"`
	Move     *Move          `json:"move,omitempty"`
	MoveStop *MoveEnd       `json:"moveStop,omitempty"`
	Verdict  *MoveEnd       `json:"verdict,omitempty"`
	MoveDone *MoveEnd       `json:"moveDone,omitempty"`
	Snapshot *Snapshot      `json:"snapshot,omitempty"`
	Replace  *config.Config `json:"replace,omitempty"`
}

// Preset puts a preset in force.
type Preset struct {
	Name       string    `json:"name"`
	ActivateAt time.Time `json:"activateAt"`
}

// Zone takes an availability zone out of service or brings it back.
type Zone struct {
	Name string `json:"name"`
	Out  bool   `json:"out"`
	// RampUntil is the time at which a zone that comes back receives its full
	// share of the traffic.
	RampUntil time.Time `json:"rampUntil"`
}

// Move moves the traffic of an upstream from one version to another.
type Move struct {
	Upstream string    `json:"upstream"`
	From     string    `json:"from"`
	To       string    `json:"to"`
	StartAt  time.Time `json:"startAt"`
	DoneBy   time.Time `json:"doneBy"`
	// Within is the duration of the move if its author sets no times. Each daemon
	// then measures it from its first receipt of the record, on its monotonic
	// clock.
	Within config.Duration `json:"within,omitempty"`
	// Replaces ends a running move of the same upstream.
	Replaces bool `json:"replaces,omitempty"`
}

// MoveEnd ends a move, which is identified by the offset of its record.
type MoveEnd struct {
	Move     int64  `json:"move"`
	Reason   string `json:"reason,omitempty"`
	Evidence string `json:"evidence,omitempty"`
}

// Snapshot contains the state folded from all records up to and including UpTo.
type Snapshot struct {
	UpTo  int64           `json:"upTo"`
	State json.RawMessage `json:"state"`
}

// Stub returns a snapshot record without its state. A daemon that folds the
// records itself needs only the offset, and the state can be large.
func (r Record) Stub() Record {
	r.Snapshot = &Snapshot{UpTo: r.Snapshot.UpTo}
	return r
}

// IsStub reports whether r is a snapshot record without its state.
func (r Record) IsStub() bool {
	return r.Snapshot != nil && (len(r.Snapshot.State) == 0 || string(r.Snapshot.State) == "null")
}

// Encode returns the JSON of r; a zero format is set to Format.
func (r Record) Encode() (data []byte, err error) {
	defer func() { err = eris.Wrap(err, "encode record") }()
	if r.Format == 0 {
		r.Format = Format
	}
	if r.Format > Format || !r.Kind.known() {
		return nil, fmt.Errorf("format %d, kind %q: %w", r.Format, r.Kind, ErrNewer)
	}
	if err = r.check(); err != nil {
		return nil, err
	}
	data, err = json.Marshal(r)
	if err == nil && len(data) > MaxSize {
		return nil, fmt.Errorf("%d bytes exceed the limit of %d bytes", len(data), MaxSize)
	}
	return data, err
}

// Decode reads a record. The error wraps ErrNewer if this release does not know
// the format or the kind.
func Decode(data []byte) (r Record, err error) {
	defer func() { err = eris.Wrap(err, "decode record") }()
	if len(data) > MaxSize {
		return Record{}, fmt.Errorf("%d bytes exceed the limit of %d bytes", len(data), MaxSize)
	}
	var header struct {
		Format int  `json:"format"`
		Kind   Kind `json:"kind"`
	}
	if err = json.Unmarshal(data, &header); err != nil {
		return Record{}, err
	}
	if header.Format > Format || !header.Kind.known() {
		return Record{}, fmt.Errorf("format %d, kind %q: %w", header.Format, header.Kind, ErrNewer)
	}
	if err = json.Unmarshal(data, &r); err != nil {
		return Record{}, err
	}
	if err = r.check(); err != nil {
		return Record{}, err
	}
	return r, nil
}

func (k Kind) known() bool {
	switch k {
	case KindPublish, KindPreset, KindZone, KindMove, KindMoveStop, KindVerdict, KindMoveDone, KindSnapshot,
		KindReplace, KindNone:
		return true
	}
	return false
}

func (r Record) check() error {
	if r.Format < 1 {
		return fmt.Errorf("format %d is not positive", r.Format)
	}
	if r.ID == "" {
		return errors.New("id is empty")
	}
	bodies := []struct {
		kind    Kind
		present bool
	}{
		{KindPublish, r.Publish != nil}, {KindPreset, r.Preset != nil}, {KindZone, r.Zone != nil},
		{KindMove, r.Move != nil}, {KindMoveStop, r.MoveStop != nil}, {KindVerdict, r.Verdict != nil},
		{KindMoveDone, r.MoveDone != nil}, {KindSnapshot, r.Snapshot != nil},
		{KindReplace, r.Replace != nil},
	}
	for _, b := range bodies {
		switch {
		case b.present && b.kind != r.Kind:
			return fmt.Errorf("kind %q: body %q is unexpected", r.Kind, b.kind)
		case !b.present && b.kind == r.Kind:
			return fmt.Errorf("kind %q: body is missing", r.Kind)
		}
	}
	return nil
}
