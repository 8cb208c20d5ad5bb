// Command lemonstandin runs small stand-ins for the systems around lemonstream,
// for tests and for a first look.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	root := &ffcli.Command{
		Name:       "lemonstandin",
		ShortUsage: "lemonstandin COMMAND [flags]",
		ShortHelp:  "Stand in for the platform, an endpoint or callers.",
		FlagSet:    flag.NewFlagSet("lemonstandin", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{
			newCallersCmd(),
			newCrowdCmd(),
			newEndpointCmd(),
			newJobsCmd(),
			newPlatformCmd(),
			newSiteCmd(),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
	if err := root.ParseAndRun(ctx, os.Args[1:]); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			os.Exit(2)
		}
		fmt.Fprintln(os.Stderr, "lemonstandin:", err)
		os.Exit(1)
	}
}
