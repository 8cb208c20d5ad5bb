package admit

import "sort"

const (
	// EvenQuota is the part of a quota that is shared evenly whatever the
	// demand. It is small, because an entry whose demand starts anew has a
	// burst to spend until it is heard (docs/design/quotas.md).
	EvenQuota = 0.05

	// EvenSlots is the part of an endpoint's slots that is shared evenly. It
	// is larger, because a request that finds no slot waits until its entry
	// is heard.
	EvenSlots = 0.25
)

// Claim is what one entry asks of a total.
type Claim struct {
	// Entry is unique among the claims.
	Entry string

	// Demand is at least 0; its unit is that of the total.
	Demand float64
}

// Share returns entry's part of a total between 0 and 1: evenPart of it evenly
// and the rest by demand. The shares of all claims add up to 1, so entries
// that know the same claims never give out more than the total.
func Share(entry string, claims []Claim, evenPart float64) float64 {
	sum := 0.0
	own := 0.0
	found := false
	for _, claim := range claims {
		sum += claim.Demand
		if claim.Entry == entry {
			own = claim.Demand
			found = true
		}
	}
	if !found {
		return 0
	}
	even := 1 / float64(len(claims))
	if sum == 0 {
		return even
	}
	return evenPart*even + (1-evenPart)*own/sum
}

// Slots divides total whole slots among the claims by their shares and
// returns entry's number. Remainders go to the largest fractions; rank breaks
// ties, and differs from endpoint to endpoint so that no entry is always last.
// The numbers of all claims add up to total.
func Slots(entry string, total int, claims []Claim, rank func(entry string) uint64) int {
	type portion struct {
		entry    string
		whole    int
		fraction float64
		rank     uint64
	}
	portions := make([]portion, 0, len(claims))
	left := total
	for _, claim := range claims {
		exact := float64(total) * Share(claim.Entry, claims, EvenSlots)
		whole := int(exact)
		left -= whole
		portions = append(portions, portion{
			entry:    claim.Entry,
			whole:    whole,
			fraction: exact - float64(whole),
			rank:     rank(claim.Entry),
		})
	}
	sort.Slice(portions, func(i, j int) bool {
		if portions[i].fraction != portions[j].fraction {
			return portions[i].fraction > portions[j].fraction
		}
		return portions[i].rank > portions[j].rank
	})
	for i, p := range portions {
		if p.entry != entry {
			continue
		}
		if i < left {
			return p.whole + 1
		}
		return p.whole
	}
	return 0
}
