package compare

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/fstest"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// journal returns the files of entries of one site and day. The keys of worths are the ids of
// entries, the values the worth for each seed.
func journal(site string, worths map[string][]float64) fstest.MapFS {
	files := fstest.MapFS{}
	for id, all := range worths {
		var days []string
		for seed, w := range all {
			days = append(days, fmt.Sprintf(`{"G": %v, "name": "quiet", "day": "d1", "seed": %d, "small_twin": null, "served": 0.9, "refused": 0, "failed": 0.1,
				"parts": [["whole day", 0.75, %v]], "prices": [["bytes", 12, 0.01]], "by_class": [0.5, null, 0.7]}`, w, seed, w/2))
		}
		files["2026-"+id+".json"] = &fstest.MapFile{Data: []byte(fmt.Sprintf(
			`{"id": %q, "head": "c-%s", "dirty": false, "policy": [{"path": "9 files", "sha256": "d-%[2]s"}], "site": %q, "edited_meanwhile": false, "days": [%s]}`, id, id, site, strings.Join(days, ",")))}
	}
	return files
}

// compareEntries compares the runs of the entry before with those of the entry after.
func compareEntries(t *testing.T, fs fstest.MapFS, before, after string) []Row {
	t.Helper()
	b, err := Read(fs, []string{before})
	assert.NilError(t, err)
	a, err := Read(fs, []string{after})
	assert.NilError(t, err)
	pairs, _ := MatchPairs(b, a)
	rows, err := Compare(pairs)
	assert.NilError(t, err)
	return rows
}

// verdict returns the verdict on a figure, "" if it has no row.
func verdict(rows []Row, figure string) Verdict {
	for _, r := range rows {
		if r.Figure == figure {
			return r.Verdict
		}
	}
	return ""
}

func TestTheSameCodeShowsNoDifference(t *testing.T) {
	rows := compareEntries(t, journal("s", map[string][]float64{"a": {0.80, 0.60, 0.70, 0.75}, "b": {0.81, 0.59, 0.69, 0.76}}), "a", "b")
	for _, figure := range []string{"worth", "served", "whole day", "class 1", "class 3", "price of bytes"} {
		assert.Equal(t, verdict(rows, figure), NoDifference, figure)
	}
	assert.Equal(t, verdict(rows, "class 2"), Verdict(""), "a class without requests has no share")
}

// Guards against a difference that is hidden because days differ more from each other than the
// variants do.
func TestAVariantThatIsBetterOnEachDayIsHigher(t *testing.T) {
	rows := compareEntries(t, journal("s", map[string][]float64{"a": {0.80, 0.40, 0.60, 0.20}, "b": {0.82, 0.43, 0.62, 0.22}}), "a", "c-b")
	assert.Equal(t, verdict(rows, "worth"), Higher)
	rows = compareEntries(t, journal("s", map[string][]float64{"a": {0.80, 0.40, 0.60, 0.20}, "b": {0.82, 0.43, 0.62, 0.22}}), "b", "a")
	assert.Equal(t, verdict(rows, "worth"), Lower)
}

func TestTwoPairsAreTooFew(t *testing.T) {
	rows := compareEntries(t, journal("s", map[string][]float64{"a": {0.8, 0.4}, "b": {0.9, 0.5}}), "a", "b")
	assert.Equal(t, verdict(rows, "worth"), TooFew)
}

// Guards against a comparison of other runs than those that were asked for.
func TestEntriesThatCannotBeComparedAreNamed(t *testing.T) {
	good := journal("s", map[string][]float64{"a": {0.8}, "b": {0.8}})
	_, err := Read(good, []string{"a", "zz"})
	assert.ErrorContains(t, err, `begins with "zz"`)
	for name, data := range map[string]string{"cut": `{"id": "d", "si`, "parts": `{"id": "d", "site": "s", "days": [{"parts": "none"}]}`, "no id": `{"site": "s"}`} {
		bad := journal("s", map[string][]float64{"a": {0.8}})
		bad["2026-x.json"] = &fstest.MapFile{Data: []byte(data)}
		_, err = Read(bad, []string{"a"})
		assert.ErrorContains(t, err, "2026-x.json is damaged", name)
	}
	running := fstest.MapFS{"e.json": &fstest.MapFile{Data: []byte(`{"id": "e", "site": null}`)}}
	_, err = Read(running, []string{"e"})
	assert.ErrorContains(t, err, "not finished")
	dirty := fstest.MapFS{"e.json": &fstest.MapFile{Data: []byte(`{"id": "e", "head": "abc", "dirty": true, "policy": [{"sha256": "123"}], "site": "s", "days": []}`)}}
	_, err = Read(dirty, []string{"abc"})
	assert.ErrorContains(t, err, `begins with "abc"`, "a run of changed sources is not one of the commit")
	_, err = Read(dirty, []string{"12"})
	assert.NilError(t, err)
	edited := fstest.MapFS{"e.json": &fstest.MapFile{Data: []byte(`{"id": "e", "site": "s", "edited_meanwhile": true}`)}}
	_, err = Read(edited, []string{"e"})
	assert.ErrorContains(t, err, "sources changed")
	a, err := Read(good, []string{"a"})
	assert.NilError(t, err)
	other, err := Read(journal("other", map[string][]float64{"b": {0.8}}), []string{"b"})
	assert.NilError(t, err)
	pairs, unpaired := MatchPairs(a, other)
	assert.Equal(t, unpaired, 2)
	_, err = Compare(pairs)
	assert.ErrorIs(t, err, ErrNoPairs)
}

// Guards against verdicts that are less or far more certain than the stated confidence: about
// one in twenty comparisons of runs that differ only by their draws shows a difference.
func TestVerdictsHaveTheStatedConfidence(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	wrong := 0
	const trials, n = 2000, 8
	for range trials {
		all := make([]float64, n)
		for i := range all {
			all[i] = rnd.NormFloat64()
		}
		if newRow(all).Verdict != NoDifference {
			wrong++
		}
	}
	assert.Assert(t, wrong > trials/40 && wrong < trials/12, "%d of %d", wrong, trials)
}

// Guards against runs that are in several pairs, and against runs that are neither paired nor
// counted as unpaired.
func TestEachRunIsPairedAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		runs := rapid.SliceOf(rapid.Custom(func(t *rapid.T) Run {
			return Run{Site: rapid.SampledFrom([]string{"s", "t"}).Draw(t, "site"), Seed: rapid.Int64Range(0, 3).Draw(t, "seed")}
		}))
		before, after := runs.Draw(t, "before"), runs.Draw(t, "after")
		pairs, unpaired := MatchPairs(before, after)
		assert.Equal(t, 2*len(pairs)+unpaired, len(before)+len(after))
		for _, p := range pairs {
			assert.Equal(t, p.Before.key(), p.After.key())
		}
	})
}

func TestThePlotHasEachDeployment(t *testing.T) {
	var w bytes.Buffer
	assert.NilError(t, Plot(&w, []Row{{Site: "taipei", Figure: "worth", MeanDifference: 0.01, ConfidenceBound: 0.02}, {Site: "other", Figure: "served"}}, "worth"))
	assert.Assert(t, strings.Contains(w.String(), "taipei") && !strings.Contains(w.String(), ">other<"))
	assert.ErrorIs(t, Plot(&w, nil, "worth"), ErrNoRows)
}
