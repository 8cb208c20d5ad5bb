package outside

import (
	"strconv"
	"strings"
	"time"
)

// incarnationSeparator separates the worker's id from its start time in the name of an
// incarnation.
const incarnationSeparator = "@"

// Incarnation identifies one incarnation of a worker. A worker that restarts under its id
// begins a new incarnation, which keeps no state of the previous one. Everything known about
// a worker (its sequence numbers, clock, fencing token and runs) belongs to one incarnation.
type Incarnation struct {
	// Worker is the worker's id.
	Worker string

	// Born is the start time that the worker reported; zero if unknown.
	Born time.Time
}

// ParseIncarnation parses a name that String returned. A name without a start time is a
// worker's id, as stored in rows by earlier versions.
func ParseIncarnation(name string) Incarnation {
	at := strings.LastIndex(name, incarnationSeparator)
	if at < 0 {
		return Incarnation{
			Worker: name,
		}
	}
	ms, err := strconv.ParseInt(name[at+len(incarnationSeparator):], 10, 64)
	if err != nil {
		return Incarnation{
			Worker: name,
		}
	}
	i := Incarnation{
		Worker: name[:at],
	}
	if ms != 0 {
		i.Born = time.UnixMilli(ms)
	}
	return i
}

// Same reports whether i and o may be the same incarnation: they have the same worker id, and
// their start times are equal or at least one of them is unknown.
func (i Incarnation) Same(o Incarnation) bool {
	if i.Worker != o.Worker {
		return false
	}
	return i.Born.IsZero() || o.Born.IsZero() || i.Born.Equal(o.Born)
}

// String returns the name of the incarnation in rows, messages and the log. An id that
// contains the separator gets the start time 0 if the start is unknown, so that the name can be
// parsed unambiguously.
func (i Incarnation) String() string {
	switch {
	case !i.Born.IsZero():
		return i.Worker + incarnationSeparator + strconv.FormatInt(i.Born.UnixMilli(), 10)
	case strings.Contains(i.Worker, incarnationSeparator):
		return i.Worker + incarnationSeparator + "0"
	default:
		return i.Worker
	}
}
