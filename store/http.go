package store

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
)

const (
	// PathInstances is the list of instances.
	PathInstances = "/instances"

	// PathObjects is the prefix of objects.
	PathObjects = "/objects/"

	// PathRead reads one row.
	PathRead = "/table/row"

	// PathScan scans rows.
	PathScan = "/table/scan"

	// PathTransact applies a transaction.
	PathTransact = "/table/transact"
)

// maxAnswerBytes bounds what is read of one answer of the platform.
const maxAnswerBytes = 64 << 20

// ConflictAnswer is the body of a 409 to a transaction.
type ConflictAnswer struct {
	Key  string `json:"key"`
	Want int64  `json:"want"`
	Have int64  `json:"have"`
	Op   string `json:"op"`
}

// TransactAnswer is the body of a transaction that took effect.
type TransactAnswer struct {
	Revision int64 `json:"revision"`
}

// httpAdapter speaks to a platform over HTTP with JSON bodies.
type httpAdapter struct {
	base   string
	client *http.Client

	// bytes counts what went over the connections, both ways.
	bytes atomic.Int64

	// listMu guards the list kept for conditional reads.
	listMu   sync.Mutex
	listTag  string
	listLast []Listed
}

// countingConn adds the bytes of a connection to a counter.
type countingConn struct {
	net.Conn

	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// NewHTTP returns the platform that answers at address. Every call is bounded
// by CallTimeout.
func NewHTTP(address netip.AddrPort) Platform {
	a := &httpAdapter{
		base: "http://" + address.String(),
	}
	dialer := &net.Dialer{
		Timeout: CallTimeout,
	}
	a.client = &http.Client{
		Timeout: CallTimeout,
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dialer.DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return &countingConn{
					Conn:  conn,
					bytes: &a.bytes,
				}, nil
			},
			DisableCompression:  true,
			MaxIdleConnsPerHost: 4,
			MaxConnsPerHost:     8,
		},
	}
	return Platform{
		Table: Table{
			Read:     a.read,
			Scan:     a.scan,
			Transact: a.transact,
		},
		Objects: Objects{
			Get: a.getObject,
			Put: a.putObject,
		},
		Instances: Instances{
			List:   a.list,
			Reboot: a.reboot,
		},
		Tasks: Tasks{
			Checkpoint: a.checkpointTask,
			List:       a.listTasks,
			Renew:      a.renewTasks,
			Start:      a.startTask,
			Stop:       a.stopTask,
		},
		Bytes: a.bytes.Load,
	}
}

func (a *httpAdapter) call(ctx context.Context, method, path string, body []byte, tag string) (int, []byte, http.Header, error) {
	name := method + " " + path
	request, err := http.NewRequestWithContext(ctx, method, a.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, fmt.Errorf("building %s: %w", name, err)
	}
	if tag != "" {
		request.Header.Set("If-None-Match", tag)
	}
	response, err := a.client.Do(request)
	if err != nil {
		return 0, nil, nil, &UnavailableError{
			Call:  name,
			Cause: err,
		}
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return 0, nil, nil, &UnavailableError{
			Call:  name,
			Cause: err,
		}
	}
	return response.StatusCode, answer, response.Header, statusError(name, response.StatusCode, answer)
}

func (a *httpAdapter) getObject(ctx context.Context, key string) ([]byte, error) {
	_, body, _, err := a.call(ctx, http.MethodGet, PathObjects+url.PathEscape(key), nil, "")
	return body, err
}

func (a *httpAdapter) list(ctx context.Context) ([]Listed, error) {
	a.listMu.Lock()
	defer a.listMu.Unlock()
	status, body, header, err := a.call(ctx, http.MethodGet, PathInstances, nil, a.listTag)
	if err != nil {
		return nil, err
	}
	if status == http.StatusNotModified {
		return a.listLast, nil
	}
	var listed []Listed
	if err := json.Unmarshal(body, &listed); err != nil {
		return nil, fmt.Errorf("decoding the list of instances: %w", err)
	}
	a.listTag = header.Get("ETag")
	a.listLast = listed
	return listed, nil
}

func (a *httpAdapter) putObject(ctx context.Context, key string, body []byte) error {
	_, _, _, err := a.call(ctx, http.MethodPut, PathObjects+url.PathEscape(key), body, "")
	return err
}

func (a *httpAdapter) read(ctx context.Context, key string) (Row, error) {
	var row Row
	_, body, _, err := a.call(ctx, http.MethodGet, PathRead+"?key="+url.QueryEscape(key), nil, "")
	if err != nil {
		return row, err
	}
	if err := json.Unmarshal(body, &row); err != nil {
		return row, fmt.Errorf("decoding row %s: %w", key, err)
	}
	return row, nil
}

func (a *httpAdapter) reboot(ctx context.Context, id, op string) error {
	path := PathInstances + "/" + url.PathEscape(id) + "/reboot?op=" + url.QueryEscape(op)
	_, _, _, err := a.call(ctx, http.MethodPost, path, nil, "")
	return err
}

func (a *httpAdapter) scan(ctx context.Context, prefix string, after int64) (Page, error) {
	var page Page
	path := PathScan + "?prefix=" + url.QueryEscape(prefix) + "&after=" + strconv.FormatInt(after, 10)
	_, body, _, err := a.call(ctx, http.MethodGet, path, nil, "")
	if err != nil {
		return page, err
	}
	if err := json.Unmarshal(body, &page); err != nil {
		return page, fmt.Errorf("decoding scan of %s: %w", prefix, err)
	}
	return page, nil
}

func (a *httpAdapter) transact(ctx context.Context, tx Transaction) (int64, error) {
	body, err := json.Marshal(tx)
	if err != nil {
		return 0, fmt.Errorf("encoding transaction %s: %w", tx.Op, err)
	}
	_, answer, _, err := a.call(ctx, http.MethodPost, PathTransact, body, "")
	if err != nil {
		return 0, err
	}
	var applied TransactAnswer
	if err := json.Unmarshal(answer, &applied); err != nil {
		return 0, fmt.Errorf("decoding answer to transaction %s: %w", tx.Op, err)
	}
	return applied.Revision, nil
}

// statusError turns an answer's status into a typed error. A 5xx leaves the
// outcome of a write open.
func statusError(call string, status int, body []byte) error {
	switch {
	case status < http.StatusBadRequest:
		return nil
	case status == http.StatusNotFound:
		return &NotFoundError{
			Key: call,
		}
	case status == http.StatusConflict:
		var conflict ConflictAnswer
		if err := json.Unmarshal(body, &conflict); err != nil {
			return fmt.Errorf("decoding conflict of %s: %w", call, err)
		}
		return &ConflictError{
			Key:  conflict.Key,
			Want: conflict.Want,
			Have: conflict.Have,
			Op:   conflict.Op,
		}
	case status < http.StatusInternalServerError:
		return &RefusedError{
			Call:   call,
			Reason: string(body),
		}
	default:
		return &UnavailableError{
			Call: call,
			Cause: &RefusedError{
				Call:   call,
				Reason: http.StatusText(status),
			},
		}
	}
}
