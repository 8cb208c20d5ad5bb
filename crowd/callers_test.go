package crowd_test

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

const (
	// manyConnections and largeConnections are the crowds of heads and of bodies.
	manyConnections  = 800
	largeConnections = 400

	// stepsConnections is the crowd of bodies of many steps.
	stepsConnections = 30

	// singleMemoryMB is the memory of a machine for a single request.
	singleMemoryMB = 64

	// fewDescriptors is below the connections of a crowd.
	fewDescriptors = 400

	// ordinaryCallers hand in ordinaryJobs each, one after the other.
	ordinaryCallers = 4
	ordinaryJobs    = 8
	ordinaryPause   = 300 * time.Millisecond

	// endlessBytes is how much of what has no end is sent at once; drips follow.
	endlessBytes = 700_000
)

var small = machine{
	memoryMB:    memoryMB,
	descriptors: descriptors,
}

// lines returns header lines with names of four characters, of so many bytes at most.
func lines(most int) []byte {
	var text bytes.Buffer
	for i := 0; text.Len()+7 <= most; i++ {
		fmt.Fprintf(&text, "%04x:\r\n", i)
	}
	return text.Bytes()
}

// padded returns a job of exactly so many bytes.
func padded(size int) []byte {
	return append([]byte(smallJob), bytes.Repeat([]byte(" "), size-len(smallJob))...)
}

// emptySteps returns a job of legal size with as many steps as fit, which say nothing.
func emptySteps() []byte {
	const first, step, end = `{"spec":"x","steps":[{}`, ",{}", "]}"
	return []byte(first + strings.Repeat(step, (bodyBytes-len(first)-len(end))/len(step)) + end)
}

// chunked returns a body in chunks of 1,000 bytes, without the chunk that ends it.
func chunked(body []byte) []byte {
	var text bytes.Buffer
	for len(body) > 0 {
		part := body[:min(1000, len(body))]
		body = body[len(part):]
		fmt.Fprintf(&text, "%x\r\n%s\r\n", len(part), part)
	}
	return text.Bytes()
}

func post(number int, fields string) []byte {
	return fmt.Appendf(nil, "POST /q/%016x HTTP/1.1\r\nHost: h.example\r\n%s", 0xc0<<32|number%8, fields)
}

// same returns a script that does not depend on the connection.
func same(s script) func(int) script {
	return func(int) script { return s }
}

func (e *entry) many(s script) shape {
	return shape{
		address:     e.callers,
		connections: manyConnections,
		script:      same(s),
	}
}

func (e *entry) bodies(head, end string, body []byte) shape {
	return shape{
		address:     e.callers,
		connections: largeConnections,
		script: func(opening int) script {
			return script{
				head:  post(opening, head),
				body:  body,
				times: 1,
				end:   []byte(end),
			}
		},
	}
}

// TestUnfinishedHeadsOfShortLinesFillMemory covers heads of legal size, made of very many
// short lines, whose end never comes.
func TestUnfinishedHeadsOfShortLinesFillMemory(t *testing.T) {
	e := start(t, small)
	e.endure(e.many(script{
		head:  []byte("GET /q/00000000000000c0 HTTP/1.1\r\nHost: h.example\r\n"),
		body:  lines(headerBytes - 600),
		times: 1,
	}))
}

// TestFinishedHeadsOfShortLinesFillMemory covers such heads with an end, before bodies that
// do not come.
func TestFinishedHeadsOfShortLinesFillMemory(t *testing.T) {
	e := start(t, small)
	e.endure(e.many(script{
		head:  post(0, "Content-Length: 100\r\n"),
		body:  lines(headerBytes - 600),
		times: 1,
		end:   []byte("\r\n{"),
	}))
}

// TestSteadyHeadsOfShortLinesFillMemory covers whole requests with such heads, one after the
// other on each connection.
func TestSteadyHeadsOfShortLinesFillMemory(t *testing.T) {
	e := start(t, small)
	request := append([]byte("GET /q/00000000000000c0 HTTP/1.1\r\nHost: h.example\r\n"), lines(headerBytes-600)...)
	e.endure(e.many(script{
		body:  append(request, "\r\n"...),
		times: 20,
	}))
}

