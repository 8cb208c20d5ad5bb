package main

import (
	"context"
	"testing"

	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v3/ffcli"

	"lemonstream.dev/lemonstream/once"
)

// requestsASecond is the load at which ways to keep at most once are compared:
// what a deployment of today's size can send at most, half of it unrepeatable.
const requestsASecond = 1000

// tableWrites is what the platform's table gives, in writes a second.
const tableWrites = 100

func newOnceCmd() *ffcli.Command {
	return newMeasureCmd("once", "Table writes and time of keeping at most once.", func(context.Context) error {
		window := once.NewWindow(once.AllGuards(), 0, 1<<60, nil)
		result := testing.Benchmark(func(b *testing.B) {
			for b.Loop() {
				key := once.Key(uuid.Must(uuid.NewV7()))
				window.Claim(key, "attempt", key.Issued())
			}
		})
		report("once-claim-at-home", sizeToday, ours, float64(result.NsPerOp()), "ns")
		// A home writes each of its rows four times in an interval, all rows
		// of an entry in one transaction.
		report("once-writes-at-1000-unrepeatable", sizeToday, ours, 9.0*4/60, "writes/s")
		report("once-writes-at-1000-unrepeatable", sizeToday, "claim-in-table", requestsASecond, "writes/s")
		report("once-writes-at-1000-unrepeatable", sizeToday, "batch-of-100ms-each-entry", 9*10, "writes/s")
		report("once-most-unrepeatable", sizeToday, "claim-in-table", tableWrites, "requests/s")
		return nil
	})
}
