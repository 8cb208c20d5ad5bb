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
	// tableQuota holds the shares of the services in each organisation's limit. All rows, one
	// per organisation, are in one partition, so that one transaction can change several.
	tableQuota = "quota"

	// quotaReadInterval is the time between two reads of the ledgers while work waits for a
	// quota. quotaWriteInterval is the time between two writes.
	quotaReadInterval  = 200 * time.Millisecond
	quotaWriteInterval = 20 * time.Millisecond

	// maxQuotaRows is the maximum number of organisations in one transaction: each needs a
	// condition and a row.
	maxQuotaRows = outside.MaxEntries / 2
)

// quotas holds the shares of one service in the limits of organisations. Only the loop of its
// Duty accesses it. The stored grants apply. While the outcome of a write is unknown, the
// service may use no more than both the old and the new grant allow.
type quotas struct {
	service string
	epoch   int64

	// rows maps an organisation to its ledger as last read or written. loaded reports whether
	// all ledgers have been read.
	rows   map[string]quotaRow
	loaded bool

	// unreadable holds the organisations whose rows another writer replaced. What was known of
	// them before still counts, and no grant is written.
	unreadable map[string]bool

	// inherited maps an organisation to the largest grant of earlier owners that this owner
	// has found.
	inherited map[string]quota.Grant

	// writing holds the grants of the write in progress, or nil. reading reports whether a
	// read is in progress.
	writing map[string]quota.Grant
	reading bool

	readAt  time.Time
	writeAt time.Time

	// publishedAt is when the states for the metrics were last updated.
	publishedAt time.Time
}

// quotaRow is the ledger of one organisation and the version of its row, 0 if there is none.
type quotaRow struct {
	ledger  quota.Ledger
	version int64
}

func newQuotas(service string, epoch int64) *quotas {
	return &quotas{
		service: service,
		epoch:   epoch,
		rows:    make(map[string]quotaRow),

		unreadable: make(map[string]bool),

		inherited: make(map[string]quota.Grant),
	}
}

// quotaFor returns what the service may use of an organisation's limit under the given
// configuration. It returns false if the organisation has no limit.
func (q *quotas) quotaFor(organisation string, current *catalog.Catalog) (shard.Quota, bool) {
	policy, bounded := policyOf(organisation, current)
	if !bounded {
		return shard.Quota{}, false
	}
	row := q.rows[organisation]
	share, limit := row.ledger.Allowance(q.service, q.epoch, policy)
	if next, found := q.writing[organisation]; found {
		share = min(share, next.Share)
		limit = quota.MinLimit(limit, next.Limit)
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

// applyRows applies rows that were read from the store, unless a newer version is known. A row that
// can't be read is left out; the error names those that could be read before.
func (q *quotas) applyRows(rows []outside.Row) error {
	var errs error
	for _, row := range rows {
		if row.Key.Table != tableQuota || row.Version <= q.rows[row.Key.Name].version {
			continue
		}
		ledger := quota.Ledger{}
		if err := cbor.Unmarshal(row.Value, &ledger); err != nil {
			if !q.unreadable[row.Key.Name] {
				errs = errors.Join(errs, fmt.Errorf("row of quota %s: %w", row.Key.Name, err))
			}
			q.unreadable[row.Key.Name] = true
			continue
		}
		delete(q.unreadable, row.Key.Name)
		q.setRow(row.Key.Name, quotaRow{
			ledger:  ledger,
			version: row.Version,
		})
	}
	return errs
}

// setRow sets the state of a row. A grant of a previous owner is recorded as inherited.
func (q *quotas) setRow(organisation string, row quotaRow) {
	q.rows[organisation] = row
	if own := row.ledger[q.service]; own.Epoch < q.epoch && own.Share > q.inherited[organisation].Share {
		q.inherited[organisation] = own
	}
}

// propose returns the grants that should replace those that the service holds.
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
		if !bounded || q.unreadable[name] || len(changes) >= maxQuotaRows {
			continue
		}
		next, differs := q.rows[name].ledger.Propose(q.service, q.epoch, policy, need)
		if differs {
			changes[name] = next
		}
	}
	return changes
}

