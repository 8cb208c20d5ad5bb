package conns

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// drainBytes is how much net/http reads of a body that its handler left.
const drainBytes = 256 << 10

// heldBody is the body of a request.
type heldBody struct {
	io.ReadCloser
	conn   *heldConn
	answer http.ResponseWriter

	// limit is in bytes; 0 stands for no limit.
	limit int64

	// mu is held while the body is read: a transport may still read it when the handler ends.
	mu   sync.Mutex
	read int64

	// over is the error that ended the body; nil before.
	over error
}

// Read implements io.Reader. It returns a *http.MaxBytesError for a body over its limit.
func (b *heldBody) Read(into []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.over != nil {
		return 0, b.over
	}
	b.conn.await(true)
	n, err := b.ReadCloser.Read(into)
	b.conn.await(false)
	b.read += int64(n)
	if b.limit > 0 && b.read > b.limit {
		b.conn.bound.note(reasonBodyBytes)
		b.answer.Header().Set("Connection", "close")
		n -= int(b.read - b.limit)
		err = &http.MaxBytesError{
			Limit: b.limit,
		}
	}
	b.over = err
	return n, err
}

// drain reads what the handler left of a body, as net/http would: meanwhile the connection may be
// closed to make room. After that nothing of the body can be read.
func (b *heldBody) drain(w http.ResponseWriter, r *http.Request) {
	b.conn.discard()
	defer b.end()
	// net/http asks a caller that expects it for the body, once that is read.
	if r.Header.Get("Expect") != "" || b.isOver() {
		return
	}
	if w.Header().Get("Connection") != "close" {
		// Its error is that of the body, which the next read finds as well.
		_, _ = io.CopyN(io.Discard, b, drainBytes)
		return
	}
	control := http.NewResponseController(w)
	// These fail only at a connection that is closed, or whose caller has left.
	_ = control.Flush()
	_ = control.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, b, lingerBytes)
}

// end has every further read fail.
func (b *heldBody) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.over = http.ErrBodyReadAfterClose
}

// isOver reports whether nothing of the body is left to read. It lifts the limit of one that
// passed it.
func (b *heldBody) isOver() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	var large *http.MaxBytesError
	if errors.As(b.over, &large) {
		b.over = nil
	}
	b.limit = 0
	return b.over != nil
}

// wrap returns a handler whose requests the bound knows of.
func (b *Bound) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, held := r.Context().Value(heldKey{}).(*heldConn)
		if !held {
			next.ServeHTTP(w, r)
			return
		}
		c.begin()
		if r.Body == nil || r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		body := &heldBody{
			ReadCloser: r.Body,
			conn:       c,
			answer:     w,
			limit:      b.bodyLimit(),
		}
		if body.limit > 0 && r.ContentLength > body.limit {
			b.note(reasonBodyBytes)
			refuseBody(w)
		} else {
			r.Body = body
			next.ServeHTTP(w, r)
		}
		body.drain(w, r)
	})
}

// refuseBody answers a request whose body is over its limit.
func refuseBody(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusRequestEntityTooLarge)
}
