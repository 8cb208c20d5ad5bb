package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lemonstream.dev/lemonstream/admit"
	"lemonstream.dev/lemonstream/route"
)

func newChoiceCmd() *ffcli.Command {
	return newMeasureCmd("choice", "Time and allocations of a choice of endpoint with its admission.", func(context.Context) error {
		for size, count := range map[string]int{
			sizeToday:  12,
			sizeTarget: 700,
		} {
			measureChoice(size, count, 0)
			measureChoice(size, count, 1)
		}
		return nil
	})
}

// measureChoice times admission, choice and their ends for count endpoints,
// with a session where session is not 0.
func measureChoice(size string, count int, session uint64) {
	service := route.NewService("s", newEndpoints(count, 8), 0.34)
	gate := admit.NewGate(count*8, 256)
	random := rand.New(rand.NewPCG(1, uint64(count)))
	ctx := context.Background()
	now := time.Now()
	ticket := admit.Ticket{
		Urgency:  admit.Normal,
		Deadline: now.Add(time.Hour),
	}
	result := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if err := gate.Enter(ctx, ticket, now); err != nil {
				b.Fatal(err)
			}
			wanted := route.Request{
				Now:    1,
				Random: random.Uint64(),
			}
			if session != 0 {
				wanted.Session = random.Uint64() | 1
			}
			endpoint, _ := service.Choose(wanted)
			service.Done(endpoint, 1, time.Millisecond, false)
			gate.Leave(time.Millisecond)
		}
	})
	name := "choice"
	if session != 0 {
		name = "choice-session"
	}
	report(name, size, ours, float64(result.NsPerOp()), "ns")
	report(name+"-allocations", size, ours, float64(result.AllocsPerOp()), "count")
}

func newEndpoints(count, slots int) []*route.Endpoint {
	endpoints := make([]*route.Endpoint, 0, count)
	for number := range count {
		endpoint := route.NewEndpoint(fmt.Sprintf("w%04d", number), "z", netip.AddrPort{}, 1)
		endpoint.SetLimit(slots)
		endpoints = append(endpoints, endpoint)
	}
	return endpoints
}
