package main

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lemonstream.dev/lemonstream/forward"
)

// The retry measure: 200 requests a second for a minute before and 30 s of a
// service that fails everything, with at most two repeats each.
const (
	retryRate   = 200
	retryBefore = 60
	retryFailed = 30
	retryMost   = 2
)

func newRetryCmd() *ffcli.Command {
	return newMeasureCmd("retries", "Requests sent for each asked while a service fails for 30 s.", func(context.Context) error {
		budget := forward.NewRetryBudget(0.1)
		for range retryRate * retryBefore {
			budget.Succeeded()
		}
		sent := 0
		for range retryRate * retryFailed {
			sent++
			for repeat := 0; repeat < retryMost && budget.Take(); repeat++ {
				sent++
			}
		}
		asked := float64(retryRate * retryFailed)
		report("retries-sent-over-asked", sizeToday, ours, float64(sent)/asked, "ratio")
		report("retries-sent-over-asked", sizeToday, "two-repeats-each", 1+retryMost, "ratio")
		return nil
	})
}
