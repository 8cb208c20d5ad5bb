package owner

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lemonstream.dev/lemonstream/catalog"
	"lemonstream.dev/lemonstream/clock"
	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/quota"
	"lemonstream.dev/lemonstream/shard"
)

const (
	// tableQuota holds what the services have of each organisation's limit, a row for each
	// organisation in one part, so that one transaction can change several.
	tableQuota = "quota"

	// quotaReadPause is the time between two looks at what other services have while work
	// waits for a quota; quotaWritePause that between two changes.
	quotaReadPause  = 200 * time.Millisecond
	quotaWritePause = 20 * time.Millisecond

	// quotaRowsMost bounds the organisations in one change: each takes a condition and a row.
	quotaRowsMost = outside.MaxEntries / 2
)

// quotas holds what one service has of the limits of organisations. The loop of its duty
// alone touches it. What stands in the table counts; what is written and not known to stand
// allows no more than it and what stood before both do.
type quotas struct {
	service string
	epoch   int64

	// rows holds the organisations' ledgers as last read; read says that all have been.
	rows map[string]quotaRow
	read bool

	// inherited holds, by organisation, what owners before were allowed when this one took
	// their grant over.
	inherited map[string]quota.Grant

	// writing holds the grants of the change that is under way; reading says that a look is.
	writing map[string]quota.Grant
	reading bool

	readAt  time.Time
	writeAt time.Time
}

// quotaRow is the ledger of one organisation and the version of its row, 0 for none.
type quotaRow struct {
	ledger  quota.Ledger
	version int64
}

func newQuotas(service string, epoch int64) *quotas {
	return &quotas{
		service:   service,
		epoch:     epoch,
		rows:      make(map[string]quotaRow),
		inherited: make(map[string]quota.Grant),
	}
}

// of returns what the service may use of an organisation's limit by a configuration; false
// where there is no limit.
func (q *quotas) of(organisation string, current *catalog.Catalog) (shard.Quota, bool) {
	policy, bounded := policyOf(organisation, current)
	if !bounded {
		return shard.Quota{}, false
	}
	row := q.rows[organisation]
	share, limit := row.ledger.Allowance(q.service, q.epoch, policy)
	if next, found := q.writing[organisation]; found {
		share = min(share, next.Share)
		limit = quota.Least(limit, next.Limit)
	}
	before := q.inherited[organisation]
	return shard.Quota{
		Share:     share,
		Limit:     limit,
		Inherited: before.Share.Of(before.Limit),
	}, true
}

func policyOf(organisation string, current *catalog.Catalog) (quota.Policy, bool) {
	found, known := current.Organisation(organisation)
	if !known || !found.Bounded() {
		return quota.Policy{}, false
	}
	return quota.Policy{
		Limit:   found.Limit,
		Version: current.Version,
	}, true
}

// take takes in rows as they stand.
func (q *quotas) take(rows []outside.Row) error {
	for _, row := range rows {
		if row.Key.Table != tableQuota || row.Version <= q.rows[row.Key.Name].version {
			continue
		}
		ledger := quota.Ledger{}
		if err := cbor.Unmarshal(row.Value, &ledger); err != nil {
			return fmt.Errorf("row of quota %s: %w", row.Key.Name, err)
		}
		q.put(row.Key.Name, quotaRow{
			ledger:  ledger,
			version: row.Version,
		})
	}
	return nil
}

// put notes how a row stands. A grant of an owner before is inherited.
func (q *quotas) put(organisation string, row quotaRow) {
	q.rows[organisation] = row
	if own := row.ledger[q.service]; own.Epoch < q.epoch && own.Share > q.inherited[organisation].Share {
		q.inherited[organisation] = own
	}
}

// propose returns the grants that the service should hold instead of those that it does.
func (q *quotas) propose(usages []shard.Usage, current *catalog.Catalog) map[string]quota.Grant {
	needs := make(map[string]quota.Need, len(usages))
	for _, u := range usages {
		needs[u.Organisation] = quota.Need{
			Used:    u.Used,
			Waiting: u.Waiting,
		}
	}
	for name, row := range q.rows {
		_, held := row.ledger[q.service]
		if _, uses := needs[name]; held && !uses {
			needs[name] = quota.Need{}
		}
	}
	changes := make(map[string]quota.Grant)
	for name, need := range needs {
		policy, bounded := policyOf(name, current)
		if !bounded || len(changes) >= quotaRowsMost {
			continue
		}
		next, differs := q.rows[name].ledger.Propose(q.service, q.epoch, policy, need)
		if differs {
			changes[name] = next
		}
	}
	return changes
}

