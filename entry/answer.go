package entry

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"lemonstream.dev/lemonstream/burn"
)

// answer is a whole answer, or the head of one too large to hold.
type answer struct {
	status int
	header http.Header
	body   []byte

	// rest is the open remainder of a large answer, or nil.
	rest io.ReadCloser

	// length is in bytes, or -1 where it is not known.
	length int64
}

// readAnswer holds an answer that fits the buffer whole, so that a broken one
// is found before anything of it goes to the caller.
func (h *Handler) readAnswer(response *http.Response) (*answer, error) {
	head, err := io.ReadAll(io.LimitReader(response.Body, h.limits.BufferBody+1))
	if err := h.guards.Broken(err); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	result := &answer{
		status: response.StatusCode,
		header: response.Header,
		body:   head,
		length: response.ContentLength,
	}
	if int64(len(head)) > h.limits.BufferBody {
		result.rest = response.Body
		return result, nil
	}
	result.length = int64(len(head))
	return result, response.Body.Close()
}

// reply hands the answer to the caller. An answer that breaks off while it is
// streamed breaks the caller's connection, so that it can't pass for whole.
func (h *Handler) reply(w http.ResponseWriter, r *request, s *service, result *answer) {
	header := w.Header()
	dropped := connectionFields(result.header)
	for name, values := range result.header {
		if !dropped[name] {
			header[name] = values
		}
	}
	header.Set(HeaderRequestID, r.id)
	if result.length >= 0 && r.method != http.MethodHead && result.status != http.StatusNoContent && result.status != http.StatusNotModified {
		header.Set("Content-Length", strconv.FormatInt(result.length, 10))
	}
	w.WriteHeader(result.status)
	_, err := w.Write(result.body)
	if result.rest != nil {
		err = errors.Join(err, h.stream(w, result))
	}
	outcome := burn.Whole
	switch {
	case err != nil:
		outcome = burn.Unknown
	case result.status >= http.StatusInternalServerError:
		outcome = burn.Failed
	case h.clock.Now().After(r.deadline):
		outcome = burn.Late
	}
	s.count.Add(h.clock.Now(), outcome)
	if err != nil {
		h.log.Info("answer broke off", "request_id", r.id, "service", r.service, "error", err)
		panic(http.ErrAbortHandler)
	}
}

func (h *Handler) stream(w http.ResponseWriter, result *answer) error {
	defer func() { _ = result.rest.Close() }()
	limited := &limitReader{
		from: result.rest,
		left: h.limits.MaxBody - int64(len(result.body)),
	}
	_, err := io.Copy(w, limited)
	return err
}

// discard closes an answer that nobody gets.
func (r *answer) discard() {
	if r != nil && r.rest != nil {
		_ = r.rest.Close()
	}
}

// releasingBody gives the endpoint's slot back when the answer is closed.
type releasingBody struct {
	io.ReadCloser

	release func()
}

// Close implements io.Closer.
func (b *releasingBody) Close() error {
	b.release()
	return b.ReadCloser.Close()
}
