// Command lemonmeasure prints the measures of the policy, one line each:
// measure=NAME size=today|target policy=ours|BASELINE value=X unit=U. Every
// measure has a fixed seed; those in time units depend on the machine.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// Sizes of a measure.
const (
	sizeTarget = "target"
	sizeToday  = "today"
)

// ours is the policy that lemonstream has; every other one is a baseline.
const ours = "ours"

func main() {
	commands := []*ffcli.Command{
		newChoiceCmd(),
		newOnceCmd(),
		newOverloadCmd(),
		newPathCmd(),
		newPlaceCmd(),
		newPlanCmd(),
		newQuotaCmd(),
		newRetryCmd(),
		newRoutingCmd(),
		newSpreadCmd(),
		newUrgentCmd(),
		newWavesCmd(),
	}
	root := &ffcli.Command{
		Name:        "lemonmeasure",
		ShortUsage:  "lemonmeasure [MEASURE]",
		ShortHelp:   "Print measures of the policy; all of them without a name.",
		FlagSet:     flag.NewFlagSet("lemonmeasure", flag.ContinueOnError),
		Subcommands: commands,
		Exec: func(ctx context.Context, _ []string) error {
			for _, command := range commands {
				if err := command.Exec(ctx, nil); err != nil {
					return err
				}
			}
			return nil
		},
	}
	if err := root.ParseAndRun(context.Background(), os.Args[1:]); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			os.Exit(2)
		}
		fmt.Fprintln(os.Stderr, "lemonmeasure:", err)
		os.Exit(1)
	}
}

// newMeasureCmd returns the command of one measure.
func newMeasureCmd(name, help string, run func(ctx context.Context) error) *ffcli.Command {
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "lemonmeasure " + name,
		ShortHelp:  help,
		FlagSet:    flag.NewFlagSet("lemonmeasure "+name, flag.ContinueOnError),
		Exec:       func(ctx context.Context, _ []string) error { return run(ctx) },
	}
}

// report prints one measure.
func report(name, size, policy string, value float64, unit string) {
	fmt.Printf("measure=%s size=%s policy=%s value=%.4g unit=%s\n", name, size, policy, value, unit)
}
