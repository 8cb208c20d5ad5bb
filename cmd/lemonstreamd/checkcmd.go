package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lemonstream.dev/lemonstream/config"
	"lemonstream.dev/lemonstream/settings"
)

func newCheckCmd() *ffcli.Command {
	flags := flag.NewFlagSet("lemonstreamd check", flag.ContinueOnError)
	isConfig := flags.Bool("config", false, "check a configuration for rollout instead of the daemon's settings")
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "lemonstreamd check [--config] FILE",
		ShortHelp:  "Check a file without running anything.",
		FlagSet:    flags,
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 {
				return flag.ErrHelp
			}
			if err := check(args[0], *isConfig); err != nil {
				return err
			}
			fmt.Println(args[0] + ": no fault found")
			return nil
		},
	}
}

func check(path string, isConfig bool) error {
	if !isConfig {
		_, err := settings.LoadDaemon(path)
		return err
	}
	body, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	_, err = config.Parse(path, body, 1)
	return err
}
