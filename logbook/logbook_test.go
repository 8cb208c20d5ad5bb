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

// An owner that starts 400 tasks in a second leaves out further lines of that event. Among
// them were the starts and ends of the few tasks that last (of 43,299 starts of a day 18,080
// were written), so that no log could tell which tasks of a step were away when another one of
// it was stopped.
func TestLinesThatAreSetApartHaveABoundOfTheirOwn(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	book := logbook.New(&out, "lasting")
	log := book.Logger(slog.LevelInfo)
	const lines = 2000
	for i := 0; i < lines; i++ {
		log.Info("start ordered", "n", i, "lasting", false)
	}
	log.Info("start ordered", "n", lines, "lasting", true)
	for i := 0; i < lines; i++ {
		log.Info("run ended", "n", i, "lasting", true)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.NoErr(book.Run(ctx))
	is.Equal(bytes.Count(out.Bytes(), []byte(`"n":2000,"lasting":true`)), 1) // The short tasks' bound is not theirs.
	dropped := book.Dropped()
	is.True(dropped["start ordered"] > 0)
	is.True(dropped["run ended lasting"] > 0) // Theirs is a bound as well.
}
