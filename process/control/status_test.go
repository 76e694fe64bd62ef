package control

import (
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/version/fold"
	"github.com/kingcuppitch/kingcuppitch/version/move"
	"github.com/kingcuppitch/kingcuppitch/version/record"
)

// TestStatusTakenBack guards against a status that shows a move as running although
// a verdict has taken it back. During an outage of the log the verdict is not
// folded.
func TestStatusTakenBack(t *testing.T) {
	c := testCore("d1", "a")
	entries := append(testRecords(t, 1), entryOf(t, 2, record.Record{
		ID: "m", Kind: record.KindMove, Base: 1, At: epoch,
		Move: &record.Move{Upstream: "booking", From: "v1", To: "v2", StartAt: epoch, DoneBy: epoch.Add(time.Minute)},
	}))
	c.handle(recordsArrived{entries: entries, next: 3, first: 1}, epoch, 0)
	check := func(state fold.MoveState, reason string) {
		t.Helper()
		moves := c.status(epoch.Add(time.Second), false).Moves
		if len(moves) != 1 || moves[0].State != string(state) || moves[0].Reason != reason {
			t.Errorf("moves: got %v, want state %q and reason %q", moves, state, reason)
		}
	}
	check(fold.MoveRunning, "")
	c.addVerdict(epoch, 0, move.Verdict{Move: 2, Reason: "errors"})
	check(fold.MoveTakenBack, "errors")
}
