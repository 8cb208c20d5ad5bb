package owner_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lemonstream.dev/lemonstream/internal/prove"
)

// TestSleepingInstancesAreOrderedInAnOutage begins a turn in an outage. Without orders before the
// return of the store, work waited for a move (1.5 s) after it. With witnesses that refuse nothing
// is ordered, but the rounds go on.
func TestSleepingInstancesAreOrderedInAnOutage(t *testing.T) {
	for name, store := range map[string]int32{
		"rejects": storeRejects,
		"silent":  storeSilent,
		"deaf":    storeDeaf,
	} {
		for _, promises := range []bool{true, false} {
			t.Run(fmt.Sprint(name, promises), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					f := newTurnFleet()
					f.promises.Store(promises)
					newEntryWith(t, "a", f.table(), alive("a"), f.deps)
					time.Sleep(15 * time.Second)
					f.store.Store(store)
					time.Sleep(600 * time.Millisecond)
					before, _, _ := f.count()
					rounds := f.rounds.Load()
					f.set(20)
					time.Sleep(2 * time.Second)
					is.True(f.rounds.Load() >= rounds+5) // The rounds go on.
					orders, unwritten, _ := f.count()
					is.Equal(orders > before, promises)
					f.store.Store(storeUp)
					time.Sleep(1500 * time.Millisecond)
					_, _, noted := f.count()
					is.Equal(noted, unwritten) // The first rows name every order.
					time.Sleep(5 * time.Second)
					is.Equal(f.violations, nil)
				})
			})
		}
	}
}

// TestOrdersKeepTheirRulesInOutages draws outages of all kinds, promises that come and go, and
// orders without an answer. No order may be sent that neither the row nor every witness knows, nor
// one for an instance whose worker is not released.
func TestOrdersKeepTheirRulesInOutages(t *testing.T) {
	prove.Guard(t, prove.InstanceOrders, "witnesses-know-the-order", func(on bool) func(*rapid.T) {
		return func(rt *rapid.T) {
			steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) [4]int {
				return [4]int{
					rapid.IntRange(0, 3).Draw(rt, "store"),
					rapid.IntRange(0, 25).Draw(rt, "demand"),
					rapid.IntRange(1, 30).Draw(rt, "tenths"),
					rapid.IntRange(0, 3).Draw(rt, "answers"),
				}
			}), 4, 12).Draw(rt, "steps")
			violations := play(t, steps, func(f *turnFleet) {
				if !on {
					f.tell = func(context.Context, []string) error { return nil }
				}
			})
			if violations != nil {
				rt.Fatalf("%v", violations)
			}
		}
	})
}

// TestNoOrderAfterPromisesEnd raises the demand once the promises can't hold any more. Another entry
// may own the instances by then.
func TestNoOrderAfterPromisesEnd(t *testing.T) {
	prove.Scenario(t, prove.InstanceOrders, "order-within-promise", func(on bool) string {
		steps := [][4]int{{int(storeSilent), 0, 85, 2}, {int(storeSilent), 25, 30, 2}}
		return strings.Join(play(t, steps, func(f *turnFleet) {
			if !on {
				f.act = func(time.Duration) bool { return true }
			}
		}), ", ")
	})
}
