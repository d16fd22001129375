// Package exactjson decodes JSON whose names of fields are spelled exactly as stated. encoding/json takes names that differ in case, or by
// Unicode case folding, for the same, so that a value of another writer can pass for one of the platform.
package exactjson

import (
	"bytes"
	"encoding/json"
	"reflect"
	"slices"
	"strings"
	"sync"
)

// names are the names of all fields of a type and of those within it: a set, and lists by their length in bytes.
type names struct {
	exact    map[string]bool
	byLength map[int][][]byte
}

// namesByType holds the names of the types that were decoded so far.
var namesByType sync.Map

// Unmarshal decodes data into the value to which to points. Fields whose names are not spelled exactly are unknown, and ignored.
func Unmarshal(data []byte, to any) error {
	return json.Unmarshal(hideMisspelled(data, namesOf(reflect.TypeOf(to))), to)
}

func namesOf(t reflect.Type) names {
	if known, ok := namesByType.Load(t); ok {
		return known.(names)
	}
	n := names{exact: map[string]bool{}, byLength: map[int][][]byte{}}
	n.collect(t, map[reflect.Type]bool{})
	namesByType.Store(t, n)
	return n
}

// collect adds the names of the fields of a type, and of the types that it is made of.
func (n names) collect(t reflect.Type, seen map[reflect.Type]bool) {
	if seen[t] {
		return
	}
	seen[t] = true
	switch t.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array, reflect.Map:
		n.collect(t.Elem(), seen)
	case reflect.Struct:
		for f := range t.Fields() {
			name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
			if name == "" {
				name = f.Name
			}
			if f.IsExported() && name != "-" && !n.exact[name] {
				n.exact[name] = true
				n.byLength[len(name)] = append(n.byLength[len(name)], []byte(name))
			}
			n.collect(f.Type, seen)
		}
	}
}

// hideMisspelled returns data in which names that encoding/json would take for one of the fields, and that are spelled otherwise, are
// replaced. It does not change data.
func hideMisspelled(data []byte, n names) []byte {
	out := data
	for i := 0; i < len(data); i++ {
		if data[i] != '"' {
			continue
		}
		begin := i + 1
		end := stringEnd(data, begin)
		if end < 0 {
			return out
		}
		i = end
		if !isName(data, end+1) || !n.misspelled(data[begin-1:end+1]) {
			continue
		}
		if &out[0] == &data[0] {
			out = append([]byte(nil), data...)
		}
		for k := begin; k < end; k++ {
			out[k] = '_'
		}
	}
	return out
}

// stringEnd returns the index of the quotation mark that ends a string, or -1.
func stringEnd(data []byte, begin int) int {
	for i := begin; i < len(data); i++ {
		switch data[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return -1
}

// isName reports whether a string that ends before after is the name of a field.
func isName(data []byte, after int) bool {
	for ; after < len(data); after++ {
		switch data[after] {
		case ' ', '\t', '\r', '\n':
		default:
			return data[after] == ':'
		}
	}
	return false
}

// misspelled reports whether a quoted name is one of the fields' but for its spelling.
func (n names) misspelled(quoted []byte) bool {
	name := quoted[1 : len(quoted)-1]
	if n.exact[string(name)] {
		return false
	}
	if !isPlain(name) {
		return n.misspelledUnicode(quoted)
	}
	return slices.ContainsFunc(n.byLength[len(name)], func(known []byte) bool { return bytes.EqualFold(known, name) })
}

// misspelledUnicode is misspelled for a name with escapes, or with characters that are not ASCII, which some ASCII letters fold to.
func (n names) misspelledUnicode(quoted []byte) bool {
	var name string
	if json.Unmarshal(quoted, &name) != nil || n.exact[name] {
		return false
	}
	for _, list := range n.byLength {
		if slices.ContainsFunc(list, func(known []byte) bool { return strings.EqualFold(string(known), name) }) {
			return true
		}
	}
	return false
}

// isPlain reports whether a name has only ASCII characters and no escapes.
func isPlain(name []byte) bool {
	return !slices.ContainsFunc(name, func(c byte) bool { return c >= 0x80 || c == '\\' })
}
