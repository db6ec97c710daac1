package keys

import (
	"crypto/sha256"
	"fmt"
	"hash"
	"os"
)

// Files reads the files of keys and certificates.
type Files interface {
	// Stamp returns a value that nearly always changes when the file does, and
	// costs less than reading the file.
	Stamp(name string) (string, error)
	// Read returns the content of a file.
	Read(name string) ([]byte, error)
}

// Disk implements Files on the host's file system.
type Disk struct{}

// Stamp implements Files. It returns the file's modification time and size.
func (Disk) Stamp(name string) (string, error) {
	info, err := os.Stat(name)
	if err != nil {
		return "", err
	}
	return fmt.Sprint(info.ModTime().UnixNano(), " ", info.Size()), nil
}

// Read implements Files.
func (Disk) Read(name string) ([]byte, error) { return os.ReadFile(name) }

// reader reads the files of one set and records their stamps and a hash of their
// contents.
type reader struct {
	files  Files
	stamps map[string]string
	hash   hash.Hash
}

func newReader(f Files) *reader {
	return &reader{files: f, stamps: map[string]string{}, hash: sha256.New()}
}

// read returns the content of a file. It reads the stamp before the content: a file
// that changes in between is then read again at the next check, instead of being
// missed for ever.
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
	fmt.Fprintf(r.hash, "%d %s ", len(data), name) // so that moving bytes from one file to the next changes the hash
	r.hash.Write(data)
	return data, nil
}

// fileSet is a set of files that are put in force together: those of one listener,
// or those of the resume keys.
type fileSet struct {
	name string
	// load reads and checks the files, and returns a function that puts them in
	// force.
	load   func(*reader) (func(), error)
	stamps map[string]string // by file name, as last read; nil after a fault
	digest string            // hash of the contents as last read
}

// reload reads the files again if their stamps changed, or if force is set, and puts
// them in force if their contents changed. It returns each fault only once, when it
// appears.
func (s *fileSet) reload(f Files, force bool) (changed bool, err error) {
	if !force && s.sameStamps(f) {
		return false, nil
	}
	r := newReader(f)
	apply, err := s.load(r)
	digest := string(r.hash.Sum(nil))
	s.stamps = r.stamps
	if err != nil {
		s.stamps = nil // not all files were read, so the stamps would hide a later correction
	}
	if digest == s.digest {
		return false, nil
	}
	s.digest = digest
	if err != nil {
		return false, err
	}
	apply()
	return true, nil
}

// sameStamps reports whether stamps are known and none has changed.
func (s *fileSet) sameStamps(f Files) bool {
	for name, old := range s.stamps {
		if now, err := f.Stamp(name); err != nil || now != old {
			return false
		}
	}
	return len(s.stamps) > 0
}
