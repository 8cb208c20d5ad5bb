package carry_test

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lemonstream.dev/lemonstream/internal/prove"
	"lemonstream.dev/lemonstream/member"
)

func TestFleetKeepsItsPromises(t *testing.T) {
	prove.Property(t, func(t *rapid.T) { run(t, allGuards()) })
}

func run(t *rapid.T, g guards) {
	w := newWorld(t, g)
	t.Repeat(map[string]func(*rapid.T){
		"":          w.check,
		"act":       func(t *rapid.T) { w.pick(t).duty.Round(context.Background()) },
		"act 2":     func(t *rapid.T) { w.pick(t).duty.Round(context.Background()) },
		"answer":    w.answer,
		"confirm":   w.confirm,
		"fault":     w.fault,
		"join":      w.join,
		"lose":      w.lose,
		"propose":   w.propose,
		"refresh":   func(t *rapid.T) { w.refresh(w.pick(t)) },
		"refresh 2": func(t *rapid.T) { w.refresh(w.pick(t)) },
		"rumour":    w.rumour,
		"send":      w.send,
		"tell":      func(t *rapid.T) { w.tell(w.pick(t)) },
		"tell 2":    func(t *rapid.T) { w.tell(w.pick(t)) },
		"verb":      w.verb,
	})
}

// TestMachineGetsSomewhere keeps the state machine from proving promises of a
// fleet in which nothing ever happens.
func TestMachineGetsSomewhere(t *testing.T) {
	is := is.New(t)
	reboots := 0
	prove.Property(t, func(rt *rapid.T) {
		g := allGuards()
		quiet := g.quiet
		g.quiet = func(hold member.Hold, told bool, version int64) bool {
			if quiet(hold, told, version) {
				reboots++
				return true
			}
			return false
		}
		run(rt, g)
	})
	t.Logf("%d words let an instance go", reboots)
	is.True(reboots > 100) // Words that let an instance go.
}
