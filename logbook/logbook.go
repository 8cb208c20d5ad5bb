// Package logbook writes structured logs without ever holding up who logs: lines
// go into a bounded queue, and what does not fit is dropped and counted. Lines
// of one event are bounded in each second, so that a busy day can't fill the
// output; lines that a field sets apart have a bound of their own.
package logbook

import (
	"context"
	"io"
	"log/slog"
	"slices"
	"sync"
	"time"

	"lemonstream.dev/lemonstream/ring"
)

const (
	// linesMost is the number of lines that may wait to be written; at 300
	// bytes a line it takes under 2 MB.
	linesMost = 4096

	// perSecond is the most lines of one event in a second. An entry that owns
	// a service starts about 100 tasks a second at its busiest.
	perSecond = 400
)

// Book is a log output with a bounded queue.
type Book struct {
	out   io.Writer
	lines *ring.Ring[[]byte]

	// apart names the fields that set a line apart where they are true.
	apart []string

	mu sync.Mutex

	// second is the second that counts belong to; counts holds the lines of
	// each event in it, dropped those left out since the last report.
	second  int64
	counts  map[string]int
	dropped map[string]int
}

// handler applies the bound of each event before a line is built.
type handler struct {
	slog.Handler

	book *Book
}

// New returns a book that writes to out once Run runs. A line that carries one of the fields
// named by apart as true does not share the bound of its event, so that a few lines that
// matter are not left out for many others of the same event.
func New(out io.Writer, apart ...string) *Book {
	return &Book{
		out:     out,
		apart:   apart,
		lines:   ring.New[[]byte](linesMost),
		counts:  make(map[string]int),
		dropped: make(map[string]int),
	}
}

// Logger returns a logger in JSON over the book.
func (b *Book) Logger(level slog.Leveler) *slog.Logger {
	return slog.New(&handler{
		Handler: slog.NewJSONHandler(b, &slog.HandlerOptions{
			Level: level,
		}),
		book: b,
	})
}

// Dropped returns and clears the number of lines left out of each event.
func (b *Book) Dropped() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	dropped := b.dropped
	b.dropped = make(map[string]int)
	return dropped
}

// Run writes lines until ctx ends, and then what is left.
func (b *Book) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			b.flush()
			return nil
		case <-b.lines.Ready():
			b.flush()
		}
	}
}

// Write queues one line; it implements io.Writer for the handler.
func (b *Book) Write(line []byte) (int, error) {
	if err := b.lines.Push(append([]byte(nil), line...)); err != nil {
		b.mu.Lock()
		b.dropped["queue full"]++
		b.mu.Unlock()
	}
	return len(line), nil
}

// allow counts a line of an event and reports whether it may be written.
func (b *Book) allow(event string, at time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if second := at.Unix(); second != b.second {
		b.second = second
		clear(b.counts)
	}
	b.counts[event]++
	if b.counts[event] <= perSecond {
		return true
	}
	b.dropped[event]++
	return false
}

func (b *Book) flush() {
	var joined []byte
	for _, line := range b.lines.Drain() {
		joined = append(joined, line...)
	}
	if len(joined) == 0 {
		return
	}
	// Nobody is left to tell when the output itself fails.
	_, _ = b.out.Write(joined)
}

// Handle implements slog.Handler.
func (h *handler) Handle(ctx context.Context, record slog.Record) error {
	if !h.book.allow(h.book.boundOf(record), record.Time) {
		return nil
	}
	return h.Handler.Handle(ctx, record)
}

// boundOf returns the name under which a line is counted.
func (b *Book) boundOf(record slog.Record) string {
	event := record.Message
	record.Attrs(func(attr slog.Attr) bool {
		if !slices.Contains(b.apart, attr.Key) || attr.Value.Kind() != slog.KindBool || !attr.Value.Bool() {
			return true
		}
		event += " " + attr.Key
		return false
	})
	return event
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{
		Handler: h.Handler.WithAttrs(attrs),
		book:    h.book,
	}
}

// WithGroup implements slog.Handler.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{
		Handler: h.Handler.WithGroup(name),
		book:    h.book,
	}
}
