package outside_test

import (
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/outside"
)

func TestOnlyRefusedConnectionIsNotDone(t *testing.T) {
	refused := &net.OpError{
		Op:  "dial",
		Err: os.NewSyscallError("connect", syscall.ECONNREFUSED),
	}
	cases := map[string]struct {
		err     error
		notDone bool
	}{
		"refused": {
			err:     fmt.Errorf("post: %w", refused),
			notDone: true,
		},
		"reset": {
			err: os.NewSyscallError("read", syscall.ECONNRESET),
		},
		"cut short": {
			err: io.ErrUnexpectedEOF,
		},
		"no answer": {
			err: os.ErrDeadlineExceeded,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			err := outside.CallError("call", c.err)
			is.Equal(outside.IsNotDone(err), c.notDone)
			is.Equal(outside.IsUncertain(err), !c.notDone)
		})
	}
}
