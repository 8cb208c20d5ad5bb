package conns_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"lemonstream.dev/lemonstream/conns"
	"lemonstream.dev/lemonstream/internal/standin"
)

const (
	// short bounds a call that is to get no answer, long one that is to get one on a
	// busy machine as well.
	short = 400 * time.Millisecond
	long  = 20 * time.Second

	// kept is how many connections are open when they go silent.
	kept = 4
)

func newClient() *conns.Client {
	return conns.NewClient(conns.Limits{
		PerAddress: 2 * kept,
		Kept:       2 * kept,
		Dial:       long,
		Idle:       long,
		Answer:     1 << 10,
	})
}

// call returns a call to a server; its target tells it from others.
func call(server *standin.SilencedServer, target string) conns.Call {
	return conns.Call{
		Method: http.MethodPost,
		To:     server.Address(),
		Target: target,
		Body:   []byte("body"),
		Within: long,
	}
}

// second returns the second form of a call.
func second(target string) *conns.Second {
	return &conns.Second{
		Target: target,
		Body:   []byte("body"),
	}
}

func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	_, _ = w.Write(append(body, r.URL.Path...))
}

func TestCallAndAnswer(t *testing.T) {
	is := is.New(t)
	server := standin.StartSilenced(http.HandlerFunc(echo), 1)
	defer server.Close()
	answer, err := newClient().Do(context.Background(), call(server, "/x"))
	is.NoErr(err)
	is.Equal(answer.Status, http.StatusOK)
	is.Equal(string(answer.Body), "body/x")
}

// TestRepeatableCallOutlivesSilence covers a call that may be made twice: its
// caller does not notice that the connection went silent.
func TestRepeatableCallOutlivesSilence(t *testing.T) {
	is := is.New(t)
	server := standin.StartSilenced(http.HandlerFunc(echo), 1)
	defer server.Close()
	client := newClient()
	_, err := client.Do(context.Background(), call(server, "/first"))
	is.NoErr(err)
	is.Equal(server.Silence(), 1)
	again := call(server, "/again")
	again.Second = second("/again")
	again.Within = 4 * time.Second
	answer, err := client.Do(context.Background(), again)
	is.NoErr(err)
	is.Equal(string(answer.Body), "body/again")
	is.True(answer.Took <= again.Within/2) // The wait for the silent one does not count.
	is.Equal(server.Used(), 1)
}

// TestSlowAnswerOfFirstTryCounts covers a server that is slow and not silent: the
// first try goes on beside the second, and its answer is taken.
func TestSlowAnswerOfFirstTryCounts(t *testing.T) {
	is := is.New(t)
	var tries atomic.Int64
	secondIn := make(chan struct{})
	ended := make(chan struct{})
	server := standin.StartSilenced(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/first" {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if tries.Add(1) == 2 {
			close(secondIn)
			<-ended
			return
		}
		<-secondIn
		_, _ = io.WriteString(w, "first try")
	}), 1)
	defer server.Close()
	client := newClient()
	_, err := client.Do(context.Background(), call(server, "/first"))
	is.NoErr(err)
	slow := call(server, "/slow")
	slow.Second = second("/slow")
	slow.Within = 4 * time.Second
	answer, err := client.Do(context.Background(), slow)
	close(ended)
	is.NoErr(err)
	is.Equal(string(answer.Body), "first try")
	is.Equal(tries.Load(), int64(2))
}

// TestCallWithEffectIsMadeOnce covers a call without an answer that may not be made
// twice: whoever ordered it decides what follows.
func TestCallWithEffectIsMadeOnce(t *testing.T) {
	is := is.New(t)
	var tries atomic.Int64
	ended := make(chan struct{})
	server := standin.StartSilenced(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/first" {
			tries.Add(1)
			<-ended
		}
	}), 1)
	defer server.Close()
	client := newClient()
	_, err := client.Do(context.Background(), call(server, "/first"))
	is.NoErr(err)
	order := call(server, "/order")
	order.Within = short
	_, err = client.Do(context.Background(), order)
	is.True(err != nil)
	close(ended)
	is.Equal(tries.Load(), int64(1))
}

