package owner

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"lemonstream.dev/lemonstream/outside"
)

// encodeUsed returns the row of a worker that may run tasks: its address and, where the worker reports it,
// when its incarnation began, in milliseconds since 1970.
func encodeUsed(worker outside.WorkerRef) []byte {
	if worker.Born.IsZero() {
		return []byte(worker.Address.String())
	}
	return []byte(worker.Address.String() + " " + strconv.FormatInt(worker.Born.UnixMilli(), 10))
}

// decodeUsed decodes the row of a worker. Rows of earlier versions hold the address only.
func decodeUsed(id string, value []byte) (outside.WorkerRef, error) {
	text, born, hasBorn := strings.Cut(string(value), " ")
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return outside.WorkerRef{}, fmt.Errorf("address of worker %s: %w", id, err)
	}
	worker := outside.WorkerRef{
		ID:      id,
		Address: address,
	}
	if !hasBorn {
		return worker, nil
	}
	ms, err := strconv.ParseInt(born, 10, 64)
	if err != nil {
		return outside.WorkerRef{}, fmt.Errorf("start of worker %s: %w", id, err)
	}
	worker.Born = time.UnixMilli(ms)
	return worker, nil
}
