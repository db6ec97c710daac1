package compare

import (
	"encoding/json"
	"fmt"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// entry is one file of the journal, with the fields that a comparison uses.
type entry struct {
	ID      string      `json:"id"`
	Head    string      `json:"head"`  // commit
	Dirty   bool        `json:"dirty"` // its sources differed from those of the commit
	Sources []sourceSet `json:"policy"`
	Edited  bool        `json:"edited_meanwhile"`
	Site    string      `json:"site"` // "": the run has not finished
	Days    []entryDay  `json:"days"`
}

// sourceSet are files with the policy that an entry ran.
type sourceSet struct {
	Digest string `json:"sha256"`
}

// matches reports whether a name is a prefix of the entry's id, of the commit whose sources
// it ran, or of a digest of its sources.
func (e *entry) matches(name string) bool {
	if strings.HasPrefix(e.ID, name) || !e.Dirty && strings.HasPrefix(e.Head, name) {
		return true
	}
	for _, s := range e.Sources {
		if strings.HasPrefix(s.Digest, name) {
			return true
		}
	}
	return false
}

// entryDay is one day of an entry.
type entryDay struct {
	Worth   float64     `json:"G"`
	Name    string      `json:"name"`
	Day     string      `json:"day"`
	Seed    int64       `json:"seed"`
	Small   *bool       `json:"small_twin"`
	Served  float64     `json:"served"`
	Refused float64     `json:"refused"`
	Failed  float64     `json:"failed"`
	Parts   []namedPart `json:"parts"`
	Prices  []namedPart `json:"prices"`
	ByClass []*float64  `json:"by_class"`
}

// namedPart is a name and a value. In the journal it is an array of the name, an amount,
// which is not kept, and the value.
type namedPart struct {
	Name  string
	Value float64
}

// UnmarshalJSON implements json.Unmarshaler.
func (n *namedPart) UnmarshalJSON(data []byte) error {
	var amount float64
	return json.Unmarshal(data, &[]any{&n.Name, &amount, &n.Value})
}

// Read returns the runs of the journal's entries that match one of the names, in the order of
// the file names. An entry that was interrupted has no days and so adds no runs. A name
// without an entry, a damaged file, an unfinished entry named by its id, and an entry whose
// sources changed while it ran are errors.
func Read(journal fs.FS, names []string) ([]Run, error) {
	files, err := fs.Glob(journal, "*.json")
	if err != nil {
		return nil, eris.Wrap(err, "list journal")
	}
	slices.Sort(files)
	found := make(map[string]bool, len(names))
	var runs []Run
	for _, file := range files {
		e, err := readEntry(journal, file)
		if err != nil {
			return nil, err
		}
		for _, name := range names {
			if !e.matches(name) {
				continue
			}
			found[name] = true
			if e.Site == "" && strings.HasPrefix(e.ID, name) {
				return nil, eris.Errorf("entry %s is not finished", e.ID)
			}
			if e.Edited {
				return nil, eris.Errorf("entry %s: its sources changed while it ran", e.ID)
			}
			runs = append(runs, e.runs()...)
			break
		}
	}
	for _, name := range names {
		if !found[name] {
			return nil, eris.Errorf("no entry's id, commit or digest of sources begins with %q", name)
		}
	}
	return runs, nil
}

// readEntry reads one file of the journal.
func readEntry(journal fs.FS, file string) (*entry, error) {
	data, err := fs.ReadFile(journal, file)
	if err != nil {
		return nil, eris.Wrapf(err, "read %s", file)
	}
	e := new(entry)
	if err := json.Unmarshal(data, e); err != nil {
		return nil, eris.Wrapf(err, "entry %s is damaged", filepath.Base(file))
	}
	if e.ID == "" {
		return nil, eris.Errorf("entry %s is damaged: it has no id", filepath.Base(file))
	}
	return e, nil
}

// runs returns a run for each day of the entry.
func (e *entry) runs() []Run {
	out := make([]Run, 0, len(e.Days))
	for i := range e.Days {
		d := &e.Days[i]
		out = append(out, Run{EntryID: e.ID, Site: e.Site, Day: d.Name + " " + d.Day, Seed: d.Seed,
			SmallTwin: d.Small != nil && *d.Small, Figures: d.figures()})
	}
	return out
}

// figures returns the figures by which runs are compared.
func (d *entryDay) figures() []Figure {
	out := []Figure{{"worth", d.Worth}, {"served", d.Served}, {"refused", d.Refused}, {"failed", d.Failed}}
	for _, p := range d.Parts {
		out = append(out, Figure(p))
	}
	for i, share := range d.ByClass {
		if share != nil {
			out = append(out, Figure{fmt.Sprint("class ", i+1), *share})
		}
	}
	for _, p := range d.Prices {
		out = append(out, Figure{"price of " + p.Name, p.Value})
	}
	return out
}
