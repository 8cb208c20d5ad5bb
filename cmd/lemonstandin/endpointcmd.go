package main

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lemonstream.dev/lemonstream/internal/standin"
	"lemonstream.dev/lemonstream/store"
)

func newEndpointCmd() *ffcli.Command {
	flags := flag.NewFlagSet("lemonstandin endpoint", flag.ContinueOnError)
	id := flags.String("id", "", "name of the instance")
	pool := flags.String("pool", "", "pool of the instance")
	rack := flags.String("rack", "", "rack of the instance")
	zone := flags.String("zone", "", "availability zone of the instance")
	listen := flags.String("listen", "", "address to listen on")
	platformAt := flags.String("platform", "127.0.0.1:7000", "address of the platform")
	executions := flags.String("executions", "", "file that gets a line for each request that ran")
	slots := flags.Int("slots", 8, "requests worked on at once")
	work := flags.Duration("work", 5*time.Millisecond, "mean time of a request")
	return &ffcli.Command{
		Name:      "endpoint",
		ShortHelp: "Stand in for an endpoint.",
		FlagSet:   flags,
		Exec: func(ctx context.Context, _ []string) error {
			address, err := netip.ParseAddrPort(*listen)
			if err != nil {
				return fmt.Errorf("--listen: %w", err)
			}
			platformAddress, err := netip.ParseAddrPort(*platformAt)
			if err != nil {
				return fmt.Errorf("--platform: %w", err)
			}
			endpoint, err := standin.NewEndpoint(standin.EndpointOptions{
				Listed: store.Listed{
					ID:      *id,
					Pool:    *pool,
					Rack:    *rack,
					Zone:    *zone,
					Address: address,
					State:   store.ListedLive,
					Boot:    time.Now().Unix(),
					Size: store.Resources{
						Milliprocessors: 16_000,
						Memory:          32 << 30,
					},
				},
				Platform:   platformAddress,
				Executions: *executions,
				Slots:      *slots,
				Work:       *work,
			})
			if err != nil {
				return err
			}
			return endpoint.Run(ctx)
		},
	}
}
