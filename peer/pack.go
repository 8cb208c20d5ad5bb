package peer

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"

	"lemonstream.dev/lemonstream/outside"
)

const (
	// packFrom is the size of a value from which it is compressed: a configuration, which
	// every entry asks for at the moment in which it changes.
	packFrom = 1024

	// packedMost bounds the values that are kept.
	packedMost = 16

	// unpackedMost bounds a value that was compressed: the store's rows are smaller.
	unpackedMost = maxBody
)

// packed holds values as they were compressed, since many ask for the same ones.
type packed struct {
	mu     sync.Mutex
	values map[packedKey][]byte
}

// packedKey is a row of one version.
type packedKey struct {
	key     outside.Key
	version int64
}

// of returns the compressed value of a row.
func (p *packed) of(row outside.Row) ([]byte, error) {
	key := packedKey{
		key:     row.Key,
		version: row.Version,
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if value, found := p.values[key]; found {
		return value, nil
	}
	value, err := pack(row.Value)
	if err != nil {
		return nil, fmt.Errorf("row %s of %s: %w", row.Key.Name, row.Key.Table, err)
	}
	if p.values == nil || len(p.values) >= packedMost {
		p.values = make(map[packedKey][]byte)
	}
	p.values[key] = value
	return value, nil
}

func pack(value []byte) ([]byte, error) {
	var into bytes.Buffer
	writer, err := flate.NewWriter(&into, flate.DefaultCompression)
	if err != nil {
		return nil, fmt.Errorf("compressing: %w", err)
	}
	if _, err := writer.Write(value); err != nil {
		return nil, fmt.Errorf("compressing: %w", err)
	}
	if err := writer.Close(); err != nil {
		return nil, fmt.Errorf("compressing: %w", err)
	}
	return into.Bytes(), nil
}

// unpack returns a compressed value. It fails where that is damaged or too large.
func unpack(value []byte) ([]byte, error) {
	limited := io.LimitReader(flate.NewReader(bytes.NewReader(value)), unpackedMost+1)
	whole, err := io.ReadAll(limited)
	if err != nil {
		return nil, fmt.Errorf("decompressing: %w", err)
	}
	if len(whole) > unpackedMost {
		return nil, fmt.Errorf("decompressing: more than %d bytes", unpackedMost)
	}
	return whole, nil
}
