package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/peterbourgon/ff/v3/ffcli"

	"lemonstream.dev/lemonstream/internal/standin"
)

func newPlatformCmd() *ffcli.Command {
	flags := flag.NewFlagSet("lemonstandin platform", flag.ContinueOnError)
	listen := flags.String("listen", "127.0.0.1:7000", "address to listen on")
	lag := flags.Duration("lag", 500*time.Millisecond, "how late the list shows what is")
	phantoms := flags.Int("phantoms", 0, "instances that are listed and do not exist")
	pools := flags.Int("pools", 1, "pools that phantoms are spread over")
	return &ffcli.Command{
		Name:      "platform",
		ShortHelp: "Stand in for the table, the object store and the instance list.",
		FlagSet:   flags,
		Exec: func(ctx context.Context, _ []string) error {
			gin.SetMode(gin.ReleaseMode)
			engine := gin.New()
			outside := standin.NewPlatform(*lag)
			var names []string
			for number := range *pools {
				names = append(names, fmt.Sprintf("pool-%02d", number))
			}
			outside.AddPhantoms(*phantoms, names...)
			outside.Routes(engine)
			server := &http.Server{
				Addr:              *listen,
				Handler:           engine,
				ReadHeaderTimeout: time.Minute,
			}
			context.AfterFunc(ctx, func() { _ = server.Close() })
			if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		},
	}
}
