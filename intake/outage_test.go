package intake_test

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/internal/standin"
	"lemonstream.dev/lemonstream/outside"
)

// TestCallersOfAnOutageDoNotFillTheStore lets several hundred callers hand in jobs and
// ask for states while one part of the store resets every connection. What an
// entry calls is bounded over all of its callers: with 32 entries, as many calls as
// callers and pauses were several times what the store takes, and held up the
// services whose parts were well.
func TestCallersOfAnOutageDoNotFillTheStore(t *testing.T) {
	const callers = 300
	for method, most := range map[string]int64{
		// Pauses of up to 250 ms in the 0.4 s for which each caller is worked for, and
		// those of the first failures.
		http.MethodDelete: 20,
		http.MethodGet:    20,
		http.MethodPost:   20,
	} {
		t.Run(method, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var calls atomic.Int64
				rows := standin.NewRows()
				rows.Before = func(context.Context, standin.Call) error {
					calls.Add(1)
					return &outside.UncertainError{
						Call: "store",
					}
				}
				entry := serve(t, rows, oneRoute())
				var all sync.WaitGroup
				for range callers {
					all.Go(func() { ask(entry, method, "/q/a", "job") })
				}
				all.Wait()
				is.True(calls.Load() > 1)
				is.True(calls.Load() <= most)
			})
		})
	}
}

// TestEntryWritesAgainRightAfterAnOutage covers the other side: one success, and
// everyone is let through.
func TestEntryWritesAgainRightAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var away atomic.Bool
		away.Store(true)
		rows := standin.NewRows()
		rows.Before = func(context.Context, standin.Call) error {
			if !away.Load() {
				return nil
			}
			return &outside.NotDoneError{
				Call: "store",
			}
		}
		entry := serve(t, rows, oneRoute())
		for range 20 {
			is.Equal(ask(entry, http.MethodPost, "/q/a", "job").Code, http.StatusGatewayTimeout)
		}
		away.Store(false)
		taken := 0
		for range 10 {
			if ask(entry, http.MethodPost, "/q/a", "job").Code == http.StatusOK {
				taken++
			}
		}
		// The pause is 375 ms at the most, and each answer without success takes 100 ms.
		is.True(taken >= 6)
	})
}
