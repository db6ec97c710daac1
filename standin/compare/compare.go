// Package compare tests whether two variants of a policy differ, by days that were run with
// both and the same random draws. Days differ far more from each other than variants do, so
// that only differences between runs of the same day are used: a paired comparison.
package compare

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
	"gonum.org/v1/gonum/stat/distuv"
)

// Run is one day run with one variant of a policy.
type Run struct {
	EntryID   string // of the journal
	Site      string
	Day       string // its name and a digest of its content
	Seed      int64
	SmallTwin bool // the deployment was a small twin of the site's
	Figures   []Figure
}

// Figure is one measured number of a run.
type Figure struct {
	Name  string
	Value float64
}

// key identifies runs that can be compared: it is the same for both.
type key struct {
	site, day string
	seed      int64
	small     bool
}

func (r *Run) key() key { return key{r.Site, r.Day, r.Seed, r.SmallTwin} }

// Pair is one day run with both variants.
type Pair struct{ Before, After Run }

// MatchPairs pairs runs with the same site, day, seed and size in the order in which they are
// given, and counts the runs without a counterpart.
func MatchPairs(before, after []Run) (pairs []Pair, unpaired int) {
	unmatched := map[key][]Run{}
	for _, r := range before {
		unmatched[r.key()] = append(unmatched[r.key()], r)
	}
	for _, r := range after {
		all := unmatched[r.key()]
		if len(all) == 0 {
			unpaired++
			continue
		}
		pairs, unmatched[r.key()] = append(pairs, Pair{all[0], r}), all[1:]
	}
	for _, all := range unmatched {
		unpaired += len(all)
	}
	return pairs, unpaired
}

// Verdict is the result of comparing one figure: which variant has the higher value, if any.
type Verdict string

// Verdicts on the variant after, against the one before.
const (
	NoDifference Verdict = "no difference"
	Higher       Verdict = "higher"
	Lower        Verdict = "lower"
	TooFew       Verdict = "too few pairs"
)

// confidence is the level of confidence, required for a verdict, that a difference is not due
// to the random draws alone.
const confidence = 0.95

// minPairs is the number of pairs that a verdict needs: two say nothing about their spread.
const minPairs = 3

// Row is the difference in one figure on one deployment: after minus before.
type Row struct {
	Site            string  `json:"site"`
	Figure          string  `json:"figure"`
	Pairs           int     `json:"pairs"`
	MeanBefore      float64 `json:"before"`
	MeanDifference  float64 `json:"difference"`
	Error           float64 `json:"standard_error"`
	ConfidenceBound float64 `json:"bound"` // half width of the confidence interval: a larger difference is significant
	Verdict         Verdict `json:"verdict"`
}

// AllSites is the site of the rows over all deployments.
const AllSites = "all"

// ErrNoPairs means that no day was run with both variants.
var ErrNoPairs = eris.New("no day was run with both variants")

// Compare returns the rows for each deployment, in the order of their names, and over all of
// them if there are several. Without pairs it returns ErrNoPairs.
func Compare(pairs []Pair) ([]Row, error) {
	if len(pairs) == 0 {
		return nil, ErrNoPairs
	}
	bySite := map[string][]Pair{}
	for _, p := range pairs {
		bySite[p.Before.Site] = append(bySite[p.Before.Site], p)
	}
	sites := make([]string, 0, len(bySite)+1)
	for s := range bySite {
		sites = append(sites, s)
	}
	slices.Sort(sites)
	if len(sites) > 1 {
		bySite[AllSites] = pairs
		sites = append(sites, AllSites)
	}
	var rows []Row
	for _, s := range sites {
		rows = append(rows, compareFigures(s, bySite[s])...)
	}
	return rows, nil
}

// compareFigures compares every figure that both runs of at least one pair have.
func compareFigures(site string, pairs []Pair) []Row {
	differences, beforeSums := map[string][]float64{}, map[string]float64{}
	var names []string
	for _, p := range pairs {
		after := map[string]float64{}
		for _, f := range p.After.Figures {
			after[f.Name] = f.Value
		}
		for _, f := range p.Before.Figures {
			value, ok := after[f.Name]
			if !ok {
				continue
			}
			if differences[f.Name] == nil {
				names = append(names, f.Name)
			}
			differences[f.Name] = append(differences[f.Name], value-f.Value)
			beforeSums[f.Name] += f.Value
		}
	}
	rows := make([]Row, len(names))
	for i, name := range names {
		rows[i] = newRow(differences[name])
		rows[i].Site, rows[i].Figure, rows[i].MeanBefore = site, name, beforeSums[name]/float64(len(differences[name]))
	}
	return rows
}

// newRow returns the mean of differences and whether it is significant by a paired t-test.
func newRow(differences []float64) Row {
	n := float64(len(differences))
	r := Row{Pairs: len(differences)}
	for _, d := range differences {
		r.MeanDifference += d / n
	}
	if len(differences) < minPairs {
		r.Verdict = TooFew
		return r
	}
	squares := 0.0
	for _, d := range differences {
		squares += (d - r.MeanDifference) * (d - r.MeanDifference)
	}
	r.Error = math.Sqrt(squares / (n - 1) / n)
	r.ConfidenceBound = r.Error * distuv.StudentsT{Sigma: 1, Nu: n - 1}.Quantile((1+confidence)/2)
	switch {
	case math.Abs(r.MeanDifference) <= r.ConfidenceBound:
		r.Verdict = NoDifference
	case r.MeanDifference > 0:
		r.Verdict = Higher
	default:
		r.Verdict = Lower
	}
	return r
}

// SiteNames returns the deployments of runs, each once, separated by commas.
func SiteNames(runs []Run) string {
	var names []string
	for i := range runs {
		names = append(names, runs[i].Site)
	}
	slices.SortFunc(names, cmp.Compare[string])
	return strings.Join(slices.Compact(names), ", ")
}

// String returns the row as a line of a Markdown table.
func (r Row) String() string {
	return fmt.Sprintf("| %s | %s | %d | %.4f | %+.4f | %.4f | %s |", r.Site, r.Figure, r.Pairs, r.MeanBefore, r.MeanDifference, r.Error, r.Verdict)
}

// TableHead is the head of a Markdown table of rows.
const TableHead = "| site | figure | pairs | before | difference | standard error | verdict |\n| --- | --- | --- | --- | --- | --- | --- |"
