package shard

import "math/bits"

// bitset is a set of small numbers, one bit each, in the form in which rows hold it. Numbers beyond
// its end are not in the set.
type bitset []byte

const bitsPerByte = 8

func (b bitset) has(number int) bool {
	return number/bitsPerByte < len(b) && b[number/bitsPerByte]&(1<<(number%bitsPerByte)) != 0
}

// add adds a number, and grows the set if needed.
func (b *bitset) add(number int) {
	for len(*b) <= number/bitsPerByte {
		*b = append(*b, 0)
	}
	(*b)[number/bitsPerByte] |= 1 << (number % bitsPerByte)
}

// addRange adds the numbers from first to before last.
func (b *bitset) addRange(first, last int) {
	for number := first; number < last; number++ {
		b.add(number)
	}
}

// countFrom returns how many numbers of at least first are in the set.
func (b bitset) countFrom(first int) int {
	count := 0
	for i := first / bitsPerByte; i < len(b); i++ {
		one := b[i]
		if i == first/bitsPerByte {
			one &= 0xff << (first % bitsPerByte)
		}
		count += bits.OnesCount8(one)
	}
	return count
}
