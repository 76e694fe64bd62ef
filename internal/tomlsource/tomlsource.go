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

// Problem is one fault of a file.
type Problem struct {
	// Line is the line in the file, from 1; zero means that it is not known.
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

// messageUnknown is the message of a key that the target does not have.
const messageUnknown = "unknown key"

// Lines gives the lines of the keys of a file. Tables of an array are counted
// from 0. Keys are found whatever their case, as in the decoder.
type Lines struct {
	line map[string]int
	// keys are in the order of the file.
	keys []position
}

// position is the place of a key, with line and column from 1.
type position struct {
	line, column int
	path         string
}

// Decode reads TOML into v, a pointer to a struct. The error joins a *Problem
// for each unknown key, each value of a text type that is no string, and the
// first syntax or type error.
func Decode(data []byte, v any) (Lines, error) {
	lines, err := index(data, reflect.TypeOf(v))
	if err != nil {
		return lines, err
	}
	err = toml.NewDecoder(strings.NewReader(string(data))).DisallowUnknownFields().Decode(v)
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var errs []error
		for i := range strict.Errors {
			p := lines.describe(&strict.Errors[i])
			p.Message = messageUnknown
			errs = append(errs, p)
		}
		return lines, errors.Join(errs...)
	}
	var dec *toml.DecodeError
	if errors.As(err, &dec) {
		return lines, lines.describe(dec)
	}
	return lines, err
}

// OnlyUnknown reports whether err consists of unknown keys, so that the
// decoded value is complete otherwise.
func OnlyUnknown(err error) bool {
	list := Problems(err)
	return len(list) > 0 && !slices.ContainsFunc(list, func(p *Problem) bool { return p.Message != messageUnknown })
}

func (l Lines) describe(err *toml.DecodeError) *Problem {
	row, column := err.Position()
	p := &Problem{Line: row, Key: strings.Join(err.Key(), "."), Message: strings.TrimPrefix(err.Error(), "toml: ")}
	// The last key of the line up to the fault has the whole path; the error
	// itself has a part of it or none.
	for _, k := range l.keys {
		if k.line == row && k.column <= column {
			p.Key = k.path
		}
	}
	return p
}

// Line returns the line of a key, or that of the nearest table around it; zero
// means that neither is in the file.
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

// Problem returns a problem of the key with its line.
func (l Lines) Problem(key, format string, args ...any) *Problem {
	return &Problem{Line: l.Line(key), Key: key, Message: fmt.Sprintf(format, args...)}
}

// indexer walks the expressions of a file.
type indexer struct {
	Lines
	parser   unstable.Parser
	newlines []int
	tables   map[string]int
	// spelling holds the keys as they are written, by their lower case.
	spelling map[string]string
	errs     []error
}

func index(data []byte, target reflect.Type) (Lines, error) {
	ix := indexer{
		Lines:    Lines{line: make(map[string]int)},
		tables:   make(map[string]int),
		spelling: make(map[string]string),
	}
	for i, b := range data {
		if b == '\n' {
			ix.newlines = append(ix.newlines, i)
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
	return ix.Lines, errors.Join(ix.errs...)
}

// scope is a place in the file and the type that it is decoded into; nil where
// the target has none.
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
		// The decoder puts an integer into a type such as config.Duration
		// without its text form, and reports others without a position.
		if typ := element(sc.typ); typ != nil && reflect.PointerTo(typ).Implements(textUnmarshaler) {
			ix.errs = append(ix.errs, ix.Problem(sc.path, "%s must be a string in quotation marks", v.Data))
		}
	}
}

// element returns the type below pointers and slices.
func element(t reflect.Type) reflect.Type {
	for t != nil && (t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice) {
		t = t.Elem()
	}
	return t
}

// field returns the type of the field that a key is decoded into.
func field(t reflect.Type, key string) reflect.Type {
	t = element(t)
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

// key returns what the key of an expression names within a table.
func (ix *indexer) key(table scope, e *unstable.Node) (scope, position) {
	sc := table
	var at position
	for it := e.Key(); it.Next(); {
		n := it.Node()
		if sc.path != "" {
			sc.path += "."
		}
		sc.path += string(n.Data)
		sc.typ = field(sc.typ, string(n.Data))
		if at.line == 0 {
			offset := int(n.Raw.Offset)
			i, _ := slices.BinarySearch(ix.newlines, offset)
			at.line, at.column = i+1, offset+1
			if i > 0 {
				at.column = offset - ix.newlines[i-1]
			}
		}
	}
	at.path = sc.path
	return sc, at
}

// set stores the place of a key. The decoder ignores case, so two spellings of
// one key would overwrite each other without notice.
func (ix *indexer) set(at position) {
	lower := strings.ToLower(at.path)
	if other, ok := ix.spelling[lower]; ok && other != at.path {
		ix.errs = append(ix.errs, &Problem{
			Line: at.line, Key: at.path, Message: fmt.Sprintf("is the same key as %q in line %d", other, ix.line[lower]),
		})
		return
	}
	ix.spelling[lower] = at.path
	ix.line[lower] = at.line
	ix.keys = append(ix.keys, at)
}
