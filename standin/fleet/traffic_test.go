package fleet_test

import (
	"errors"
	"net"
	"net/http"
	"testing"

	"github.com/kingcuppitch/kingcuppitch/request"
	"github.com/kingcuppitch/kingcuppitch/standin/fleet"
	"github.com/kingcuppitch/kingcuppitch/standin/upstream"
)

// Guards against a check that misses a fault, or that reports a reservation that was
// refused at first and ran when it was repeated.
func TestCheckRuns(t *testing.T) {
	ok := fleet.Result{Status: http.StatusOK, Outcome: request.Ran}
	notRun := fleet.Result{Status: http.StatusServiceUnavailable, Outcome: request.NotRun}
	unknown := fleet.Result{Status: http.StatusBadGateway, Outcome: request.Unknown}
	refused := &net.OpError{Op: "dial", Err: errors.New("connection refused")}
	once := upstream.Run{Started: 1, Completed: 1}
	for _, tc := range []struct {
		name    string
		results []fleet.Result
		err     error
		runs    upstream.Run
		want    int
	}{
		{"answered", []fleet.Result{ok}, nil, once, 0},
		{"refused, then answered", []fleet.Result{notRun, ok}, nil, once, 0},
		{"unknown and run", []fleet.Result{unknown}, nil, upstream.Run{Started: 1}, 0},
		{"run twice", []fleet.Result{unknown}, nil, upstream.Run{Started: 2}, 1},
		{"notRun and run", []fleet.Result{notRun}, nil, once, 1},
		{"connection refused and run", []fleet.Result{{}}, refused, once, 1},
		{"answered without a run", []fleet.Result{ok}, nil, upstream.Run{}, 1},
		{"answered before the end of the run", []fleet.Result{ok}, nil, upstream.Run{Started: 1}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			body := []byte("body")
			var attempts []fleet.Attempt
			for _, r := range tc.results {
				attempts = append(attempts, fleet.Attempt{
					Call: fleet.Call{Key: "k", Body: body}, Entry: &fleet.Node{}, Result: r, Err: tc.err,
				})
			}
			runs := upstream.Runs{
				Keys:   map[string]upstream.Run{"k": tc.runs},
				Bodies: map[string]upstream.Run{upstream.Hash(body): tc.runs},
			}
			if got := fleet.CheckRuns(attempts, runs); len(got) != tc.want {
				t.Errorf("got %v, want %d errors", got, tc.want)
			}
		})
	}
}
