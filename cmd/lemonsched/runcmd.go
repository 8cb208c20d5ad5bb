package main

import (
	"context"
	"flag"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"lemonstream.dev/lemonstream/intake"
	"lemonstream.dev/lemonstream/outlier"
	"lemonstream.dev/lemonstream/pool"
	"lemonstream.dev/lemonstream/scheduler"
	"lemonstream.dev/lemonstream/witness"
)

// optionsPrefix begins the names of environment variables that stand for flags.
const optionsPrefix = "LEMONSCHED"

func newRunCmd() *ffcli.Command {
	flags := flag.NewFlagSet("lemonsched", flag.ContinueOnError)
	moveCost := flags.Duration("move-cost", pool.DefaultMoveCost,
		"what a move of an instance costs: the time for which an idle one may be held awake for the same")
	offerTime := flags.Duration("offer-time", intake.DefaultOfferTime,
		"how long a job is offered to a store that does not accept it, at most a quarter of what its caller waits")
	outageTimeout := flags.Duration("outage-timeout", witness.Limit,
		"how long an owner continues without a write while the store is away from its witnesses as well, 8s at the most; up to 4s or 0s: not beyond 4s")
	ejectShare := flags.Float64("eject-share", outlier.DefaultShare,
		"the share of a service's workers, 0 to 0.5, that may be out of use at one time because they fail what they start; 0 switches it off")
	probeAfter := flags.Duration("probe-after", outlier.DefaultProbeAfter,
		"how long after that a worker gets a first task to prove itself")
	weights := flags.Bool("organisation-weights", false,
		"divide room between organisations with waiting work by their weights, among work of the same priority")
	outageOrders := flags.Bool("outage-orders", true,
		"whether sleeping instances are ordered, and refused jobs counted as demand, while the store is away")
	forecast := flags.Bool("forecast", true,
		"predict demand that comes in turns, and move instances before a turn begins")
	maxCallers := flags.Int("max-callers", 0,
		"how many connections of callers may be open at one time; 0 stands for half of the machine's descriptors")
	connMemory := flags.Float64("connection-memory", scheduler.DefaultConnMemory,
		"the share of the machine's memory, 0.05 to 0.5, that connections to this entry may hold")
	headerLines := flags.Int("max-header-lines", scheduler.DefaultHeaderLines,
		"how many lines the head of a request may have")
	receiveBuffer := flags.Int("receive-buffer", scheduler.DefaultReceiveBuffer,
		"how many bytes the system keeps of what has arrived on a caller's connection and was not read")
	return &ffcli.Command{
		Name:       "lemonsched",
		ShortUsage: "lemonsched [flags]",
		ShortHelp:  "Schedule jobs on workers, move instances between pools and maintain them.",
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix(optionsPrefix)},
		Exec: func(ctx context.Context, _ []string) error {
			return scheduler.Run(ctx, scheduler.Options{
				MoveCost:      *moveCost,
				OfferTime:     *offerTime,
				OutageTimeout: *outageTimeout,
				EjectShare:    *ejectShare,
				ProbeAfter:    *probeAfter,

				MaxCallers:    *maxCallers,
				ConnMemory:    *connMemory,
				HeaderLines:   *headerLines,
				ReceiveBuffer: *receiveBuffer,

				OutageOrders: *outageOrders,
				Forecast:     *forecast,

				OrganisationWeights: *weights,
			})
		},
	}
}