// transaction returns the change of some grants under the condition that their rows stand as
// they were read.
func (q *quotas) transaction(changes map[string]quota.Grant) (outside.Transaction, map[string]quotaRow) {
	var tx outside.Transaction
	next := make(map[string]quotaRow, len(changes))
	for name, grant := range changes {
		row := q.rows[name]
		ledger := maps.Clone(row.ledger)
		if ledger == nil {
			ledger = quota.Ledger{}
		}
		ledger[q.service] = grant
		if grant.Share == 0 && grant.Wanted == 0 {
			delete(ledger, q.service)
		}
		key := outside.Key{
			Table: tableQuota,
			Part:  tableQuota,
			Name:  name,
		}
		tx.Checks = append(tx.Checks, outside.Check{
			Key:     key,
			Version: row.version,
		})
		tx.Puts = append(tx.Puts, outside.Put{
			Key:   key,
			Value: encodeRow(ledger),
		})
		next[name] = quotaRow{
			ledger: ledger,
		}
	}
	return tx, next
}

// waits reports whether something waits for a quota.
func waits(usages []shard.Usage) bool {
	for _, u := range usages {
		if u.Waiting != (job.Room{}) {
			return true
		}
	}
	return false
}

// balance changes what the service holds of the organisations' limits, where it needs more or
// less than it does, and looks at what the others hold while something waits.
func (d *Duty) balance(ctx context.Context, now time.Time) {
	current := d.deps.Catalog()
	if !current.HasLimits() {
		return
	}
	usages := d.core.Usages()
	q := d.quotas
	if !q.reading && (!q.read || (waits(usages) && now.Sub(q.readAt) >= quotaReadPause)) {
		d.readQuotas(ctx, now)
	}
	if !q.read || q.writing != nil || now.Before(q.writeAt) {
		return
	}
	if changes := q.propose(usages, current); len(changes) > 0 {
		d.writeQuotas(ctx, changes)
	}
}

// readQuotas reads what all services hold.
func (d *Duty) readQuotas(ctx context.Context, now time.Time) {
	d.quotas.reading = true
	d.quotas.readAt = now
	d.deps.Group.Go("quotas of "+d.service, func(context.Context) error {
		rows, _, err := d.deps.Table.ReadAll(ctx, tableQuota, tableQuota)
		d.pushLogged(func(d *Duty, at time.Time) {
			d.quotas.reading = false
			if err == nil {
				err = d.quotas.take(rows)
			}
			if err != nil {
				d.deps.Log.Warn("quotas not read", "service", d.service, "error", err.Error())
				return
			}
			d.quotas.read = true
		})
		return nil
	})
}

// writeQuotas writes grants until it is known whether they stand.
func (d *Duty) writeQuotas(ctx context.Context, changes map[string]quota.Grant) {
	tx, next := d.quotas.transaction(changes)
	d.quotas.writing = changes
	d.deps.Group.Go("quotas of "+d.service, func(context.Context) error {
		version, conflict, err := d.sendQuotas(ctx, tx)
		d.pushLogged(func(d *Duty, at time.Time) {
			q := d.quotas
			if err != nil {
				// It may yet take effect: nothing more is changed by this owner.
				d.deps.Log.Warn("quotas given up", "service", d.service, "error", err.Error())
				return
			}
			q.writing = nil
			q.writeAt = at.Add(quotaWritePause)
			if conflict != nil {
				if err := q.take(conflict.Rows); err != nil {
					d.deps.Log.Error("row left out", "service", d.service, "error", err.Error())
				}
				return
			}
			for name, row := range next {
				row.version = version
				q.put(name, row)
				own := row.ledger[q.service]
				d.deps.Log.Info("quota held", "service", d.service, "organisation", name, "share", own.Share, "wanted", own.Wanted,
					"cpu", own.Limit.MilliCPU, "catalog", own.Version)
			}
		})
		return nil
	})
}

// sendQuotas sends a transaction until it stands, or can't any more because a row stands
// otherwise than it was read. Every try carries the same conditions, so that it takes effect
// once at the most.
func (d *Duty) sendQuotas(ctx context.Context, tx outside.Transaction) (int64, *outside.ConflictError, error) {
	for {
		receipt, err := d.deps.Table.Transact(ctx, tx)
		var conflict *outside.ConflictError
		if err == nil || errors.As(err, &conflict) {
			return receipt.Version, conflict, nil
		}
		d.deps.Log.Warn("quotas not written", "service", d.service, "organisations", len(tx.Puts), "error", err.Error())
		if !clock.Sleep(ctx, commitRetry) {
			return 0, nil, ctx.Err()
		}
	}
}
