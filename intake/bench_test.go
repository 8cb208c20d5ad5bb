package intake_test

import (
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"lemonstream.dev/lemonstream/intake"
	"lemonstream.dev/lemonstream/internal/standin"
	"lemonstream.dev/lemonstream/peer"
)

// BenchmarkHandIn measures what it costs an entry and an owner of another to take in
// jobs that come at the same moment.
func BenchmarkHandIn(b *testing.B) {
	for _, jobs := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("%djobs", jobs), func(b *testing.B) {
			other := newOwnerEntry(b)
			other.held.Store(newDuty(b, standin.NewRows()))
			entry := serveOwned(b, standin.NewRows(), func(s *intake.Server) {
				s.Owners.Owner = func(string) (netip.AddrPort, bool) { return other.address, true }
				s.Owners.Peers = peer.NewClient()
			})
			for n := 0; b.Loop(); n++ {
				done := make(chan int, jobs)
				for i := range jobs {
					go func() { done <- askFor(entry, fmt.Sprintf("/q/%d-%d", n, i), 3*time.Second).Code }()
				}
				for range jobs {
					if code := <-done; code != http.StatusOK {
						b.Fatalf("answered %d", code)
					}
				}
			}
		})
	}
}
