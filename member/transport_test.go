package member_test

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"lemonstream.dev/lemonstream/kernel"
	"lemonstream.dev/lemonstream/member"
)

func listen(t *testing.T, folder string) (*member.Transport, netip.AddrPort) {
	t.Helper()
	is := is.New(t)
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	is.NoErr(err)
	address := netip.MustParseAddrPort(socket.LocalAddr().String())
	is.NoErr(socket.Close())
	keys, err := member.LoadKeys(filepath.Join(folder, member.CertificateFile), filepath.Join(folder, member.KeyFile), filepath.Join(folder, member.AuthorityFile))
	is.NoErr(err)
	log := slog.New(slog.DiscardHandler)
	group := kernel.NewGroup(context.Background(), log)
	transport, err := member.Listen(address, keys, group, log)
	is.NoErr(err)
	transport.Handle(member.KindHello, func(_ context.Context, body []byte) ([]byte, error) { return body, nil })
	transport.Handle(member.KindReport, func(context.Context, []byte) ([]byte, error) { return nil, errors.New("no report") })
	group.Go("listener", transport.Run)
	t.Cleanup(func() {
		_ = transport.Close()
		group.Stop()
	})
	return transport, address
}

func issue(t *testing.T) string {
	t.Helper()
	folder := t.TempDir()
	if err := member.IssueKeys(folder, time.Now()); err != nil {
		t.Fatal(err)
	}
	return folder
}

func call(from *member.Transport, to netip.AddrPort, kind member.Kind, limit time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	body, err := member.Encode("hello")
	if err != nil {
		return "", err
	}
	answer, err := from.Call(ctx, to, kind, body)
	if err != nil {
		return "", err
	}
	return member.Decode[string](answer)
}

func TestPeersTalk(t *testing.T) {
	is := is.New(t)
	folder := issue(t)
	a, _ := listen(t, folder)
	_, to := listen(t, folder)
	answer, err := call(a, to, member.KindHello, 10*time.Second)
	is.NoErr(err)
	is.Equal(answer, "hello")
	_, err = call(a, to, member.KindReport, 10*time.Second)
	is.True(err != nil) // The handler's failure comes back.
	_, err = call(a, to, member.Kind(99), 10*time.Second)
	is.True(err != nil) // So does an unknown kind.
}

func TestStrangerIsNotHeard(t *testing.T) {
	is := is.New(t)
	stranger, _ := listen(t, issue(t))
	_, to := listen(t, issue(t))
	_, err := call(stranger, to, member.KindHello, 10*time.Second)
	var unreachable *member.UnreachableError
	is.True(errors.As(err, &unreachable)) // Its certificate is of another authority.
}

func TestCutInOneDirection(t *testing.T) {
	is := is.New(t)
	folder := issue(t)
	a, toA := listen(t, folder)
	b, toB := listen(t, folder)
	a.Drop = func(netip.AddrPort) bool { return true }
	_, err := call(a, toB, member.KindHello, 100*time.Millisecond)
	is.True(err != nil)
	_, err = call(b, toA, member.KindHello, 10*time.Second)
	is.NoErr(err) // The other direction still works.
}

func TestReplacedKeysAreRead(t *testing.T) {
	is := is.New(t)
	folder := issue(t)
	a, _ := listen(t, folder)
	// New keys of a new authority replace the files; both sides read them.
	is.NoErr(member.IssueKeys(folder, time.Now()))
	later := time.Now().Add(time.Hour)
	for _, name := range []string{member.AuthorityFile, member.CertificateFile, member.KeyFile} {
		is.NoErr(os.Chtimes(filepath.Join(folder, name), later, later))
	}
	_, to := listen(t, folder)
	// Within a minute the older side has read them too.
	var err error
	for begin := time.Now(); time.Since(begin) < time.Minute; time.Sleep(100 * time.Millisecond) {
		if _, err = call(a, to, member.KindHello, time.Second); err == nil {
			return
		}
	}
	t.Fatalf("keys were not read again: %v", err)
}

func FuzzEnvelope(f *testing.F) {
	good, err := member.Encode(member.Hello{
		ID: "a",
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte{0xff, 0x00})
	f.Fuzz(func(_ *testing.T, body []byte) {
		_, _ = member.Decode[member.Hello](body)
		_, _ = member.Decode[member.Rows](body)
	})
}
