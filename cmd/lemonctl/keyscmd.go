package main

import (
	"context"
	"flag"
	"fmt"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"lemonstream.dev/lemonstream/member"
)

func newKeysCmd(s *session) *ffcli.Command {
	return &ffcli.Command{
		Name:       "keys",
		ShortUsage: "lemonctl keys FOLDER",
		ShortHelp:  "Make the keys that entries know each other by.",
		LongHelp:   "Writes an authority, a certificate and its key into the folder. Entries read replaced files without a restart.",
		FlagSet:    flag.NewFlagSet("lemonctl keys", flag.ContinueOnError),
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 {
				return flag.ErrHelp
			}
			if err := member.IssueKeys(args[0], time.Now()); err != nil {
				return err
			}
			fmt.Fprintf(s.out, "wrote %s, %s and %s to %s\n", member.AuthorityFile, member.CertificateFile, member.KeyFile, args[0])
			return nil
		},
	}
}
