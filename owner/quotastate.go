package owner

import (
	"slices"
	"time"

	"lemonstream.dev/lemonstream/catalog"
	"lemonstream.dev/lemonstream/quota"
	"lemonstream.dev/lemonstream/shard"
)

const (
	// quotaStateInterval is the time between two updates of QuotaStates.
	quotaStateInterval = time.Second

	// maxQuotaStates bounds the organisations of a service in QuotaStates: each is a line of
	// metrics. Those that ask for the largest part of their limit come first.
	maxQuotaStates = 50
)

// QuotaState is what one service has of an organisation's limit.
type QuotaState struct {
	Service      string
	Organisation string

	// Held is the share that the service may use, Used what its runs take, and Asked what its
	// runs and the tasks that only the quota keeps from starting would take.
	Held  quota.Share
	Used  quota.Share
	Asked quota.Share
}

// QuotaStates returns what the services that this entry owns have of the organisations' limits, at
// most maxQuotaStates organisations for each service.
func (k *Keeper) QuotaStates() []QuotaState {
	k.mu.Lock()
	defer k.mu.Unlock()
	var list []QuotaState
	for _, h := range k.held {
		if h.duty == nil {
			continue
		}
		if states := h.duty.quotaStates.Load(); states != nil {
			list = append(list, *states...)
		}
	}
	return list
}

// publishQuotas updates the quota states if that is due.
func (d *Duty) publishQuotas(usages []shard.Usage, current *catalog.Catalog, now time.Time) {
	if now.Sub(d.quotas.publishedAt) < quotaStateInterval {
		return
	}
	d.quotas.publishedAt = now
	states := d.quotas.states(usages, current)
	d.quotaStates.Store(&states)
}

// states returns what the service has of the limits of the organisations that use it or hold a
// share.
func (q *quotas) states(usages []shard.Usage, current *catalog.Catalog) []QuotaState {
	byName := make(map[string]shard.Usage, len(usages))
	for name := range q.rows {
		byName[name] = shard.Usage{}
	}
	for _, u := range usages {
		byName[u.Organisation] = u
	}
	var list []QuotaState
	for name, u := range byName {
		policy, bounded := policyOf(name, current)
		if !bounded {
			continue
		}
		held, _ := q.quotaFor(name, current)
		state := QuotaState{
			Service:      q.service,
			Organisation: name,
			Held:         held.Share,
			Used:         quota.ShareOf(u.Used, policy.Limit),
			Asked:        quota.ShareOf(u.Used.Add(u.Waiting), policy.Limit),
		}
		if state.Held > 0 || state.Asked > 0 {
			list = append(list, state)
		}
	}
	slices.SortFunc(list, func(a, b QuotaState) int { return int(b.Asked - a.Asked) })
	return list[:min(len(list), maxQuotaStates)]
}
