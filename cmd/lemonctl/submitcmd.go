package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v3/ffcli"

	"lemonstream.dev/lemonstream/store"
	"lemonstream.dev/lemonstream/work"
)

func newSubmitCmd(s *session) *ffcli.Command {
	flags := flag.NewFlagSet("lemonctl submit", flag.ContinueOnError)
	pool := flags.String("pool", "", "pool whose workers run the job")
	team := flags.String("team", "", "team whose quota pays")
	urgent := flags.Bool("urgent", false, "start at once, if need be in the place of other jobs")
	unrepeatable := flags.Bool("unrepeatable", false, "start at most once")
	processors := flags.Float64("processors", 1, "processors that the job takes")
	memory := flags.Int64("memory", 1<<30, "memory that the job takes, in bytes")
	accelerators := flags.Int64("accelerators", 0, "accelerators that the job takes")
	return &ffcli.Command{
		Name:       "submit",
		ShortUsage: "lemonctl submit --pool POOL [flags] [ID ...]",
		ShortHelp:  "Submit jobs, all or none; without an id one is made up.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			client, err := s.client()
			if err != nil {
				return err
			}
			if len(args) == 0 {
				args = []string{uuid.NewString()}
			}
			jobs := make([]work.Job, 0, len(args))
			for _, id := range args {
				jobs = append(jobs, work.Job{
					ID:           id,
					Pool:         *pool,
					Team:         *team,
					Urgent:       *urgent,
					Unrepeatable: *unrepeatable,
					Declared: store.Resources{
						Milliprocessors: int64(*processors * 1000),
						Memory:          *memory,
						Accelerators:    *accelerators,
					},
				})
			}
			if err := client.SubmitJobs(ctx, jobs); err != nil {
				return err
			}
			for _, job := range jobs {
				fmt.Fprintln(s.out, job.ID)
			}
			return nil
		},
	}
}
