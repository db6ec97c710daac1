package reach

// Candidate is an upstream that a trial connection may be opened to.
type Candidate struct {
	ID         string
	Address    string
	Service    string
	DataCentre string
	Failed     bool // an exchange with it failed recently
}

// group is a set of upstreams that tend to fail together.
type group struct{ service, dataCentre string }

// Sample returns up to n of the candidates, spread over services and data centres. Those
// in first come first; after them those that did not fail: whether they can be reached is
// what the failed ones do not tell. random returns a number in [0, n).
func Sample(all []Candidate, first map[string]bool, n int, random func(n int) int) []Candidate {
	var preferred, sound, failed []Candidate
	for _, c := range shuffled(all, random) {
		switch {
		case first[c.ID]:
			preferred = append(preferred, c)
		case c.Failed:
			failed = append(failed, c)
		default:
			sound = append(sound, c)
		}
	}
	out := append(preferred, spread(sound)...)
	out = append(out, spread(failed)...)
	return out[:min(n, len(out))]
}

func shuffled(all []Candidate, random func(n int) int) []Candidate {
	out := append([]Candidate(nil), all...)
	for i := len(out) - 1; i > 0; i-- {
		j := random(i + 1)
		out[i], out[j] = out[j], out[i]
	}
	return out
}

// spread orders candidates so that each group has its next turn after all others.
func spread(all []Candidate) []Candidate {
	turns := map[group]int{}
	var rounds [][]Candidate
	for _, c := range all {
		g := group{c.Service, c.DataCentre}
		turn := turns[g]
		turns[g]++
		if turn == len(rounds) {
			rounds = append(rounds, nil)
		}
		rounds[turn] = append(rounds[turn], c)
	}
	out := make([]Candidate, 0, len(all))
	for _, r := range rounds {
		out = append(out, r...)
	}
	return out
}
