package config

import (
	"bytes"
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"
)

// Limits on a document.
const (
	// MaxBytes is the size of the largest document; one of the design size (2,500
	// upstreams, 720 models) takes about 1 MB.
	MaxBytes = 8 << 20
	// maxDepth is the deepest nesting; a valid document has 5 levels. Without this
	// limit, a document of opening brackets alone would exhaust the stack.
	maxDepth = 16
)

// Parse decodes a configuration strictly and validates it. It returns either a
// valid configuration or every fault found: unknown, repeated and mistyped fields
// first and, only if there are none, the faults that Validate finds.
func Parse(data []byte) (*Config, []Fault) {
	c := new(Config)
	if faults := ParseStrict(data, c); len(faults) > 0 {
		return nil, faults
	}
	if faults := Validate(c); len(faults) > 0 {
		return nil, faults
	}
	return c, nil
}

// ParseStrict decodes one JSON document into out, a pointer to a struct, and
// returns a fault with its path for every unknown, repeated or mistyped field.
// Hosts' settings are decoded by it as well.
func ParseStrict(data []byte, out any) []Fault {
	if len(data) > MaxBytes {
		return []Fault{{rootPath, fmt.Sprintf("is %d bytes long, at most %d are read", len(data), MaxBytes)}}
	}
	s := strictReader{dec: json.NewDecoder(bytes.NewReader(data)), fields: map[reflect.Type]map[string]reflect.Type{}}
	s.dec.UseNumber()
	err := s.value(reflect.TypeOf(out).Elem(), "", 0)
	if err == nil {
		if _, more := s.dec.Token(); !errors.Is(more, io.EOF) {
			err = errors.New("more follows after the document's end")
		}
	}
	if err != nil {
		s.add(rootPath, "is not JSON: %v at byte %d", err, s.dec.InputOffset())
		return s.faults
	}
	if len(s.faults) == 0 {
		if err := json.Unmarshal(data, out); err != nil {
			s.add(rootPath, "cannot be decoded: %v", err)
		}
	}
	return s.faults
}

// strictReader walks a document together with the type that it is decoded into.
// The decoder of encoding/json would report an unknown field without its path,
// accept "Name" for "name", and silently keep the last of two equal keys.
type strictReader struct {
	collector
	dec    *json.Decoder
	fields map[reflect.Type]map[string]reflect.Type // JSON fields of the types met so far, by name
}

// value reads one value that should be of type t; a nil t accepts anything.
func (s *strictReader) value(t reflect.Type, path string, depth int) error {
	if depth > maxDepth {
		return fmt.Errorf("nested deeper than %d", maxDepth)
	}
	tok, err := s.dec.Token()
	if err != nil {
		return err
	}
	if t != nil && t.Kind() == reflect.Pointer {
		if tok == nil { // null: a pointer field that was left out, as encoding/json writes it
			return nil
		}
		t = t.Elem()
	}
	switch tok {
	case json.Delim('{'):
		return s.object(s.expectKind(t, reflect.Struct, "an object", path), path, depth)
	case json.Delim('['):
		return s.array(s.expectKind(t, reflect.Slice, "a list", path), path, depth)
	}
	if t != nil {
		s.scalar(t, tok, path)
	}
	return nil
}

// expectKind returns t if it has the kind; otherwise it adds a fault and returns
// nil.
func (s *strictReader) expectKind(t reflect.Type, kind reflect.Kind, found, path string) reflect.Type {
	if t == nil || t.Kind() == kind {
		return t
	}
	s.add(pathOrRoot(path), "is %s, must be %s", found, describe(t))
	return nil
}

func (s *strictReader) object(t reflect.Type, path string, depth int) error {
	fields, seen := s.jsonFields(t), map[string]bool{}
	for s.dec.More() {
		tok, err := s.dec.Token()
		if err != nil {
			return err
		}
		name, _ := tok.(string)
		fieldPath := strings.TrimPrefix(path+"."+name, ".")
		field, known := fields[name]
		switch {
		case t != nil && !known:
			s.add(fieldPath, "unknown field %q", name)
		case seen[name]:
			s.add(fieldPath, "stands twice")
		}
		seen[name] = true
		if err := s.value(field, fieldPath, depth+1); err != nil {
			return err
		}
	}
	_, err := s.dec.Token()
	return err
}

func (s *strictReader) array(t reflect.Type, path string, depth int) error {
	var elem reflect.Type
	if t != nil {
		elem = t.Elem()
	}
	for i := 0; s.dec.More(); i++ {
		if err := s.value(elem, itemPath(path, i, ""), depth+1); err != nil {
			return err
		}
	}
	_, err := s.dec.Token()
	return err
}

func (s *strictReader) scalar(t reflect.Type, tok json.Token, path string) {
	path = pathOrRoot(path)
	switch v := tok.(type) {
	case string:
		if u, ok := reflect.New(t).Interface().(encoding.TextUnmarshaler); ok {
			if err := u.UnmarshalText([]byte(v)); err != nil {
				s.add(path, "%v", err)
			}
			return
		}
		s.check(t.Kind() == reflect.String, path, "is a string, must be %s", describe(t))
	case json.Number:
		s.number(t, v, path)
	case bool:
		s.check(t.Kind() == reflect.Bool, path, "is %t, must be %s", v, describe(t))
	default:
		// encoding/json writes an empty list as null, so null is read as one too.
		s.check(t.Kind() == reflect.Slice, path, "is null, must be %s", describe(t))
	}
}

func (s *strictReader) number(t reflect.Type, v json.Number, path string) {
	var err error
	switch {
	case decodesFromText(t):
		err = errors.New("a number")
	case t.Kind() == reflect.Int || t.Kind() == reflect.Int64:
		_, err = strconv.ParseInt(v.String(), 10, 64)
	case t.Kind() == reflect.Float64:
		_, err = v.Float64()
	default:
		err = errors.New("a number")
	}
	s.check(err == nil, path, "is %.40s, must be %s", v, describe(t))
}

// decodesFromText reports whether a value of type t is written as a string.
func decodesFromText(t reflect.Type) bool {
	return reflect.PointerTo(t).Implements(reflect.TypeFor[encoding.TextUnmarshaler]())
}

func describe(t reflect.Type) string {
	if decodesFromText(t) {
		return "a string"
	}
	switch t.Kind() {
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "a list"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}

// jsonFields returns the types of a struct's fields by their JSON names.
func (s *strictReader) jsonFields(t reflect.Type) map[string]reflect.Type {
	if t == nil || s.fields[t] != nil {
		return s.fields[t]
	}
	fields := map[string]reflect.Type{}
	for f := range t.Fields() {
		if name, _, _ := strings.Cut(f.Tag.Get("json"), ","); name != "" && name != "-" {
			fields[name] = f.Type
		}
	}
	s.fields[t] = fields
	return fields
}

func pathOrRoot(path string) string {
	if path == "" {
		return rootPath
	}
	return path
}
