package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// slowPause is the pause of a slow caller between two bytes of its header.
const slowPause = 400 * time.Millisecond

func newCrowdCmd() *ffcli.Command {
	flags := flag.NewFlagSet("lemonstandin crowd", flag.ContinueOnError)
	entry := flags.String("entry", "127.0.0.1:7100", "address of an entry")
	idle := flags.Int("idle", 5000, "callers that connect and say nothing more after one request")
	slow := flags.Int("slow", 500, "callers that send a header byte by byte")
	length := flags.Duration("for", 15*time.Second, "how long to stay")
	return &ffcli.Command{
		Name:      "crowd",
		ShortHelp: "Hold many idle and slow connections to an entry.",
		FlagSet:   flags,
		Exec: func(ctx context.Context, _ []string) error {
			ctx, stop := context.WithTimeout(ctx, *length)
			defer stop()
			var open []net.Conn
			defer func() {
				for _, conn := range open {
					_ = conn.Close()
				}
			}()
			for number := range *idle + *slow {
				conn, err := net.Dial("tcp", *entry)
				if err != nil {
					return fmt.Errorf("after %d connections: %w", number, err)
				}
				open = append(open, conn)
				text := "GET /call/none/ HTTP/1.1\r\nHost: crowd\r\n\r\n"
				if number >= *idle {
					text = "GET /call/none/ HTTP/1.1\r\nHost: crowd\r\nX-Slow: "
				}
				if _, err := io.WriteString(conn, text); err != nil {
					return err
				}
			}
			fmt.Println("open")
			for ctx.Err() == nil {
				time.Sleep(slowPause)
				for _, conn := range open[*idle:] {
					_, _ = io.WriteString(conn, "a")
				}
			}
			return nil
		},
	}
}
