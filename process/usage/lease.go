package usage

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/kingcuppitch/kingcuppitch/version/era"
)

const (
	// marginPart is the part of the lease by which its holder stops acting early, and
	// guardPart the part by which the next one acquires it late. Together they cover
	// clocks of different speed and the way of the last report to the service.
	marginPart, guardPart = 20, 10
	// renewalPart is the part of the lease after which the holder renews it. Two renewals
	// may fail before the lease ends.
	renewalPart = 3
	// staggerPart is the part of the lease by which each further candidate waits longer.
	staggerPart = 3
	// retryPart is the part of the lease after which the holder repeats a failed call to
	// the store.
	retryPart = 6
	// maxEarlier bounds the earlier holders in a record. More than these cannot have held
	// the lease within its period, since each change takes a start of a daemon.
	maxEarlier = 16
	// maxUnanswered bounds the appends without an answer that are remembered. A forgotten
	// one that took effect does not prolong the lease.
	maxUnanswered = 32
)

var (
	// ErrConflict means that the topic ends elsewhere, or that the store has been restored
	// since it was read. The record is not in force.
	ErrConflict = errors.New("the topic has changed")
	// ErrNotWritten means that nothing was written.
	ErrNotWritten = errors.New("nothing was written")
)

// Position is the end of the topic in an era of the store.
type Position struct{ Era, End int64 }

// Newest is the newest record of the topic.
type Newest struct {
	Position
	// Offset is that of the record. Data is empty if the topic has no record.
	Offset int64
	Data   []byte
}

// Topic keeps the lease.
type Topic interface {
	// Newest returns the newest record and the end of the topic.
	Newest(ctx context.Context) (Newest, error)
	// Append appends a record if the topic still ends at the given position. The error is
	// ErrConflict or ErrNotWritten if the record is certainly not in force; after any other
	// error it may be.
	Append(ctx context.Context, at Position, data []byte) error
}

// Record is one record of the topic. The newest one is the whole state of the reports.
type Record struct {
	// Holder is the name of the daemon and Process its process; one that is started again
	// is another process.
	Holder  string `json:"holder"`
	Process string `json:"process"`
	// Token is the fencing token: the offset, with the era, of the record that acquired the
	// lease.
	Token int64 `json:"token"`
	// Era and At are where the writer expected the record. A record elsewhere was written
	// before a restore of the store, and says nothing about the holder.
	Era int64 `json:"era"`
	At  int64 `json:"at"`
	// Seq counts the records that a process has tried to write.
	Seq int64 `json:"seq"`
	// Released means that the holder has stopped acting.
	Released bool `json:"released,omitempty"`
	// Earlier holds the names of earlier holders, newest first.
	Earlier []string `json:"earlier,omitempty"`
	Reports Reports  `json:"reports"`
}

// Grant is the permission to send reports.
type Grant struct {
	Token int64
	// After and Until bound the time in which the holder may act.
	After, Until time.Time
}

// Allows reports whether a report with a token may be sent.
func (g *Grant) Allows(token int64, now time.Time) bool {
	return g != nil && g.Token == token && !now.Before(g.After) && now.Before(g.Until)
}

// Turn is what a daemon knows of its place among the candidates.
type Turn struct {
	// Candidate means that the daemon may acquire the lease, and Rank is its position.
	Candidate bool
	Rank      int
	// Leaving means that the daemon gives the lease back.
	Leaving bool
}

// StepKind is the kind of a Step.
type StepKind int

// The kinds of steps.
const (
	StepWait StepKind = iota
	StepRead
	StepAppend
)

// Step is what a daemon does next.
type Step struct {
	Kind StepKind
	// Until is when the next step is due if this one is to wait.
	Until time.Time
	// Record is to be appended at At.
	Record Record
	At     Position
}

// attempt is an append without an answer.
type attempt struct {
	seq    int64
	sentAt time.Time
}

// Lease decides when a daemon acquires, renews and gives up the lease. It is pure code;
// all times are those of a clock that never jumps and counts suspensions of the machine.
// It is not safe for concurrent use.
//
// A daemon holds the lease for Period, less a margin, from when it began to send the last
// append that succeeded. Another one acquires it only when it has seen the same newest
// record for longer than Period. Each append is on the condition that nobody has appended
// since, so a late one does no harm.
type Lease struct {
	Name, Process string
	Period        time.Duration
	// Acquired and Lost are called on changes; they may be nil.
	Acquired func(now time.Time, token int64)
	Lost     func(now time.Time, reason string)

	// reports is what is known of the reports; proposed holds counts that are not yet
	// known to be written.
	reports  Reports
	proposed []WindowCounts

	// position, offset and newest are those of the last read. known is false if the newest
	// record has not been followed without a gap.
	ever, known bool
	position    Position
	offset      int64
	newest      Record
	// valid means that newest tells the holder.
	valid bool
	// seenAt is when the newest record was first seen, and readAt when the topic was last
	// read.
	seenAt, readAt time.Time
	maxToken       int64

	held bool
	// expired is set once the end of the grant has been told.
	expired  bool
	grant    Grant
	tokenEra int64
	// reacquire means that the store was restored and the token must rise.
	reacquire bool
	sentAt    time.Time
	seq       int64
	// unanswered holds the appends that may still take effect.
	unanswered []attempt
	mustRead   bool
	retryAt    time.Time
}

