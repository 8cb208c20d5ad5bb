// Package prove runs the tests that show what carries a promise. Each guard of
// a promise is tried three times: on, replaced by one that always agrees, and
// on again. A guard whose absence nothing notices is not proved. The way of
// proving is that of section 3 of "Working Around the Compute Ceiling"
// (Corbenic AI, 2026), which tries each defence on, off and restored.
package prove

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"strings"
	"sync"
	"testing"

	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"
)

// seed starts every property, so that a run has the same verdict each time.
const seed = "20261202"

// ChecksVariable names the environment variable that sets how many runs a
// property gets; without it a property gets defaultChecks.
const ChecksVariable = "PROVE_CHECKS"

const (
	defaultChecks = "100"
	defaultSteps  = "100"
)

// Promises of the brief by their slugs.
const (
	AtMostOnce    = "at-most-once"
	Budget        = "budget"
	Configuration = "configuration"
	CrashLimit    = "crash-limit"
	Evacuation    = "evacuation"

	// InstanceOrders is that of the platform's rule ONE.
	InstanceOrders = "instance-orders"

	Leaving     = "leaving"
	NotRun      = "not-run"
	OnePool     = "one-pool"
	Ownership   = "ownership"
	PlannedStop = "planned-stop"
	Quota       = "quota"
	WholeAnswer = "whole-answer"
)

// recorder notes whether a property failed instead of failing a test.
type recorder struct {
	*testing.T

	failed bool
	text   strings.Builder
}

// fixed sets rapid's flags on its first call.
var fixed = sync.OnceValue(func() error {
	checks := os.Getenv(ChecksVariable)
	if checks == "" {
		checks = defaultChecks
	}
	values := map[string]string{
		"rapid.seed":       seed,
		"rapid.checks":     checks,
		"rapid.steps":      defaultSteps,
		"rapid.nofailfile": "true",
		"rapid.shrinktime": "1s",
	}
	for name, value := range values {
		if err := flag.Set(name, value); err != nil {
			return err
		}
	}
	return nil
})

// Guard tries the property with the guard on, off and on again, and prints one
// line. It fails the test unless the property holds with the guard and is
// violated without it.
func Guard(t *testing.T, promise, guard string, property func(on bool) func(*rapid.T)) {
	t.Helper()
	thrice(t, promise, guard, func(on bool) string { return try(t, property(on)) })
}

// Scenario tries one scenario with the guard on, off and on again, as Guard
// does. The scenario returns what it saw of a violation, or the empty string.
func Scenario(t *testing.T, promise, guard string, scenario func(on bool) string) {
	t.Helper()
	thrice(t, promise, guard, scenario)
}

// Property checks a property with fixed seeds.
func Property(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	fix(t)
	rapid.Check(t, property)
}

// Errorf implements rapid.TB.
func (r *recorder) Errorf(format string, args ...any) {
	r.failed = true
	fmt.Fprintf(&r.text, format+"\n", args...)
}

// Fail implements rapid.TB.
func (r *recorder) Fail() {
	r.failed = true
}

// FailNow implements rapid.TB.
func (r *recorder) FailNow() {
	r.failed = true
	runtime.Goexit()
}

// Failed implements rapid.TB.
func (r *recorder) Failed() bool {
	return r.failed
}

// Fatalf implements rapid.TB.
func (r *recorder) Fatalf(format string, args ...any) {
	r.Errorf(format, args...)
	runtime.Goexit()
}

// Helper implements rapid.TB.
func (r *recorder) Helper() {}

// Logf implements rapid.TB.
func (r *recorder) Logf(string, ...any) {}

// fix sets rapid's flags, once for all tests of a package.
func fix(t *testing.T) {
	t.Helper()
	if err := fixed(); err != nil {
		t.Fatal(err)
	}
}

// thrice runs try with the guard on, off and on again, and prints one line.
func thrice(t *testing.T, promise, guard string, try func(on bool) string) {
	t.Helper()
	seen := [3]string{try(true), try(false), try(true)}
	fmt.Printf("promise=%s guard=%s on=%s off=%s on=%s test=%s\n", promise, guard, verdict(seen[0]), verdict(seen[1]), verdict(seen[2]), t.Name())
	if seen[0] != "" || seen[1] == "" || seen[2] != "" {
		t.Errorf("guard %s of %s, on, off and on again: %q", guard, promise, seen)
	}
}

// try runs the property in a goroutine of its own, which a failure ends, and
// returns what failed.
func try(t *testing.T, property func(*rapid.T)) string {
	t.Helper()
	fix(t)
	r := &recorder{
		T: t,
	}
	var running errgroup.Group
	running.Go(func() error {
		rapid.Check(r, property)
		return nil
	})
	_ = running.Wait()
	if r.failed && r.text.Len() == 0 {
		return "failed"
	}
	return r.text.String()
}

func verdict(seen string) string {
	if seen == "" {
		return "held"
	}
	return "violated"
}
