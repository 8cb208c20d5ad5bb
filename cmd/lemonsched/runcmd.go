package main

import (
	"context"
	"flag"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"lemonstream.dev/lemonstream/pool"
	"lemonstream.dev/lemonstream/scheduler"
)

// optionsPrefix begins the names of environment variables that stand for flags.
const optionsPrefix = "LEMONSCHED"

func newRunCmd() *ffcli.Command {
	flags := flag.NewFlagSet("lemonsched", flag.ContinueOnError)
	moveCost := flags.Duration("move-cost", pool.DefaultMoveCost,
		"what a move of an instance costs: the time for which an idle one may be held awake for the same")
	forecast := flags.Bool("forecast", true,
		"predict demand that comes in turns, and move instances before a turn begins")
	return &ffcli.Command{
		Name:       "lemonsched",
		ShortUsage: "lemonsched [flags]",
		ShortHelp:  "Schedule jobs on workers, move instances between pools and maintain them.",
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix(optionsPrefix)},
		Exec: func(ctx context.Context, _ []string) error {
			return scheduler.Run(ctx, scheduler.Options{
				MoveCost: *moveCost,
				Forecast: *forecast,
			})
		},
	}
}
