// Command lemonstreamd is the daemon on each entry instance.
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
		Name:       "lemonstreamd",
		ShortUsage: "lemonstreamd COMMAND [flags]",
		ShortHelp:  "Serve callers, operators and peers on an entry instance.",
		FlagSet:    flag.NewFlagSet("lemonstreamd", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{
			newCheckCmd(),
			newReferenceCmd(),
			newRunCmd(),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
	if err := root.ParseAndRun(ctx, os.Args[1:]); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			os.Exit(2)
		}
		fmt.Fprintln(os.Stderr, "lemonstreamd:", err)
		os.Exit(1)
	}
}
