package admit

import "sort"

const (
	// EvenQuota is the fraction of a quota that is divided evenly, regardless of
	// demand. It is small because an entry with new demand can spend its burst
	// until the other entries learn of the demand (docs/design/quotas.md).
	EvenQuota = 0.05

	// EvenSlots is the fraction of an endpoint's slots that is divided evenly. It
	// is larger than EvenQuota because a request without a slot waits until the
	// other entries learn of the demand at its entry.
	EvenSlots = 0.25
)

// Claim is the demand of one entry for its share of a total.
type Claim struct {
	// Entry is unique among the claims.
	Entry string

	// Demand is at least 0; its unit is that of the total.
	Demand float64
}

// Share returns the entry's fraction of a total, between 0 and 1. The fraction
// evenPart of the total is divided evenly, the rest by demand. An entry without a
// claim gets 0. The shares of all claims add up to 1, so entries that know the same
// claims never give out more than the total.
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

// Slots divides total slots among the claims by their shares and returns the number
// of the given entry. Slots left after rounding down go to the largest fractions. The
// higher rank wins a tie; ranks differ from endpoint to endpoint, so that no entry is
// always last. The numbers of all claims add up to total.
func Slots(entry string, total int, claims []Claim, rank func(entry string) uint64) int {
	type portion struct {
		entry    string
		whole    int
		fraction float64
		rank     uint64
	}
	portions := make([]portion, 0, len(claims))
	remaining := total
	for _, claim := range claims {
		exact := float64(total) * Share(claim.Entry, claims, EvenSlots)
		whole := int(exact)
		remaining -= whole
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
		if i < remaining {
			return p.whole + 1
		}
		return p.whole
	}
	return 0
}