// transaction builds the transaction that writes the given grants on condition that their
// rows are unchanged since they were read. It also returns the new rows, without versions.
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

// anyWaiting reports whether any work waits for a quota.
func anyWaiting(usages []shard.Usage) bool {
	for _, u := range usages {
		if u.Waiting != (job.Room{}) {
			return true
		}
	}
	return false
}

// updateQuotas adjusts the grants of the service to its needs. While work waits for a quota,
// it also reads the grants of the other services.
func (d *Duty) updateQuotas(ctx context.Context, now time.Time) {
	current := d.deps.Catalog()
	if !current.HasLimits() {
		return
	}
	usages := d.core.Usages()
	d.publishQuotas(usages, current, now)
	q := d.quotas
	if !q.reading && (!q.loaded || (anyWaiting(usages) && now.Sub(q.readAt) >= quotaReadInterval)) {
		d.readQuotas(ctx, now)
	}
	if !q.loaded || q.writing != nil || now.Before(q.writeAt) {
		return
	}
	if changes := q.propose(usages, current); len(changes) > 0 {
		d.writeQuotas(ctx, changes)
	}
}

// readQuotas reads the grants of all services.
func (d *Duty) readQuotas(ctx context.Context, now time.Time) {
	d.quotas.reading = true
	d.quotas.readAt = now
	d.deps.Group.Go("quotas of "+d.service, func(context.Context) error {
		rows, _, err := d.deps.Table.ReadAll(ctx, tableQuota, tableQuota)
		d.pushAwaited(func(d *Duty, at time.Time) {
			d.quotas.reading = false
			if err != nil {
				d.deps.Log.Warn("quotas not read", "service", d.service, "error", err.Error())
				return
			}
			if err := d.quotas.applyRows(rows); err != nil {
				d.deps.Count("row_left_out", tableQuota)
				d.deps.Log.Error("row left out", "service", d.service, "error", err.Error())
			}
			d.quotas.loaded = true
		})
		return nil
	})
}

// writeQuotas writes grants and retries until the outcome is known.
func (d *Duty) writeQuotas(ctx context.Context, changes map[string]quota.Grant) {
	tx, next := d.quotas.transaction(changes)
	d.quotas.writing = changes
	d.deps.Group.Go("quotas of "+d.service, func(context.Context) error {
		version, conflict, err := d.sendQuotas(ctx, tx)
		d.pushAwaited(func(d *Duty, at time.Time) {
			q := d.quotas
			if err != nil {
				// The write may still take effect, so this owner writes no more grants.
				d.deps.Log.Warn("quota write abandoned", "service", d.service, "error", err.Error())
				return
			}
			q.writing = nil
			q.writeAt = at.Add(quotaWriteInterval)
			if conflict != nil {
				if err := q.applyRows(conflict.Rows); err != nil {
					d.deps.Log.Error("row left out", "service", d.service, "error", err.Error())
				}
				return
			}
			for name, row := range next {
				row.version = version
				q.setRow(name, row)
				own := row.ledger[q.service]
				d.deps.Log.Info("quota held", "service", d.service, "organisation", name, "share", own.Share, "wanted", own.Wanted,
					"cpu", own.Limit.MilliCPU, "catalog", own.Version)
			}
		})
		return nil
	})
}

// sendQuotas sends a transaction until it is applied or fails with a conflict because a row
// has changed since it was read. Every attempt carries the same conditions, so that the
// transaction takes effect at most once.
func (d *Duty) sendQuotas(ctx context.Context, tx outside.Transaction) (int64, *outside.ConflictError, error) {
	for {
		receipt, err := d.deps.Table.Transact(ctx, tx)
		var conflict *outside.ConflictError
		if err == nil || errors.As(err, &conflict) {
			return receipt.Version, conflict, nil
		}
		d.deps.Log.Warn("quotas not written", "service", d.service, "organisations", len(tx.Puts), "error", err.Error())
		if !clock.Sleep(ctx, commitRetryInterval) {
			return 0, nil, ctx.Err()
		}
	}
}
