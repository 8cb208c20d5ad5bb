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

	// limitTasks is how many tasks of taskCPU the organisation may run on all services.
	limitTasks = 10
	taskCPU    = 1_000
)

// organised returns a configuration in which the organisation may run limitTasks.
func organised() *catalog.Catalog {
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

// ledgerKey is where the organisation's ledger stands.
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

// ask writes the records of jobs of one lasting task each, which belong to the organisation.
func ask(rows *standin.Rows, jobs int) {
	for i := range jobs {
		one := record(fmt.Sprintf("job-%d", i))
		one.Organisation = organisation
		one.Spec.Steps[0].Lasting = true
		one.Spec.Steps[0].Need.MilliCPU = taskCPU
		rows.Write(owner.IntakeKey("s", one.ID), one.Encode())
	}
}

func (h *hands) running() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	count := 0
	for _, runs := range h.runs {
		count += len(runs)
	}
	return count
}

// Each service counted for itself what it ran of an organisation, so that all of them together
// ran several times its quota. A service starts what others have left of it, and no more.
func TestServicesShareAnOrganisationsQuota(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		rows := standin.NewRows()
		h := newHands(rows, "w0", "w1", "w2")
		other := quota.Grant{
			Epoch:   1,
			Share:   quota.Whole * 6 / 10,
			Limit:   organised().Organisations[0].Limit,
			Version: 1,
		}
		writeLedger(rows, quota.Ledger{
			"other": other,
		})
		ask(rows, 2*limitTasks)
		newEntryWith(t, "a", rows.Table(), alive("a"), func(deps owner.Deps, name string) owner.Deps {
			deps = h.deps(deps, name)
			deps.Catalog = organised
			return deps
		})
		until(t, "what the other service has left is used", func() bool { return h.running() == 4 })
		time.Sleep(2 * time.Second)
		is.Equal(h.running(), 4)
		ledger := readLedger(t, rows)
		other.Share = quota.Whole / 10
		ledger["other"] = other
		writeLedger(rows, ledger)
		until(t, "what the other service gives back is used", func() bool { return h.running() == 9 })
		time.Sleep(2 * time.Second)
		is.Equal(h.running(), 9)
	})
}
