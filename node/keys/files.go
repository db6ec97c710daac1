package keys

import (
	"crypto/sha256"
	"fmt"
	"hash"
	"os"
)

// Files is where keys and certificates are read.
type Files interface {
	// Stamp changes when a file does, nearly always, and costs little to read.
	Stamp(name string) (string, error)
	Read(name string) ([]byte, error)
}

// Disk reads the host's own files.
type Disk struct{}

// Stamp implements Files: a file's modification time and size.
func (Disk) Stamp(name string) (string, error) {
	info, err := os.Stat(name)
	if err != nil {
		return "", err
	}
	return fmt.Sprint(info.ModTime().UnixNano(), " ", info.Size()), nil
}

// Read implements Files.
func (Disk) Read(name string) ([]byte, error) { return os.ReadFile(name) }

// reader reads the files of one part and notes what it saw.
type reader struct {
	files  Files
	stamps map[string]string
	hash   hash.Hash
}

func newReader(f Files) *reader {
	return &reader{files: f, stamps: map[string]string{}, hash: sha256.New()}
}

// read takes the stamp before the content: a file that changes in between is
// then read again at the next look, and not missed for good.
func (r *reader) read(name string) ([]byte, error) {
	stamp, err := r.files.Stamp(name)
	if err != nil {
		r.hash.Write([]byte("missing " + name))
		return nil, err
	}
	r.stamps[name] = stamp
	data, err := r.files.Read(name)
	if err != nil {
		r.hash.Write([]byte("unreadable " + name))
		return nil, err
	}
	fmt.Fprintf(r.hash, "%d %s ", len(data), name) // so that moving bytes from one file to the next changes the sum
	r.hash.Write(data)
	return data, nil
}

// fileSet is what is put in force together: the files of one listener, or those
// of the resume keys.
type fileSet struct {
	name string
	// load reads and checks, and returns what puts the result in force.
	load   func(*reader) (func(), error)
	stamps map[string]string
	digest string
}

// reload reads the part again if its files changed, or in any case when it must.
// A fault is returned once, when it appears.
func (p *fileSet) reload(f Files, force bool) (changed bool, err error) {
	if !force && p.sameStamps(f) {
		return false, nil
	}
	r := newReader(f)
	apply, err := p.load(r)
	digest := string(r.hash.Sum(nil))
	p.stamps = r.stamps
	if err != nil {
		p.stamps = nil // not all files were reached, so the stamps would hide a mended one
	}
	if digest == p.digest {
		return false, nil
	}
	p.digest = digest
	if err != nil {
		return false, err
	}
	apply()
	return true, nil
}

func (p *fileSet) sameStamps(f Files) bool {
	for name, old := range p.stamps {
		if now, err := f.Stamp(name); err != nil || now != old {
			return false
		}
	}
	return len(p.stamps) > 0
}
