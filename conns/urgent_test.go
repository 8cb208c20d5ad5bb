package conns_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"lemonstream.dev/lemonstream/conns"
	"lemonstream.dev/lemonstream/internal/standin"
)

// TestUrgentCallsGoFirst guards against a stop or a renewal that waits behind all starts of a burst for one
// of the connections to a worker.
func TestUrgentCallsGoFirst(t *testing.T) {
	for name, reserved := range map[string]int{
		"over a reserved connection":            1,
		"over the next connection that is free": 0,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const perAddress, starts = 3, 30
			var working, answered atomic.Int32
			turn := make(chan struct{})
			server := standin.StartSilenced(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/start" {
					working.Add(1)
					<-turn
					answered.Add(1)
				}
				echo(w, r)
			}), 1)
			defer server.Close()
			client := conns.NewClient(conns.Limits{
				PerAddress: perAddress,
				Kept:       perAddress,
				Reserved:   reserved,
				Dial:       long,
				Idle:       long,
				Answer:     1 << 10,
			})
			var callers errgroup.Group
			for range starts {
				callers.Go(func() error {
					_, err := client.Do(context.Background(), call(server, "/start"))
					return err
				})
			}
			for working.Load() < int32(perAddress-reserved) {
				time.Sleep(time.Millisecond)
			}
			callers.Go(func() error {
				urgent := call(server, "/stop")
				urgent.Urgent = true
				_, err := client.Do(context.Background(), urgent)
				is.True(answered.Load() <= 1) // At most the start that frees a connection goes first.
				close(turn)
				return err
			})
			if reserved == 0 {
				time.Sleep(50 * time.Millisecond) // The urgent call waits.
				turn <- struct{}{}
			}
			is.NoErr(callers.Wait())
			is.Equal(answered.Load(), int32(starts))
		})
	}
}
