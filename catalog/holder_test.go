package catalog_test

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/catalog"
	"lemonstream.dev/lemonstream/clock"
)

func version(number int64, routes ...catalog.Route) *catalog.Catalog {
	return &catalog.Catalog{
		Version: number,
		Routes:  routes,
	}
}

func to(name, service string) catalog.Route {
	return catalog.Route{
		Name:    name,
		Service: service,
	}
}

func TestMoveOfRouteIsRememberedForAWhile(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_000_000)
	holder := catalog.NewHolder(clock.Clock{
		Now: func() time.Time { return now },
	}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	holder.Offer(version(1, to("a", "s"), to("b", "s")))
	_, moved := holder.Moved("a")
	is.True(!moved)
	holder.Offer(version(3, to("a", "t"), to("b", "s"), to("c", "t")))
	from, moved := holder.Moved("a")
	is.True(moved)
	is.Equal(from, "s")
	for _, route := range []string{"b", "c", "none"} {
		_, moved = holder.Moved(route)
		is.True(!moved)
	}
	holder.Offer(version(2, to("a", "s"))) // An older version changes nothing.
	is.Equal(holder.Current().Version, int64(3))
	now = now.Add(time.Hour)
	_, moved = holder.Moved("a")
	is.True(!moved)
}
