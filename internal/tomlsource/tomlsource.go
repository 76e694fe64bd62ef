// Package tomlsource decodes TOML files that people write and reports each
// problem with its key and line.
//
// # Usage
//
//	lines, err := tomlsource.Decode(data, &settings)
//	if err != nil {
//		return err // a join of *Problem
//	}
//	if settings.Zone == "" {
//		return lines.Problem("zone", "is required")
//	}
package tomlsource

import (
	"cmp"
	"encoding"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Problem is one error in a file.
type Problem struct {
	// Line is the line in the file, from 1; zero means unknown.
	Line int
	// Key is the path of the key, such as routes[2].prefix; it may be empty.
	Key     string
	Message string
}

// Error implements error.
func (p *Problem) Error() string {
	var b strings.Builder
	if p.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", p.Line)
	}
	if p.Key != "" {
		fmt.Fprintf(&b, "key %q: ", p.Key)
	}
	b.WriteString(p.Message)
	return b.String()
}

// Problems returns the problems that err wraps or joins, in order.
func Problems(err error) []*Problem {
	if p, ok := err.(*Problem); ok { //nolint:errorlint // the loop below unwraps
		return []*Problem{p}
	}
	switch u := err.(type) { //nolint:errorlint // the loop below unwraps
	case interface{ Unwrap() error }:
		return Problems(u.Unwrap())
	case interface{ Unwrap() []error }:
		var list []*Problem
		for _, e := range u.Unwrap() {
			list = append(list, Problems(e)...)
		}
		return list
	}
	return nil
}

// messageUnknown is the message for a key without a field in the target.
const messageUnknown = "unknown key"

// Lines maps the keys of a file to their lines. Tables of an array are numbered from 0.
// Keys match without regard to case, as in the decoder.
type Lines struct {
	// line is keyed by the path in lower case.
	line map[string]int
	// keys are the positions of the keys, in file order.
	keys []position
}

// position is the position of a key, with line and column from 1.
type position struct {
	line, column int
	path         string
}

// Decode reads TOML into v, a pointer to a struct. The error joins a *Problem for each
// unknown key, each value of a text type that is not a string, and the first syntax or
// type error.
func Decode(data []byte, v any) (Lines, error) {
	lines, errs := indexKeys(data, reflect.TypeOf(v))
	err := toml.NewDecoder(strings.NewReader(string(data))).DisallowUnknownFields().Decode(v)
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		for i := range strict.Errors {
			p := lines.describe(&strict.Errors[i])
			p.Message = messageUnknown
			errs = append(errs, p)
		}
		return lines, errors.Join(errs...)
	}
	var dec *toml.DecodeError
	switch {
	case errors.As(err, &dec):
		errs = append(errs, lines.describe(dec))
	case err != nil && len(errs) == 0:
		// An error without a position comes from the UnmarshalText of a text type.
		errs = append(errs, err)
	}
	return lines, errors.Join(errs...)
}

// OnlyUnknown reports whether all problems of err are unknown keys, so that the decoded
// value is otherwise complete.
func OnlyUnknown(err error) bool {
	list := Problems(err)
	return len(list) > 0 && !slices.ContainsFunc(list, func(p *Problem) bool { return p.Message != messageUnknown })
}

func (l Lines) describe(err *toml.DecodeError) *Problem {
	row, column := err.Position()
	p := &Problem{Line: row, Key: strings.Join(err.Key(), "."), Message: strings.TrimPrefix(err.Error(), "toml: ")}
	// The last key on the line up to the error has the whole path; the error itself
	// has only a part of it or none.
	for _, k := range l.keys {
		if k.line == row && k.column <= column {
			p.Key = k.path
		}
	}
	return p
}

// Line returns the line of a key, or of the nearest enclosing table; zero means that
// neither is in the file.
func (l Lines) Line(key string) int {
	key = strings.ToLower(key)
	for key != "" {
		if n := l.line[key]; n > 0 {
			return n
		}
		i := strings.LastIndexAny(key, ".[")
		if i < 0 {
			break
		}
		key = key[:i]
	}
	return 0
}

// Problem returns a problem with the key and its line.
func (l Lines) Problem(key, format string, args ...any) *Problem {
	return &Problem{Line: l.Line(key), Key: key, Message: fmt.Sprintf(format, args...)}
}

// indexer collects the positions of the keys of a file.
type indexer struct {
	Lines
	parser         unstable.Parser
	newlineOffsets []int
	tables         map[string]int
	// spellings maps keys in lower case to the keys as written.
	spellings map[string]string
	errs      []error
}