// TestOddHeaderLinesFillMemory covers lines that are no header fields, or hardly any.
func TestOddHeaderLinesFillMemory(t *testing.T) {
	e := start(t, small)
	heads := [][]byte{
		bytes.Repeat([]byte("no colon\r\n"), 1500),
		append([]byte("X: a\r\n"), bytes.Repeat([]byte(" b\r\n"), 3800)...),
		append([]byte("X: a\r\n"), bytes.Repeat([]byte("\t\r\n"), 5000)...),
		bytes.Repeat([]byte(":\r\n"), 5000),
		bytes.Repeat([]byte("a:\r\n"), 3800),
		append([]byte("X: "), bytes.Repeat([]byte("a"), 15_000)...),
		bytes.Repeat([]byte("\xff\xfe:\x80\r\n"), 2500),
		bytes.Repeat([]byte("X: caf\xc3\xa9\r\n"), 1500),
		bytes.Repeat([]byte("a:\n"), 5000),
	}
	e.endure(shape{
		address:     e.callers,
		connections: manyConnections,
		script: func(opening int) script {
			return script{
				head:  post(opening, ""),
				body:  heads[opening%len(heads)],
				times: 1,
			}
		},
	})
}

// TestRequestLineWithoutEndFillsMemory covers a first line that goes on and on.
func TestRequestLineWithoutEndFillsMemory(t *testing.T) {
	e := start(t, small)
	s := e.many(endless("GET /q/", strings.Repeat("a", 1000), endlessBytes))
	s.connections = largeConnections
	e.endure(s)
}

// endless returns a script that repeats a text without end: so many bytes at once, and slow
// drips from then on.
func endless(head, repeated string, fast int) script {
	return script{
		head:  []byte(head),
		body:  []byte(repeated),
		times: 1 << 20,
		fast:  fast,
		slow:  1,
	}
}

// TestHeadsOverTheLimitFillMemory covers heads of four times the legal size whose end never
// comes.
func TestHeadsOverTheLimitFillMemory(t *testing.T) {
	e := start(t, small)
	s := e.many(script{
		head:  post(0, ""),
		body:  lines(4 * headerBytes),
		times: 1,
	})
	s.connections = largeConnections
	e.endure(s)
}

// TestHeadsWithoutEndFillMemory covers heads that are sent as fast as they are read, far over
// the limit.
func TestHeadsWithoutEndFillMemory(t *testing.T) {
	e := start(t, small)
	s := e.many(script{
		head:  post(0, ""),
		body:  []byte("X-Field: " + strings.Repeat("a", 1000) + "\r\n"),
		times: 4_000,
	})
	s.connections = largeConnections
	e.endure(s)
}

// TestEmptyLinesWithoutEndFillMemory covers empty lines in place of a request, at the start
// of a connection and after a first request.
func TestEmptyLinesWithoutEndFillMemory(t *testing.T) {
	e := start(t, small)
	heads := []string{
		"",
		"POST /none HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n\r\n",
		"GET /none HTTP/1.1\r\nHost: h.example\r\n\r\n",
	}
	e.endure(shape{
		address:     e.callers,
		connections: manyConnections,
		script: func(opening int) script {
			return endless(heads[opening%len(heads)], strings.Repeat("\r\n", 500), endlessBytes)
		},
	})
}

// TestBodiesThatStopShortFillMemory covers bodies of the largest legal size that lack their
// last byte.
func TestBodiesThatStopShortFillMemory(t *testing.T) {
	e := start(t, small)
	body := padded(bodyBytes)
	e.endure(e.bodies(fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)), "", body[:len(body)-1]))
}

// TestChunkedBodiesThatStopShortFillMemory covers the same in chunks.
func TestChunkedBodiesThatStopShortFillMemory(t *testing.T) {
	e := start(t, small)
	e.endure(e.bodies("Transfer-Encoding: chunked\r\n\r\n", "", chunked(padded(bodyBytes-1))))
}

// TestBodiesPieceByPieceFillMemory covers bodies of the largest legal size that go on slowly
// once half of them was sent.
func TestBodiesPieceByPieceFillMemory(t *testing.T) {
	e := start(t, small)
	body := padded(bodyBytes)
	s := e.bodies("", "", nil)
	s.script = func(opening int) script {
		return script{
			head:  post(opening, fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))),
			body:  body,
			times: 1,
			fast:  bodyBytes / 2,
			slow:  100,
		}
	}
	e.endure(s)
}

// TestManyWholeBodiesFillMemory covers whole bodies of the largest legal size at once.
func TestManyWholeBodiesFillMemory(t *testing.T) {
	e := start(t, small)
	body := padded(bodyBytes)
	e.endure(e.bodies(fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)), "", body))
}

// TestBodiesOfManyStepsFillMemory covers whole bodies of legal size with as many steps as
// they can hold, each of which takes far more memory than its bytes.
func TestBodiesOfManyStepsFillMemory(t *testing.T) {
	e := start(t, small)
	body := emptySteps()
	s := e.bodies(fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)), "", body)
	s.connections = stepsConnections
	e.endure(s)
}

