package conns_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"lemonstream.dev/lemonstream/internal/standin"
)

// TestSystemBoundsUnconfirmedData covers the system's own bounds, which meet a
// connection that is silent on the wire before the call's bound does.
func TestSystemBoundsUnconfirmedData(t *testing.T) {
	is := is.New(t)
	server := standin.StartSilenced(http.HandlerFunc(echo), 1)
	defer server.Close()
	options := make(map[int]int)
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			inner, ok := info.Conn.(interface{ NetConn() net.Conn })
			is.True(ok)
			raw, err := inner.NetConn().(*net.TCPConn).SyscallConn()
			is.NoErr(err)
			is.NoErr(raw.Control(func(fd uintptr) {
				for _, option := range []int{unix.TCP_USER_TIMEOUT, unix.TCP_KEEPIDLE, unix.TCP_KEEPINTVL, unix.TCP_KEEPCNT} {
					options[option], err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option)
					is.NoErr(err)
				}
			}))
		},
	})
	_, err := newClient().Do(ctx, call(server, "/x"))
	is.NoErr(err)
	is.Equal(options, map[int]int{
		unix.TCP_USER_TIMEOUT: 500,
		unix.TCP_KEEPIDLE:     3,
		unix.TCP_KEEPINTVL:    1,
		unix.TCP_KEEPCNT:      2,
	})
}
