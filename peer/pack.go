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
	// minPackSize is the minimum size in bytes of a value that is compressed. The values above
	// it are configurations, which all entries request at the same moment after a change.
	minPackSize = 1024

	// maxPackedValues is the maximum number of cached compressed values.
	maxPackedValues = 16

	// maxUnpackedSize is the maximum size in bytes of a decompressed value. Rows of the store
	// are smaller.
	maxUnpackedSize = MaxBody
)

// packed caches compressed values, since many entries request the same ones.
type packed struct {
	mu     sync.Mutex
	values map[packedKey][]byte
}

// packedKey identifies one version of a row.
type packedKey struct {
	key     outside.Key
	version int64
}

// get returns the compressed value of a row, from the cache if possible.
func (p *packed) get(row outside.Row) ([]byte, error) {
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
	if p.values == nil || len(p.values) >= maxPackedValues {
		p.values = make(map[packedKey][]byte)
	}
	p.values[key] = value
	return value, nil
}

func pack(value []byte) ([]byte, error) {
	var buf bytes.Buffer
	writer, err := flate.NewWriter(&buf, flate.DefaultCompression)
	if err != nil {
		return nil, fmt.Errorf("compressing: %w", err)
	}
	if _, err := writer.Write(value); err != nil {
		return nil, fmt.Errorf("compressing: %w", err)
	}
	if err := writer.Close(); err != nil {
		return nil, fmt.Errorf("compressing: %w", err)
	}
	return buf.Bytes(), nil
}

// unpack decompresses a value. It fails if the value is corrupt or exceeds maxUnpackedSize.
func unpack(value []byte) ([]byte, error) {
	limited := io.LimitReader(flate.NewReader(bytes.NewReader(value)), maxUnpackedSize+1)
	data, err := io.ReadAll(limited)
	if err != nil {
		return nil, fmt.Errorf("decompressing: %w", err)
	}
	if len(data) > maxUnpackedSize {
		return nil, fmt.Errorf("decompressing: more than %d bytes", maxUnpackedSize)
	}
	return data, nil
}
