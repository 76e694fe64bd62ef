package control

import (
	"time"

	"github.com/kingcuppitch/kingcuppitch/version/fold"
	wirev1 "github.com/kingcuppitch/kingcuppitch/wire/v1"
)

// decisions holds the merged sets on which daemons decide without the log.
type decisions struct{}

func (d *decisions) fill(s *Snapshot, st *fold.State, now time.Time) {}

func (d *decisions) fillExchange(req *wirev1.ExchangeRequest)  {}
func (d *decisions) fillResponse(res *wirev1.ExchangeResponse) {}

func (c *core) mergeDecisions(now time.Time, rnd float64, verdicts []*wirev1.Verdict, counters []*wirev1.MoveCounters, crashes []*wirev1.Crash, completed []uint64) {
}

func (c *core) decide(now time.Time, rnd float64) {}

func (c *core) handleDecision(ev any, now time.Time, rnd float64) any { return nil }

func (d *decisions) share(st *fold.State, m fold.Move, now time.Time) float64 { return 0 }
