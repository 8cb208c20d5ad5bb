package owner_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/catalog"
	"lemonstream.dev/lemonstream/internal/standin"
	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/outside"
	"lemonstream.dev/lemonstream/owner"
	"lemonstream.dev/lemonstream/quota"
)

const (
	organisation = "north"

	// limitTasks is how many tasks of taskCPU the organisation may run on all services together.
	limitTasks = 10
	taskCPU    = 1_000
)

// limitedCatalog returns a catalog in which the organisation may run limitTasks tasks.
func limitedCatalog() *catalog.Catalog {
	c := &catalog.Catalog{
		Version: 1,
		Services: []catalog.Service{{
			Name: "s",
		}},
		Organisations: []catalog.Organisation{{
			Name: organisation,
			Limit: job.Room{
				MilliCPU: limitTasks * taskCPU,
			},
		}},
	}
	if err := c.IndexKeys(); err != nil {
		panic(err)
	}
	return c
}

// ledgerKey returns the key of the organisation's ledger.
func ledgerKey() outside.Key {
	return outside.Key{
		Table: "quota",
		Part:  "quota",
		Name:  organisation,
	}
}

func writeLedger(rows *standin.Rows, ledger quota.Ledger) {
	value, err := cbor.Marshal(ledger)
	if err != nil {
		panic(err)
	}
	rows.Write(ledgerKey(), value)
}

func readLedger(t *testing.T, rows *standin.Rows) quota.Ledger {
	t.Helper()
	row, err := rows.Table().Row(t.Context(), ledgerKey())
	if err != nil {
		t.Fatal(err)
	}
	ledger := quota.Ledger{}
	if row != nil {
		if err := cbor.Unmarshal(row.Value, &ledger); err != nil {
			t.Fatal(err)
		}
	}
	return ledger
}

// writeJobs writes records of jobs of the organisation. Each has one long-running task.
func writeJobs(rows *standin.Rows, jobs int) {
	for i := range jobs {
		one := record(fmt.Sprintf("job-%d", i))
		one.Organisation = organisation
		one.Spec.Steps[0].Lasting = true
		one.Spec.Steps[0].Need.MilliCPU = taskCPU
		rows.Write(owner.IntakeKey("s", one.ID), one.Encode())
	}
}

func (h *fakeWorkers) running() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	count := 0
	for _, runs := range h.runs {
		count += len(runs)
	}
	return count
}

// TestServicesShareAnOrganisationsQuota guards against services that count the usage of an
// organisation each for itself, so that all together run several times its quota. A service
// may use only the share of the quota that the other services leave.
func TestServicesShareAnOrganisationsQuota(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		rows := standin.NewRows()
		h := newFakeWorkers(rows, "w0", "w1", "w2")
		other := quota.Grant{
			Epoch:   1,
			Share:   quota.Whole * 6 / 10,
			Limit:   limitedCatalog().Organisations[0].Limit,
			Version: 1,
		}
		writeLedger(rows, quota.Ledger{
			"other": other,
		})
		writeJobs(rows, 2*limitTasks)
		e := newEntryWith(t, "a", rows.Table(), alive("a"), func(deps owner.Deps, name string) owner.Deps {
			deps = h.deps(deps, name)
			deps.Catalog = limitedCatalog
			return deps
		})
		until(t, "the share that the other service leaves is used", func() bool { return h.running() == 4 })
		time.Sleep(2 * time.Second)
		is.Equal(h.running(), 4)
		ledger := readLedger(t, rows)
		other.Share = quota.Whole / 10
		ledger["other"] = other
		writeLedger(rows, ledger)
		until(t, "the share that the other service returns is used", func() bool { return h.running() == 9 })
		time.Sleep(2 * time.Second)
		is.Equal(h.running(), 9)
		// The metrics tell that the quota, and not a lack of room, keeps tasks waiting.
		is.Equal(e.keeper.QuotaStates(), []owner.QuotaState{{
			Service:      "s",
			Organisation: organisation,
			Held:         quota.Whole * 9 / 10,
			Used:         quota.Whole * 9 / 10,
			Asked:        2 * quota.Whole,
		}})
	})
}

// Another writer's row beside the ledgers, or in place of one, left all organisations without a quota:
// no ledger counted unless all could be read.
func TestOddLedgerStopsNoOtherOrganisation(t *testing.T) {
	for name, value := range oddRows(t) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				rows := standin.NewRows()
				h := newFakeWorkers(rows, "w0", "w1", "w2")
				odd := ledgerKey()
				odd.Name = "east"
				rows.Write(odd, value)
				writeJobs(rows, 2*limitTasks)
				e := newEntryWith(t, "a", rows.Table(), alive("a"), func(deps owner.Deps, name string) owner.Deps {
					deps = h.deps(deps, name)
					deps.Catalog = limitedCatalog
					return deps
				})
				until(t, "the quota is used", func() bool { return h.running() == limitTasks })
				time.Sleep(2 * time.Second)
				is.Equal(h.running(), limitTasks)
				is.True(e.lines.of("row left out") <= 1)
			})
		})
	}
}

// The organisation whose ledger was replaced goes on once the row can be read again.
func TestOrganisationGoesOnAfterItsOddLedger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		rows := standin.NewRows()
		h := newFakeWorkers(rows, "w0", "w1", "w2")
		rows.Write(ledgerKey(), []byte("no row"))
		writeJobs(rows, 2*limitTasks)
		e := newEntryWith(t, "a", rows.Table(), alive("a"), func(deps owner.Deps, name string) owner.Deps {
			deps = h.deps(deps, name)
			deps.Catalog = limitedCatalog
			return deps
		})
		time.Sleep(5 * time.Second)
		is.Equal(h.running(), 0)
		is.Equal(e.lines.of("row left out"), 1) // It is read several times a second.
		writeLedger(rows, quota.Ledger{})
		until(t, "the quota is used", func() bool { return h.running() == limitTasks })
	})
}
