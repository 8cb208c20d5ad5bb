package soak_test

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// readyPolls is how often a stopping entry is asked; an answer that is good by
// chance half of the time is found for sure.
const readyPolls = 40

// TestStoppingEntryIsNeverReady covers the balancer, which takes an entry back in
// at the first good answer: all of those after the first bad one must be bad.
func TestStoppingEntryIsNeverReady(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	e := d.entries[0]
	await := func(want int) {
		t.Helper()
		for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			if status, _ := call(http.MethodGet, e.ready, "/ready", ""); status == want {
				return
			}
		}
		t.Fatalf("readiness is not %d", want)
	}
	await(http.StatusOK)
	is.NoErr(e.command.Process.Signal(syscall.SIGTERM))
	await(http.StatusServiceUnavailable)
	for i := 0; i < readyPolls; i++ {
		status, _ := call(http.MethodGet, e.ready, "/ready", "")
		is.True(status != http.StatusOK)
	}
}