// TestSingleBodyOfManyStepsFillsMemory covers one such body by itself. It may be refused.
func TestSingleBodyOfManyStepsFillsMemory(t *testing.T) {
	e := start(t, machine{
		memoryMB:    singleMemoryMB,
		descriptors: descriptors,
	})
	body := emptySteps()
	e.answers([][]byte{post(0, fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))), body}, 0,
		http.StatusOK, http.StatusBadRequest, http.StatusRequestEntityTooLarge)
	e.ordinary()
	e.check()
}

// TestBodiesOverTheLimitFillMemory covers bodies that are longer than allowed, as their heads
// say or as their chunks show.
func TestBodiesOverTheLimitFillMemory(t *testing.T) {
	e := start(t, small)
	body := padded(4 * bodyBytes)
	chunks := chunked(body)
	e.endure(shape{
		address:     e.callers,
		connections: largeConnections,
		script: func(opening int) script {
			if opening%2 == 0 {
				return script{
					head:  post(opening, "Content-Length: 1000000000\r\n\r\n"),
					body:  body,
					times: 1,
				}
			}
			return script{
				head:  post(opening, "Transfer-Encoding: chunked\r\n\r\n"),
				body:  chunks,
				times: 1,
			}
		},
	})
}

// TestRequestsBehindOneFillMemory covers whole requests that are sent without waiting for an
// answer, with more and more behind them.
func TestRequestsBehindOneFillMemory(t *testing.T) {
	e := start(t, small)
	body := padded(bodyBytes)
	request := append(post(0, fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))), body...)
	e.endure(shape{
		address:     e.callers,
		connections: largeConnections,
		script: same(script{
			body:  request,
			times: 8,
		}),
	})
}

// TestSilentConnectionsUseUpDescriptors covers connections over which nothing is said.
func TestSilentConnectionsUseUpDescriptors(t *testing.T) {
	e := start(t, machine{
		memoryMB:    memoryMB,
		descriptors: fewDescriptors,
	})
	e.endure(e.many(script{}))
}

// TestSlowDripsUseUpDescriptors covers heads and bodies that come byte by byte.
func TestSlowDripsUseUpDescriptors(t *testing.T) {
	e := start(t, machine{
		memoryMB:    memoryMB,
		descriptors: fewDescriptors,
	})
	e.endure(e.drips())
}

func (e *entry) drips() shape {
	head := post(0, "Content-Length: 100000\r\nX-Field: "+strings.Repeat("a", 1000)+"\r\n\r\n")
	return shape{
		address:     e.callers,
		connections: manyConnections,
		script: func(opening int) script {
			s := script{
				head:  head,
				body:  []byte(" "),
				times: 100_000,
				slow:  1,
			}
			if opening%2 == 0 {
				s.fast = len(head)
			}
			return s
		},
	}
}

// mixed returns a part of each shape, at one listener.
func mixed(address string, connections int) []shape {
	body := padded(bodyBytes)
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	short := lines(headerBytes - 600)
	scripts := []script{
		{},
		{
			head:  post(0, ""),
			body:  short,
			times: 1,
		},
		{
			head:  post(0, "Content-Length: 100\r\n"),
			body:  short,
			times: 1,
			end:   []byte("\r\n{"),
		},
		{
			head:  post(0, length),
			body:  body[:len(body)-1],
			times: 1,
		},
		{
			head:  post(0, "Transfer-Encoding: chunked\r\n\r\n"),
			body:  chunked(body),
			times: 1,
		},
		{
			body:  append(post(0, length), body...),
			times: 4,
		},
		{
			body:  []byte("GET /q/00000000000000c0 HTTP/1.1\r\nHost: h.example\r\n\r\n"),
			times: 2_000,
		},
		endless("GET /q/", strings.Repeat("a", 1000), endlessBytes),
		endless(string(post(0, "")), strings.Repeat("a:\r\n", 100), 4*headerBytes),
		endless("", strings.Repeat("\r\n", 500), endlessBytes),
		endless(string(post(0, length)), strings.Repeat(" ", 1000), bodyBytes/2),
	}
	var shapes []shape
	for _, s := range scripts {
		shapes = append(shapes, shape{
			address:     address,
			connections: connections / len(scripts),
			script:      same(s),
		})
	}
	return shapes
}

// TestMixedCrowdFillsMemory covers all of it at once, with ordinary callers between.
func TestMixedCrowdFillsMemory(t *testing.T) {
	e := start(t, small)
	var callers errgroup.Group
	for range ordinaryCallers {
		callers.Go(func() error {
			for range ordinaryJobs {
				if err := e.await("an ordinary caller's answer", e.ordinaryOnce()); err != nil {
					return err
				}
				time.Sleep(ordinaryPause)
			}
			return nil
		})
	}
	e.endure(mixed(e.callers, manyConnections)...)
	is.New(t).NoErr(callers.Wait()) // Each of their requests was answered.
}
