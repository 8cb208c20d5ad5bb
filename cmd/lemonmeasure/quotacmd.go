package main

import (
	"context"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/peterbourgon/ff/v3/ffcli"

	"lemonstream.dev/lemonstream/admit"
)

// The quota measure: nine entries, a quota of 900 requests a second, shares
// anew every second by demands told a second before, for a minute.
const (
	quotaEntries = 9
	quotaRate    = 900.0
	quotaSeconds = 60
	quotaTicks   = 100
)

// quotaCase is a way in which traffic meets the entries.
type quotaCase struct {
	name string

	// demand is what arrives at an entry in a second.
	demand func(entry, second int) float64

	// cut is whether entries hear nothing of each other.
	cut bool

	// dead is the entry that dies after 20 s, or -1. It is believed alive
	// until its member row lapses 12 s later.
	dead int
}

func newQuotaCmd() *ffcli.Command {
	return newMeasureCmd("quota", "Quota error and unused quota against static shares.", func(context.Context) error {
		atOne := func(entry, _ int) float64 {
			if entry == 0 {
				return 2 * quotaRate
			}
			return 0
		}
		even := func(int, int) float64 { return 2 * quotaRate / quotaEntries }
		moving := func(entry, second int) float64 {
			if entry == second/10%quotaEntries {
				return 2 * quotaRate
			}
			return 0
		}
		cases := []quotaCase{
			{
				name:   "all-at-one",
				demand: atOne,
				dead:   -1,
			},
			{
				name:   "even",
				demand: even,
				dead:   -1,
			},
			{
				name:   "moving-every-10s",
				demand: moving,
				dead:   -1,
			},
			{
				name:   "even-one-dies",
				demand: even,
				dead:   4,
			},
			{
				name:   "even-cut-off",
				demand: even,
				cut:    true,
				dead:   -1,
			},
			{
				name:   "all-at-one-cut-off",
				demand: atOne,
				cut:    true,
				dead:   -1,
			},
		}
		for _, c := range cases {
			for _, policy := range []string{ours, "static"} {
				measureQuota(c, policy)
			}
		}
		return nil
	})
}

// measureQuota reports by how much the busiest second passed the quota, and how
// much of the quota was left unused although more was asked for.
func measureQuota(c quotaCase, policy string) {
	now := time.Unix(0, 0)
	quotas := make([]*admit.Quota, quotaEntries)
	for entry := range quotas {
		quotas[entry] = admit.NewQuota(quotaRate/quotaEntries, quotaRate/quotaEntries/10, now)
	}
	told := make([]float64, quotaEntries)
	over, used, could := 0.0, 0.0, 0.0
	for second := range quotaSeconds {
		if policy == ours {
			shareQuota(c, quotas, told, second)
		}
		admitted := 0.0
		demand := 0.0
		for entry, quota := range quotas {
			if entry == c.dead && second >= 20 {
				continue
			}
			asked := c.demand(entry, second)
			demand += asked
			admitted += take(quota, asked, now)
			told[entry] += 0.5 * (asked - told[entry])
		}
		over = max(over, admitted-quotaRate)
		if second > 0 {
			used += min(admitted, quotaRate)
			could += min(demand, quotaRate)
		}
		now = now.Add(time.Second)
	}
	report("quota-over-"+c.name, sizeToday, policy, 100*over/quotaRate, "percent")
	report("quota-unused-"+c.name, sizeToday, policy, 100*(1-used/could), "percent")
}

// shareQuota sets each entry's share by what it hears.
func shareQuota(c quotaCase, quotas []*admit.Quota, told []float64, second int) {
	for entry, quota := range quotas {
		var claims []admit.Claim
		for other := range quotas {
			if other == c.dead && second >= 32 {
				continue
			}
			demand := told[other]
			if other != entry && (c.cut || (other == c.dead && second >= 26)) {
				demand = told[entry]
			}
			claims = append(claims, admit.Claim{
				Entry:  string(rune('a' + other)),
				Demand: demand,
			})
		}
		share := admit.Share(string(rune('a'+entry)), claims, admit.EvenQuota)
		quota.Set(quotaRate*share, quotaRate*share/10)
	}
}

// take spreads asked requests over a second and returns how many were let in.
func take(quota *admit.Quota, asked float64, now time.Time) float64 {
	admitted := 0.0
	for tick := range quotaTicks {
		at := now.Add(time.Duration(tick) * time.Second / quotaTicks)
		for range int(math.Round(asked / quotaTicks)) {
			if quota.Take(at) == 0 {
				admitted++
			}
		}
	}
	return admitted
}

func rankOf(text string) uint64 {
	return xxhash.Sum64String(text)
}