// TestCallUnderWayIsLeftAlone covers a connection that is quiet since its call waits:
// it is not closed for the silence of another one.
func TestCallUnderWayIsLeftAlone(t *testing.T) {
	is := is.New(t)
	waits := make(chan struct{})
	goOn := make(chan struct{})
	server := standin.StartSilenced(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/waits" {
			close(waits)
			<-goOn
		}
		_, _ = io.WriteString(w, "done")
	}), 2)
	defer server.Close()
	client := newClient()
	ctx := context.Background()
	var warm errgroup.Group
	for range 2 {
		warm.Go(func() error {
			_, err := client.Do(ctx, call(server, "/warm"))
			return err
		})
	}
	is.NoErr(warm.Wait())
	var waiting errgroup.Group
	waiting.Go(func() error {
		_, err := client.Do(ctx, call(server, "/waits"))
		return err
	})
	<-waits
	is.Equal(server.Silence(), 2)
	lost := call(server, "/lost")
	lost.Within = short
	_, err := client.Do(ctx, lost)
	is.True(err != nil)
	server.Speak()
	close(goOn)
	is.NoErr(waiting.Wait())
}

// TestNothingIsSentTwice lets connections go silent again and again under calls
// with an effect: each arrives once at the most, and surely if it was answered.
func TestNothingIsSentTwice(t *testing.T) {
	const callers, each, silences = 8, 40, 5
	is := is.New(t)
	var mu sync.Mutex
	arrived := make(map[string]int)
	server := standin.StartSilenced(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		mu.Lock()
		arrived[r.URL.Path]++
		mu.Unlock()
	}), 1)
	defer server.Close()
	client := newClient()
	answered := make([][]string, callers)
	var group errgroup.Group
	for i := range callers {
		group.Go(func() error {
			for j := range each {
				order := call(server, fmt.Sprintf("/%d/%d", i, j))
				order.Within = short
				if j%(each/silences) == each/silences-1 && i == 0 {
					server.Silence()
				}
				if _, err := client.Do(context.Background(), order); err == nil {
					answered[i] = append(answered[i], order.Target)
				}
			}
			return nil
		})
	}
	is.NoErr(group.Wait())
	mu.Lock()
	defer mu.Unlock()
	for target, times := range arrived {
		if times != 1 {
			t.Errorf("%s arrived %d times", target, times)
		}
	}
	for _, targets := range answered {
		for _, target := range targets {
			is.Equal(arrived[target], 1)
		}
	}
	t.Logf("%d calls arrived, first answered ones: %s", len(arrived), strings.Join(answered[0][:1], " "))
}

// TestSecondTryUsesNoConnectionThatWentSilentMeanwhile covers a call that waits at
// the other side when all connections go silent, also one that had spoken after the
// call began.
func TestSecondTryUsesNoConnectionThatWentSilentMeanwhile(t *testing.T) {
	is := is.New(t)
	waits := make(chan struct{})
	ended := make(chan struct{})
	server := standin.StartSilenced(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/waits" {
			close(waits)
			<-ended
		}
		echo(w, r)
	}), 2)
	defer server.Close()
	defer close(ended)
	client := newClient()
	ctx := context.Background()
	var warm errgroup.Group
	for range 2 {
		warm.Go(func() error {
			_, err := client.Do(ctx, call(server, "/warm"))
			return err
		})
	}
	is.NoErr(warm.Wait())
	var waiting errgroup.Group
	waiting.Go(func() error {
		held := call(server, "/waits")
		held.Second = second("/second")
		held.Wait = 3 * time.Second
		held.Within = 7 * time.Second
		_, err := client.Do(ctx, held)
		return err
	})
	<-waits
	_, err := client.Do(ctx, call(server, "/meanwhile"))
	is.NoErr(err)
	is.Equal(server.Silence(), 2)
	is.NoErr(waiting.Wait())
	is.Equal(server.Used(), 0)
}

// TestSecondTriesAreBounded covers a process that takes answers in late, whatever it
// calls: further tries stay few beside the calls that are answered.
func TestSecondTriesAreBounded(t *testing.T) {
	is := is.New(t)
	const calls = 600
	var tries atomic.Int64
	release := make(chan struct{})
	var warm sync.WaitGroup
	warm.Add(calls)
	server := standin.StartSilenced(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/warm" {
			warm.Done()
			warm.Wait() // Each call has a connection of its own.
		}
		if r.URL.Path == "/again" {
			tries.Add(1)
			<-release
		}
		if r.URL.Path == "/late" {
			<-release
		}
		echo(w, r)
	}), 1)
	defer server.Close()
	defer close(release)
	client := conns.NewClient(conns.Limits{
		PerAddress: 2000,
		Kept:       2000,
		Dial:       long,
		Idle:       long,
		Answer:     1 << 20,
	})
	both := func(path string, within time.Duration) {
		var all errgroup.Group
		for range calls {
			all.Go(func() error {
				one := call(server, path)
				one.Second = second("/again")
				one.Within = within
				_, _ = client.Do(context.Background(), one)
				return nil
			})
		}
		is.NoErr(all.Wait())
	}
	both("/warm", long)
	both("/late", 2*time.Second)
	is.True(tries.Load() > 0)
	is.True(tries.Load() <= 300)
}
