package pki

import (
	"io/fs"
	"strconv"
	"sync"
)

// Files is a set of files in memory. *Files implements keys.Files.
type Files struct {
	mu    sync.Mutex
	files map[string]file
}

type file struct {
	data    []byte
	version int
}

// NewFiles returns an empty set.
func NewFiles() *Files { return &Files{files: map[string]file{}} }

// Put writes a file and gives it a new version.
func (f *Files) Put(name string, data []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.files[name] = file{data, f.files[name].version + 1}
}

// Stamp implements keys.Files.
func (f *Files) Stamp(name string) (string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v, ok := f.files[name]
	if !ok {
		return "", &fs.PathError{Op: "stat", Path: name, Err: fs.ErrNotExist}
	}
	return strconv.Itoa(v.version), nil
}

// Read implements keys.Files.
func (f *Files) Read(name string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v, ok := f.files[name]
	if !ok {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return v.data, nil
}

// Remove deletes a file.
func (f *Files) Remove(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.files, name)
}
