package entry

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"

	"lemonstream.dev/lemonstream/forward"
)

// streamBody is the rest of a body too large to hold.
type streamBody struct {
	rest   io.Reader
	length int64
}

// tooLargeError reports a body above the limit.
type tooLargeError struct {
	// limit is in bytes.
	limit int64
}

// Error implements error.
func (e *tooLargeError) Error() string {
	return "body is too large"
}

// connectionFields returns the header fields that belong to one connection.
func connectionFields(header http.Header) map[string]bool {
	fields := map[string]bool{
		"Connection":          true,
		"Keep-Alive":          true,
		"Proxy-Authenticate":  true,
		"Proxy-Authorization": true,
		"Proxy-Connection":    true,
		"Te":                  true,
		"Trailer":             true,
		"Transfer-Encoding":   true,
		"Upgrade":             true,
	}
	for _, value := range header.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			fields[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return fields
}

// readBody holds the body when it has at most hold bytes, and otherwise leaves
// the rest to be streamed. A body above most is refused.
func (r *request) readBody(from *http.Request, hold, most int64) error {
	if from.ContentLength > most {
		return &tooLargeError{
			limit: most,
		}
	}
	limited := &limitReader{
		from: from.Body,
		left: most,
	}
	head, err := io.ReadAll(io.LimitReader(limited, hold+1))
	if err != nil {
		return err
	}
	r.body = head
	if int64(len(head)) > hold {
		r.stream = &streamBody{
			rest:   limited,
			length: from.ContentLength,
		}
	}
	return nil
}

// repeatable reports whether the request may be sent again after it may have
// reached an endpoint.
func (r *request) repeatable() bool {
	return !r.unrepeatable && r.stream == nil
}

// outgoing returns the body of one attempt.
func (r *request) outgoing() forward.Body {
	if r.stream == nil {
		return forward.Body{
			Reader: bytes.NewReader(r.body),
			Length: int64(len(r.body)),
		}
	}
	return forward.Body{
		Reader: io.MultiReader(bytes.NewReader(r.body), r.stream.rest),
		Length: r.stream.length,
	}
}

// limitReader fails once more than left bytes were read.
type limitReader struct {
	from io.Reader
	left int64
}

// Read implements io.Reader.
func (l *limitReader) Read(p []byte) (int, error) {
	n, err := l.from.Read(p)
	l.left -= int64(n)
	if l.left < 0 {
		return n, &tooLargeError{}
	}
	return n, err
}

// isTooLarge reports whether err says that a body is above its limit.
func isTooLarge(err error) bool {
	var large *tooLargeError
	return errors.As(err, &large)
}
