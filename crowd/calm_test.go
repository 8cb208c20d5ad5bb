package crowd_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// idleCallers is how many ordinary callers keep their connections.
	idleCallers = 300

	// manySteps is how many steps a job may have.
	manySteps = 256

	// headParts and bodyParts are how many parts a slow caller sends, with slowPause between:
	// the head within its time limit, and the body with less than that of a quiet connection
	// between two parts.
	headParts = 8
	bodyParts = 12
	slowPause = 200 * time.Millisecond
)

// stepsJob returns a job of so many steps, of exactly so many bytes.
func stepsJob(steps, size int) []byte {
	text := []byte(`{"spec":"x","steps":[`)
	for i := range steps {
		if i > 0 {
			text = append(text, ',')
		}
		text = append(text, `{"count":1,"cpu":1,"memMb":1,"estimateMs":1}`...)
	}
	text = append(text, "]}"...)
	return append(text, bytes.Repeat([]byte(" "), size-len(text))...)
}

// filled returns a head that ends, of exactly so many bytes, filled up with lines of a length.
func filled(first string, line, size int) []byte {
	text := []byte(first + "Host: h.example\r\n")
	for i := 0; len(text)+2*line+2 <= size; i++ {
		text = append(text, fmt.Sprintf("%04x:%s\r\n", i, strings.Repeat("a", line-7))...)
	}
	last := size - 2 - len(text) - len("Last:\r\n")
	return append(text, "Last:"+strings.Repeat("a", last)+"\r\n\r\n"...)
}

// exchange sends one request over a connection of its own, in parts with a pause between two;
// status 0 means no answer.
func exchange(address string, parts [][]byte, pause time.Duration) int {
	conn, err := net.DialTimeout("tcp4", address, tryTimeout)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	for i, part := range parts {
		if i > 0 {
			time.Sleep(pause)
		}
		_ = conn.SetDeadline(time.Now().Add(tryTimeout))
		if _, err := conn.Write(part); err != nil {
			return 0
		}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// split cuts a text into so many parts.
func split(text []byte, parts int) [][]byte {
	var list [][]byte
	for i := range parts {
		list = append(list, text[i*len(text)/parts:(i+1)*len(text)/parts])
	}
	return list
}

// acceptedJob hands a job in and returns its path.
func (e *entry) acceptedJob() string {
	e.t.Helper()
	const path = "/q/00000000000000d0"
	e.until("a job", func() bool { return e.try(http.MethodPost, e.callers, path, smallJob, nil) == http.StatusOK })
	return path
}

// answers waits until a request is answered with one of the statuses.
func (e *entry) answers(parts [][]byte, pause time.Duration, statuses ...int) {
	e.t.Helper()
	e.until(fmt.Sprintf("%.40q with %v", parts[0], statuses), func() bool {
		got := exchange(e.callers, parts, pause)
		for _, status := range statuses {
			if got == status {
				return true
			}
		}
		return false
	})
}

// TestHeadAtTheLimitIsServed covers heads just within the limit, of long lines and of short
// ones.
func TestHeadAtTheLimitIsServed(t *testing.T) {
	e := start(t, small)
	path := "GET " + e.acceptedJob() + " HTTP/1.1\r\n"
	for _, line := range []int{7, 40, 1000, 8000} {
		e.answers([][]byte{filled(path, line, headerBytes-1)}, 0, http.StatusOK)
	}
	e.check()
}

// TestBodyAtTheLimitIsServed covers jobs of the largest legal size: whole, in chunks, slow,
// and with as many steps as the limit allows.
func TestBodyAtTheLimitIsServed(t *testing.T) {
	e := start(t, small)
	body := stepsJob(manySteps, bodyBytes)
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	ended := append(chunked(body), "0\r\n\r\n"...)
	head := filled("POST /q/00000000000000d2 HTTP/1.1\r\n", 7, headerBytes-1-len(length))
	head = append(head[:len(head)-2], length...)
	e.answers([][]byte{post(0, length), body}, 0, http.StatusOK)
	e.answers([][]byte{post(1, "Transfer-Encoding: chunked\r\n\r\n"), ended}, 0, http.StatusOK)
	e.answers(append([][]byte{post(2, length)}, split(body, bodyParts)...), slowPause, http.StatusOK)
	e.answers(append(split(head, headParts), split(body, bodyParts)...), slowPause, http.StatusOK)
	// A job may have fewer steps than a body holds, so that this one may be refused.
	most := stepsJob(bodyBytes/len(`{"count":1,"cpu":1,"memMb":1,"estimateMs":1},`)-1, bodyBytes)
	e.answers([][]byte{post(3, length), most}, 0, http.StatusOK, http.StatusBadRequest, http.StatusRequestEntityTooLarge)
	e.check()
}

// TestIdleCallersAreServed covers some hundred ordinary callers that keep their connections
// between two requests.
func TestIdleCallersAreServed(t *testing.T) {
	is := is.New(t)
	e := start(t, small)
	path := e.acceptedJob()
	var callers []*http.Client
	for range idleCallers {
		transport := &http.Transport{}
		t.Cleanup(transport.CloseIdleConnections)
		callers = append(callers, &http.Client{
			Transport: transport,
			Timeout:   tryTimeout,
		})
	}
	for range 2 {
		for _, caller := range callers {
			e.until("an idle caller's answer", func() bool {
				request, err := http.NewRequest(http.MethodGet, "http://"+e.callers+path, nil)
				is.NoErr(err)
				request.Host = "h.example"
				response, err := caller.Do(request)
				if err != nil {
					return false
				}
				_, err = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				return err == nil && response.StatusCode == http.StatusOK
			})
		}
	}
	e.check()
}