func (l *Lease) part(n int64) time.Duration { return l.Period / time.Duration(n) }

// Grant returns the permission that is in force, or nil.
func (l *Lease) Grant() *Grant {
	if !l.held {
		return nil
	}
	g := l.grant
	return &g
}

// Holder returns the name and token of the holder as far as the topic tells.
func (l *Lease) Holder() (name string, token int64) {
	if !l.valid || l.newest.Released {
		return "", l.maxToken
	}
	return l.newest.Holder, l.newest.Token
}

// Notice makes a candidate read the topic at once.
func (l *Lease) Notice() { l.mustRead = l.mustRead || !l.held && l.known }

// Step returns the next step.
func (l *Lease) Step(now time.Time, t Turn) Step {
	l.noteExpiry(now)
	if l.held && l.reacquire && !now.Before(l.grant.Until) {
		// Another daemon may have acquired the lease in the part that the store has lost.
		l.lose(now, "the store was restored")
	}
	if now.Before(l.retryAt) {
		return Step{Until: l.retryAt}
	}
	if !l.held {
		return l.candidateStep(now, t)
	}
	due := l.sentAt.Add(l.part(renewalPart))
	switch {
	case l.mustRead:
		return Step{Kind: StepRead}
	case t.Leaving:
		return l.append(func(r *Record) { r.Released = true })
	case l.reacquire:
		return l.acquireStep()
	case len(l.proposed) > 0 || !now.Before(due):
		return l.append(func(*Record) {})
	}
	return Step{Until: due}
}

func (l *Lease) candidateStep(now time.Time, t Turn) Step {
	if t.Leaving || !t.Candidate {
		l.known, l.mustRead = false, false
		return Step{Until: now.Add(l.part(renewalPart))}
	}
	if !l.known || l.mustRead {
		return Step{Kind: StepRead}
	}
	at := l.acquireAt(t.Rank)
	released := l.valid && l.newest.Released
	if !released && l.readAt.Before(l.seenAt.Add(l.Period)) {
		// The record that was just seen may be renewed. Candidates further back read less
		// often.
		next := l.readAt.Add(l.Period)
		if t.Rank > 0 && l.readAt.Equal(l.seenAt) {
			next = next.Add(l.Period)
		}
		if now.Before(next) {
			return Step{Until: next}
		}
		return Step{Kind: StepRead}
	}
	if now.Before(at) {
		return Step{Until: at}
	}
	return l.acquireStep()
}

// acquireAt returns the time from which a candidate may acquire the lease.
func (l *Lease) acquireAt(rank int) time.Time {
	at := l.seenAt.Add(l.part(guardPart)).Add(time.Duration(rank) * l.part(staggerPart))
	if !l.valid || !l.newest.Released {
		at = at.Add(l.Period)
	}
	if !l.valid || slices.Contains(l.newest.Earlier, l.Name) {
		// The daemon has held the lease before the last holder, or may have: that one may
		// have acted until its lease ended, and this one must not act within a lease of
		// it. A topic without a record may have lost it in a restore.
		at = at.Add(l.Period)
	}
	return at
}

func (l *Lease) acquireStep() Step {
	token, err := era.Offset(l.position.Era, l.position.End+1)
	if err != nil || token <= l.maxToken {
		// The store was restored and does not say so. Tokens must not fall.
		return Step{Until: l.seenAt.Add(l.Period)}
	}
	return l.append(func(r *Record) {
		r.Token, r.Earlier = token, nil
		for _, name := range append([]string{l.newest.Holder}, l.newest.Earlier...) {
			if name != "" && name != l.Name && !slices.Contains(r.Earlier, name) && len(r.Earlier) < maxEarlier {
				r.Earlier = append(r.Earlier, name)
			}
		}
	})
}

// append returns the step that appends the next record of the holder.
func (l *Lease) append(change func(*Record)) Step {
	l.seq++
	r := Record{
		Holder: l.Name, Process: l.Process, Token: l.grant.Token, Era: l.position.Era, At: l.position.End, Seq: l.seq,
		Earlier: l.newest.Earlier, Reports: l.reports.With(l.proposed),
	}
	change(&r)
	return Step{Kind: StepAppend, Record: r, At: l.position}
}

