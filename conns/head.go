package conns

import "bytes"

// head measures the head of a request while it arrives: the request line and the header, up to
// and with the empty line that ends them.
type head struct {
	bytes int
	lines int

	// inLine is how many bytes of the current line have arrived, without its end; onlyReturn says
	// that they are one carriage return.
	inLine     int
	onlyReturn bool

	// whole says that the empty line has arrived: what follows belongs to the body.
	whole bool
}

// add takes in bytes as they arrive. Those after the head do not count.
func (h *head) add(arrived []byte) {
	for !h.whole && len(arrived) > 0 {
		end := bytes.IndexByte(arrived, '\n')
		if end < 0 {
			h.extend(arrived)
			h.bytes += len(arrived)
			return
		}
		h.extend(arrived[:end])
		h.bytes += end + 1
		h.lines++
		// An empty line before the request line ends no head.
		h.whole = h.lines > 1 && (h.inLine == 0 || h.onlyReturn)
		h.inLine = 0
		h.onlyReturn = false
		arrived = arrived[end+1:]
	}
}

// extend takes in bytes of the current line.
func (h *head) extend(part []byte) {
	if len(part) == 0 {
		return
	}
	h.onlyReturn = h.inLine == 0 && len(part) == 1 && part[0] == '\r'
	h.inLine += len(part)
}
