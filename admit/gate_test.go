package admit_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lemonstream.dev/lemonstream/admit"
	"lemonstream.dev/lemonstream/internal/prove"
)

func ticket(urgency admit.Urgency, timeout time.Duration) (admit.Ticket, time.Time) {
	now := time.Now()
	return admit.Ticket{
		Urgency:  urgency,
		Deadline: now.Add(timeout),
	}, now
}

// enter calls Enter in a goroutine of its own and returns a channel with the result.
func enter(g *admit.Gate, urgency admit.Urgency) <-chan error {
	result := make(chan error, 1)
	want, now := ticket(urgency, time.Minute)
	time.AfterFunc(0, func() { result <- g.Enter(context.Background(), want, now) })
	return result
}

func waitFor(t *testing.T, g *admit.Gate, demand int) {
	t.Helper()
	for begin := time.Now(); g.Demand() != demand; time.Sleep(time.Millisecond) {
		if time.Since(begin) > time.Minute {
			t.Fatalf("demand is %d, want %d", g.Demand(), demand)
		}
	}
}

func reason(err error) admit.Reason {
	var refused *admit.RefusedError
	if errors.As(err, &refused) {
		return refused.Reason
	}
	return ""
}

func TestLeastUrgentIsShedFirst(t *testing.T) {
	is := is.New(t)
	g := admit.NewGate(1, 1)
	is.NoErr(<-enter(g, admit.Normal))
	background := enter(g, admit.Background)
	waitFor(t, g, 2)
	urgent := enter(g, admit.Urgent)
	is.Equal(reason(<-background), admit.ReasonShed) // Shed at once for the urgent request.
	is.Equal(reason(<-enter(g, admit.Normal)), admit.ReasonShed)
	g.Leave(time.Millisecond)
	is.NoErr(<-urgent)
}

func TestRequestBeyondDeadlineIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	g := admit.NewGate(1, 10)
	is.NoErr(<-enter(g, admit.Normal))
	g.Leave(100 * time.Second) // Raises the average service time to about 10 s.
	is.NoErr(<-enter(g, admit.Normal))
	want, now := ticket(admit.Urgent, time.Second)
	err := g.Enter(context.Background(), want, now)
	is.Equal(reason(err), admit.ReasonDeadline)
	var refused *admit.RefusedError
	is.True(errors.As(err, &refused) && refused.RetryAfter > 0) // With a time for the retry.
}

func TestCancelledRequestLeavesQueue(t *testing.T) {
	is := is.New(t)
	g := admit.NewGate(1, 10)
	is.NoErr(<-enter(g, admit.Normal))
	ctx, leave := context.WithCancel(context.Background())
	leave()
	want, now := ticket(admit.Normal, time.Minute)
	is.Equal(reason(g.Enter(ctx, want, now)), admit.ReasonGone)
	is.Equal(g.Demand(), 1)
}

func TestStopRefusesWaitingRequests(t *testing.T) {
	is := is.New(t)
	g := admit.NewGate(1, 10)
	is.NoErr(<-enter(g, admit.Normal))
	waiting := enter(g, admit.Normal)
	waitFor(t, g, 2)
	g.Stop()
	is.Equal(reason(<-waiting), admit.ReasonStopping)
	is.Equal(reason(<-enter(g, admit.Urgent)), admit.ReasonStopping)
}

// TestSharesAddUpToTotal checks that entries that know the same claims divide quotas and
// slots completely, without giving out more than the total.
func TestSharesAddUpToTotal(t *testing.T) {
	prove.Property(t, func(t *rapid.T) {
		demands := rapid.SliceOfN(rapid.Float64Range(0, 1e6), 1, 12).Draw(t, "demands")
		total := rapid.IntRange(1, 64).Draw(t, "total")
		var claims []admit.Claim
		for number, demand := range demands {
			claims = append(claims, admit.Claim{
				Entry:  string(rune('a' + number)),
				Demand: demand,
			})
		}
		rank := func(entry string) uint64 { return uint64(entry[0]) }
		sum, slots := 0.0, 0
		for _, claim := range claims {
			sum += admit.Share(claim.Entry, claims, admit.EvenQuota)
			slots += admit.Slots(claim.Entry, total, claims, rank)
		}
		if sum > 1.000001 || sum < 0.999999 {
			t.Fatalf("shares add up to %g", sum)
		}
		if slots != total {
			t.Fatalf("slots add up to %d of %d", slots, total)
		}
	})
}
