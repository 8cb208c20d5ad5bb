package standin

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"lemonstream.dev/lemonstream/store"
)

// Faults of the platform.
const (
	// FaultDown answers nothing.
	FaultDown Fault = "down"

	// FaultLate lets a write take effect after its caller gave up.
	FaultLate Fault = "late"

	// FaultLose lets a write take effect and loses its answer.
	FaultLose Fault = "lose"

	// FaultLoseOnce loses one answer and then goes away.
	FaultLoseOnce Fault = "lose-once"

	// FaultNone is the ordinary course.
	FaultNone Fault = ""

	// FaultSlow answers after a while.
	FaultSlow Fault = "slow"

	// FaultTableDown takes the table away and leaves the rest.
	FaultTableDown Fault = "table-down"
)

// slowBy is how long a slow platform takes.
const slowBy = 500 * time.Millisecond

// Fault is a way in which the platform fails.
type Fault string

// Switch holds the fault in force.
type Switch struct {
	fault atomic.Pointer[Fault]
}

var errSwitched = errors.New("switched off")

// Get returns the fault in force.
func (s *Switch) Get() Fault {
	fault := s.fault.Load()
	if fault == nil {
		return FaultNone
	}
	return *fault
}

// Set puts a fault in force.
func (s *Switch) Set(fault Fault) {
	s.fault.Store(&fault)
}

// InMemory returns a platform over table and objects that fails as the switch
// says. late receives writes that are to take effect later.
func InMemory(table *Table, faults *Switch, late *Late) store.Table {
	return store.Table{
		Read: func(_ context.Context, key string) (store.Row, error) {
			if err := faults.hit("read"); err != nil {
				return store.Row{}, err
			}
			return table.Read(key), nil
		},
		Scan: func(_ context.Context, prefix string, after int64) (store.Page, error) {
			if err := faults.hit("scan"); err != nil {
				return store.Page{}, err
			}
			return table.Scan(prefix, after), nil
		},
		Transact: func(_ context.Context, tx store.Transaction) (int64, error) {
			if err := faults.hit("transact"); err != nil {
				return 0, err
			}
			switch faults.Get() {
			case FaultLose, FaultLoseOnce:
				if faults.Get() == FaultLoseOnce {
					faults.Set(FaultNone)
				}
				_, _ = table.Transact(tx)
				return 0, unavailable("transact")
			case FaultLate:
				late.add(tx)
				return 0, unavailable("transact")
			default:
				return table.Transact(tx)
			}
		},
		Pause: func(context.Context, time.Duration) bool { return true },
	}
}

// Late holds writes that take effect later.
type Late struct {
	held []store.Transaction
}

// Apply lets the held writes take effect, oldest first.
func (l *Late) Apply(table *Table) {
	for _, tx := range l.held {
		_, _ = table.Transact(tx)
	}
	l.held = nil
}

func (l *Late) add(tx store.Transaction) {
	l.held = append(l.held, tx)
}

func (s *Switch) hit(call string) error {
	switch s.Get() {
	case FaultDown:
		return unavailable(call)
	case FaultSlow:
		time.Sleep(slowBy)
	}
	return nil
}

func unavailable(call string) error {
	return &store.UnavailableError{
		Call:  call,
		Cause: errSwitched,
	}
}
