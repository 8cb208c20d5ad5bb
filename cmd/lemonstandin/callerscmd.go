package main

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lemonstream.dev/lemonstream/internal/standin"
)

// brokenError reports a promise that did not hold.
type brokenError struct {
	verdict standin.Verdict
}

// Error implements error.
func (e *brokenError) Error() string {
	return "a promise broke: " + e.verdict.String()
}

func newCallersCmd() *ffcli.Command {
	flags := flag.NewFlagSet("lemonstandin callers", flag.ContinueOnError)
	entries := flags.String("entries", "", "addresses of entries, separated by commas")
	killed := flags.String("killed", "", "those of them that are killed meanwhile")
	services := flags.String("services", "", "services, separated by commas")
	callers := flags.Int("callers", 8, "callers at once")
	length := flags.Duration("for", 10*time.Second, "how long to send")
	pause := flags.Duration("pause", 20*time.Millisecond, "mean pause of a caller")
	seed := flags.Uint64("seed", 1, "seed of the requests")
	folder := flags.String("executions", "", "folder with the endpoints' execution files")
	return &ffcli.Command{
		Name:      "callers",
		ShortHelp: "Send requests and judge them against what the endpoints ran.",
		FlagSet:   flags,
		Exec: func(ctx context.Context, _ []string) error {
			addresses, err := parseAddresses(*entries)
			if err != nil {
				return err
			}
			down, err := parseAddresses(*killed)
			if err != nil {
				return err
			}
			options := standin.CallersOptions{
				Entries:  addresses,
				Killed:   make(map[netip.AddrPort]bool),
				Services: strings.Split(*services, ","),
				Callers:  *callers,
				For:      *length,
				Pause:    *pause,
				Seed:     *seed,
			}
			for _, address := range down {
				options.Killed[address] = true
			}
			ends := standin.NewCallers(options).Run(ctx)
			ran, cut, err := standin.ReadExecutions(*folder)
			if err != nil {
				return err
			}
			verdict := standin.Judge(ends, ran, cut)
			fmt.Println(verdict)
			if !verdict.Holds() {
				return &brokenError{
					verdict: verdict,
				}
			}
			return nil
		},
	}
}

func parseAddresses(text string) ([]netip.AddrPort, error) {
	var addresses []netip.AddrPort
	for _, part := range strings.Split(text, ",") {
		if part == "" {
			continue
		}
		address, err := netip.ParseAddrPort(part)
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}
