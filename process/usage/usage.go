// Package usage counts the requests of tenants and reports them to a usage service, one
// report for each window of time.
//
// Hosts count the requests that their upstreams begin to run (Counter) and send their
// totals to a few daemons (Collection). One of these holds a lease on a topic of the store
// (Lease). The holder writes the counts of a window to the topic and then sends them, so a
// next holder repeats a report exactly. The newest record of the topic is the whole state:
// the holder, its fencing token and the reports that have not been accepted.
//
// Lease, Reports, Collection, Clock and the reporter are pure code; an Agent runs them.
//
// # Usage
//
//	a := usage.New(cfg, topic, service, fleet, usage.WithMetrics(set))
//	mux.Handle("POST "+usage.Path, a)
//	a.Start()
//	window := a.Count("hule930")    // a request begins to run
//	a.TakeBack("hule930", window)   // the upstream states that it did not run it
//	a.Leave(ctx)                    // gives the lease back
//	a.Close(ctx)                    // sends the last counts
package usage

import (
	"context"
	"fmt"
	"time"

	"github.com/kingcuppitch/kingcuppitch/process/membership"
)

// Path is the path at which daemons take the counts of others.
const Path = "/usage/counts"

// Report is one report to the usage service.
type Report struct {
	WindowCounts
	// Holder is the name of the daemon, and Token its fencing token.
	Holder string
	Token  int64
	// Left returns the time in which the report may still be written; without any it must
	// not be. It is asked immediately before the report is written.
	Left func() time.Duration
}

// ErrNotAllowed means that a report was not written, since the lease has ended.
var ErrNotAllowed = fmt.Errorf("the lease has ended: %w", ErrNotWritten)

// RefusedError is an answer of the usage service other than its acceptance.
type RefusedError struct{ Status int }

// Error implements error.
func (e *RefusedError) Error() string { return fmt.Sprintf("the usage service answered %d", e.Status) }

// Service takes reports.
type Service interface {
	// Send sends a report. The error is a *RefusedError for an answer other than an
	// acceptance, and ErrNotWritten if the service could not be reached; after others the
	// report may have been accepted.
	Send(ctx context.Context, r Report) error
	// Reach returns an error if the service cannot be reached. It sends nothing.
	Reach(ctx context.Context) error
}

// Fleet lists the members that the daemon knows, including itself.
type Fleet interface {
	Members() []membership.Member
}

// Config configures an Agent.
type Config struct {
	// Name is the daemon's name, and Incarnation names its process.
	Name        string
	Incarnation uint64
	// Window is the length of a window, Lease that of the lease, and Due the time after the
	// end of a window by which its report is due.
	Window, Lease, Due time.Duration
	// PerSecond bounds the calls to the usage service; zero means no limit.
	PerSecond float64
}

const (
	// settlePeriod is the time after the end of a window until its counts are complete.
	// Hosts send theirs within a second, and again if that fails.
	settlePeriod = 2 * time.Second
	// lateSettlePart is the part of the time until a report is due that settlePeriod may
	// take at most.
	lateSettlePart = 4
	// givenUpAfter is how long after it is due a report is given up.
	givenUpAfter = 30 * time.Second
)

func (c Config) settle() time.Duration { return min(settlePeriod, c.Due/lateSettlePart) }

// keep returns how long after its end a window may still be reported.
func (c Config) keep() time.Duration { return max(keepPeriod, c.Due+givenUpAfter) }