// Read takes the result of reading the topic.
func (l *Lease) Read(now time.Time, n Newest, err error) {
	if err != nil || n.Era < l.position.Era {
		// An answer of an era that is over tells nothing.
		l.retryAt = now.Add(l.retryDelay())
		return
	}
	var rec Record
	decoded := len(n.Data) > 0 && json.Unmarshal(n.Data, &rec) == nil
	if !decoded {
		rec = Record{}
	}
	valid := decoded && rec.Era == n.Era && rec.At == n.Offset
	if !l.known || n.Position != l.position || n.Offset != l.offset {
		l.seenAt = now
	}
	newEra := l.ever && n.Era > l.position.Era
	l.ever, l.known, l.mustRead = true, true, false
	l.position, l.offset, l.readAt = n.Position, n.Offset, now
	l.newest, l.valid, l.maxToken = rec, valid, max(l.maxToken, rec.Token)
	if valid {
		l.reports = rec.Reports.Merge(l.reports)
	} else {
		l.reports = l.reports.Merge(rec.Reports)
	}
	switch {
	case valid && rec.Process == l.Process && !rec.Released:
		l.confirm(now, rec)
	case !l.held:
	case valid || !now.Before(l.grant.Until):
		reason := "the record of the lease is gone"
		if valid {
			reason = "held by " + rec.Holder
		}
		l.lose(now, reason)
	case newEra || n.Era != l.tokenEra:
		// The record that the store has lost, or one that is not in force, was followed by
		// none of another daemon, since the lease has not ended.
		l.reacquire = true
	}
}

// confirm takes an own record that is on the topic.
func (l *Lease) confirm(now time.Time, rec Record) {
	i := slices.IndexFunc(l.unanswered, func(a attempt) bool { return a.seq == rec.Seq })
	if i >= 0 {
		l.take(now, rec.Token, l.unanswered[i].sentAt)
	}
	l.unanswered = nil
	l.dropWritten()
}

// take notes that the lease is held by a record that was sent at the given time.
func (l *Lease) take(now time.Time, token int64, sentAt time.Time) {
	until := sentAt.Add(l.Period - l.part(marginPart))
	if !l.held || l.grant.Token != token {
		l.held, l.reacquire = true, false
		l.grant = Grant{Token: token, After: now.Add(l.part(guardPart)), Until: until}
		l.tokenEra, l.maxToken = era.Of(token), max(l.maxToken, token)
		if now.Before(until) && l.Acquired != nil {
			l.Acquired(now, token)
		}
	} else if l.expired && now.Before(until) && l.Acquired != nil {
		l.Acquired(now, token)
	}
	if until.After(l.grant.Until) {
		l.grant.Until = until
	}
	if sentAt.After(l.sentAt) {
		l.sentAt = sentAt
	}
	l.expired = !now.Before(l.grant.Until)
}

// Appended takes the result of an append of a record that began at sentAt.
func (l *Lease) Appended(sentAt, now time.Time, rec Record, err error) {
	switch {
	case err == nil && rec.Released:
		l.position.End, l.offset, l.newest, l.valid = rec.At+1, rec.At, rec, true
		l.seenAt, l.readAt = now, now
		l.lose(now, "given back")
	case err == nil:
		l.position.End, l.offset, l.newest, l.valid = rec.At+1, rec.At, rec, true
		l.seenAt, l.readAt, l.unanswered, l.retryAt = now, now, nil, time.Time{}
		l.reports = rec.Reports.Merge(l.reports)
		l.take(now, rec.Token, sentAt)
		l.dropWritten()
	case errors.Is(err, ErrConflict):
		l.mustRead = true
	case errors.Is(err, ErrNotWritten):
		l.retryAt = now.Add(l.part(retryPart))
	default:
		if n := len(l.unanswered); n >= maxUnanswered {
			l.unanswered = slices.Delete(l.unanswered, 0, n-maxUnanswered+1)
		}
		l.unanswered, l.mustRead = append(l.unanswered, attempt{rec.Seq, sentAt}), true
	}
}

// retryDelay returns the time after which a failed read is repeated. Candidates read once
// in a lease.
func (l *Lease) retryDelay() time.Duration {
	if l.held || len(l.unanswered) > 0 {
		return l.part(retryPart)
	}
	return l.Period
}

// Propose adds the counts of a window to the next record. They must not change until the
// record is known to be written or the lease is lost.
func (l *Lease) Propose(w WindowCounts) { l.proposed = append(l.proposed, w) }

// dropWritten removes the proposals that are written.
func (l *Lease) dropWritten() {
	l.proposed = slices.DeleteFunc(l.proposed, func(w WindowCounts) bool { return w.Window <= l.reports.UpTo })
}

func (l *Lease) noteExpiry(now time.Time) {
	if l.held && !l.expired && !now.Before(l.grant.Until) {
		l.expired = true
		if l.Lost != nil {
			l.Lost(now, "it could not be renewed in time")
		}
	}
}

func (l *Lease) lose(now time.Time, reason string) {
	told := l.expired
	l.held, l.expired, l.reacquire, l.grant = false, false, false, Grant{}
	l.proposed, l.unanswered, l.seenAt = nil, nil, now
	if !told && l.Lost != nil {
		l.Lost(now, reason)
	}
}
