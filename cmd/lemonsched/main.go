// Lemonsched is an entry of lemonstream on the users' platform. It takes its
// settings from the file that the platform names.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"lemonstream.dev/lemonstream/scheduler"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := scheduler.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "lemonsched:", err)
		os.Exit(1)
	}
}
