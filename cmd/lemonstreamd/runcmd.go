package main

import (
	"context"
	"flag"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lemonstream.dev/lemonstream/daemon"
	"lemonstream.dev/lemonstream/settings"
)

func newRunCmd() *ffcli.Command {
	flags := flag.NewFlagSet("lemonstreamd run", flag.ContinueOnError)
	path := flags.String("settings", "/etc/lemonstream/lemonstreamd.ini", "settings file")
	return &ffcli.Command{
		Name:       "run",
		ShortUsage: "lemonstreamd run --settings FILE",
		ShortHelp:  "Run the daemon until SIGTERM.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			loaded, err := settings.LoadDaemon(*path)
			if err != nil {
				return err
			}
			return daemon.Run(ctx, loaded)
		},
	}
}
