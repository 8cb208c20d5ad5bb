package shard

import (
	"encoding/binary"
	"fmt"
	"math"
)

// Forms of an encoded set of numbers; the first byte names the form. The shortest is used: gaps for few
// numbers, ranges for numbers in a row, a bitmap for many in no order.
const (
	// formGaps is followed by the difference of each number to the one before it, less one.
	formGaps = iota

	// formRanges is followed by pairs: the difference of the first number of a range to the end of the
	// range before, and the length of the range less one.
	formRanges

	// formBits is followed by the first number, and a bit for each number from it on.
	formBits
)

// maxSetNumbers bounds the numbers of a set that is read: a few bytes may stand for very many.
const maxSetNumbers = 1 << 20

// encodeNumbers encodes whole numbers from 0 on, in rising order and each once.
func encodeNumbers(numbers []int) []byte {
	gaps := []byte{formGaps}
	ranges := []byte{formRanges}
	next := 0
	for begin := 0; begin < len(numbers); {
		end := begin + 1
		for end < len(numbers) && numbers[end] == numbers[end-1]+1 {
			end++
		}
		gap := uint64(numbers[begin] - next)
		gaps = binary.AppendUvarint(gaps, gap)
		gaps = append(gaps, make([]byte, end-begin-1)...)
		ranges = binary.AppendUvarint(ranges, gap)
		ranges = binary.AppendUvarint(ranges, uint64(end-begin-1))
		next = numbers[end-1] + 1
		begin = end
	}
	shortest := gaps
	if len(ranges) < len(shortest) {
		shortest = ranges
	}
	if len(numbers) > 0 && (numbers[len(numbers)-1]-numbers[0])/bitsPerByte+1 < len(shortest) {
		if bits := encodeBits(numbers); len(bits) < len(shortest) {
			shortest = bits
		}
	}
	return shortest
}

// encodeBits encodes a set in formBits.
func encodeBits(numbers []int) []byte {
	first := numbers[0]
	encoded := binary.AppendUvarint([]byte{formBits}, uint64(first))
	var bits bitset
	for _, number := range numbers {
		bits.add(number - first)
	}
	return append(encoded, bits...)
}

// decodeNumbers decodes what encodeNumbers has encoded.
func decodeNumbers(encoded []byte) ([]int, error) {
	if len(encoded) == 0 {
		return nil, fmt.Errorf("set of numbers: empty")
	}
	reader := numberReader{
		left: encoded[1:],
	}
	var numbers []int
	switch form := encoded[0]; form {
	case formGaps:
		for next := 0; len(reader.left) > 0 && reader.err == nil; {
			number := next + reader.next()
			numbers = append(numbers, number)
			next = number + 1
		}
	case formRanges:
		for next := 0; len(reader.left) > 0 && reader.err == nil; {
			begin := next + reader.next()
			length := reader.next() + 1
			if reader.err != nil || length > maxSetNumbers-len(numbers) {
				return nil, fmt.Errorf("set of numbers: a range is cut off or too long")
			}
			for i := range length {
				numbers = append(numbers, begin+i)
			}
			next = begin + length
		}
	case formBits:
		first := reader.next()
		for i := range len(reader.left) * bitsPerByte {
			if bitset(reader.left).has(i) {
				numbers = append(numbers, first+i)
			}
		}
	default:
		return nil, fmt.Errorf("set of numbers: unknown form %d", form)
	}
	if reader.err != nil || len(numbers) > maxSetNumbers {
		return nil, fmt.Errorf("set of numbers: cut off or too long")
	}
	return numbers, nil
}

// numberReader reads whole numbers, and remembers the first that it can't read.
type numberReader struct {
	left []byte
	err  error
}

func (r *numberReader) next() int {
	number, size := binary.Uvarint(r.left)
	if size <= 0 || number > math.MaxInt32 {
		r.err = fmt.Errorf("set of numbers: cut off or too large")
		r.left = nil
		return 0
	}
	r.left = r.left[size:]
	return int(number)
}