func indexKeys(data []byte, target reflect.Type) (Lines, []error) {
	ix := indexer{
		Lines:     Lines{line: make(map[string]int)},
		tables:    make(map[string]int),
		spellings: make(map[string]string),
	}
	for i, b := range data {
		if b == '\n' {
			ix.newlineOffsets = append(ix.newlineOffsets, i)
		}
	}
	ix.parser.Reset(data)
	table := scope{typ: target}
	for ix.parser.NextExpression() {
		switch e := ix.parser.Expression(); e.Kind {
		case unstable.Table:
			var at position
			table, at = ix.key(scope{typ: target}, e)
			ix.set(at)
		case unstable.ArrayTable:
			var at position
			table, at = ix.key(scope{typ: target}, e)
			n := ix.tables[table.path]
			ix.tables[table.path]++
			if n == 0 {
				ix.set(at)
			}
			table.path = fmt.Sprintf("%s[%d]", table.path, n)
			at.path = table.path
			ix.set(at)
		case unstable.KeyValue:
			ix.keyValue(table, e)
		}
	}
	// The decoder reports syntax errors.
	return ix.Lines, ix.errs
}

// scope is a key path and the type that its value is decoded into; the type is nil if
// the target has no field for it.
type scope struct {
	path string
	typ  reflect.Type
}

func (ix *indexer) keyValue(table scope, e *unstable.Node) {
	sc, at := ix.key(table, e)
	ix.set(at)
	ix.value(sc, e.Value())
}

var textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()

func (ix *indexer) value(sc scope, v *unstable.Node) {
	switch v.Kind {
	case unstable.Array:
		i := 0
		for it := v.Children(); it.Next(); i++ {
			ix.value(scope{fmt.Sprintf("%s[%d]", sc.path, i), sc.typ}, it.Node())
		}
	case unstable.InlineTable:
		for it := v.Children(); it.Next(); {
			if _, ok := ix.line[strings.ToLower(sc.path)]; !ok {
				_, at := ix.key(sc, it.Node())
				at.path = sc.path
				ix.set(at)
			}
			ix.keyValue(sc, it.Node())
		}
	case unstable.String:
	default:
		// The decoder stores an integer in a type such as config.Duration without
		// calling UnmarshalText, and reports other values without a position.
		if typ := elemType(sc.typ); typ != nil && reflect.PointerTo(typ).Implements(textUnmarshaler) {
			ix.errs = append(ix.errs, ix.Problem(sc.path, "%s must be a string in quotation marks", v.Data))
		}
	}
}

// elemType returns the element type of pointers and slices.
func elemType(t reflect.Type) reflect.Type {
	for t != nil && (t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice) {
		t = t.Elem()
	}
	return t
}

// fieldType returns the type of the struct field for a key.
func fieldType(t reflect.Type, key string) reflect.Type {
	t = elemType(t)
	if t == nil || t.Kind() != reflect.Struct {
		return nil
	}
	for f := range t.Fields() {
		if strings.EqualFold(cmp.Or(f.Tag.Get("toml"), f.Name), key) {
			return f.Type
		}
	}
	return nil
}

// key returns the scope and the position of the key of an expression within a table.
func (ix *indexer) key(table scope, e *unstable.Node) (scope, position) {
	sc := table
	var at position
	for it := e.Key(); it.Next(); {
		n := it.Node()
		if sc.path != "" {
			sc.path += "."
		}
		sc.path += string(n.Data)
		sc.typ = fieldType(sc.typ, string(n.Data))
		if at.line == 0 {
			offset := int(n.Raw.Offset)
			i, _ := slices.BinarySearch(ix.newlineOffsets, offset)
			at.line, at.column = i+1, offset+1
			if i > 0 {
				at.column = offset - ix.newlineOffsets[i-1]
			}
		}
	}
	at.path = sc.path
	return sc, at
}

// set stores the position of a key and reports a second spelling of the same key. The
// decoder ignores case, so one spelling would silently overwrite the other.
func (ix *indexer) set(at position) {
	lower := strings.ToLower(at.path)
	if other, ok := ix.spellings[lower]; ok && other != at.path {
		ix.errs = append(ix.errs, &Problem{
			Line: at.line, Key: at.path, Message: fmt.Sprintf("is the same key as %q in line %d", other, ix.line[lower]),
		})
		return
	}
	ix.spellings[lower] = at.path
	ix.line[lower] = at.line
	ix.keys = append(ix.keys, at)
}
