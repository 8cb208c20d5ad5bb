package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lemonstream.dev/lemonstream/internal/standin"
)

func newJobsCmd() *ffcli.Command {
	flags := flag.NewFlagSet("lemonstandin jobs", flag.ContinueOnError)
	dir := flags.String("dir", ".", "folder with the site's file")
	count := flags.Int("count", 100, "jobs to hand in")
	return &ffcli.Command{
		Name:      "jobs",
		ShortHelp: "Hand jobs of each kind in at a site and count what became of them.",
		FlagSet:   flags,
		Exec: func(ctx context.Context, _ []string) error {
			jobs, err := standin.NewJobs(*dir)
			if err != nil {
				return err
			}
			counts, verdict, err := jobs.Run(ctx, *count)
			if err != nil {
				return err
			}
			for _, fault := range verdict.Faults {
				fmt.Println("fault:", fault)
			}
			fmt.Printf("jobs=%d starts=%d left=%d lost=%d doubled=%d cut=%d wrong=%d\n", counts.Jobs, verdict.Starts,
				len(verdict.WaveLeft), counts.Lost, len(verdict.Faults), counts.Cut, counts.Wrong)
			return nil
		},
	}
}
