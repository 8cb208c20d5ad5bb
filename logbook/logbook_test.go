package logbook_test

import (
	"bytes"
	"context"
	"log/slog"
	"testing"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/logbook"
)

func TestBusyEventIsBoundedAndCounted(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	book := logbook.New(&out)
	log := book.Logger(slog.LevelInfo)
	const lines = 5000
	for i := 0; i < lines; i++ {
		log.Info("start ordered", "n", i)
	}
	log.Info("job accepted")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.NoErr(book.Run(ctx)) // What is queued is written at the end.
	written := bytes.Count(out.Bytes(), []byte("start ordered"))
	dropped := book.Dropped()["start ordered"]
	is.True(written < lines)
	is.Equal(written+dropped, lines)
	is.Equal(bytes.Count(out.Bytes(), []byte("job accepted")), 1) // Other events have their own bound.
}
