// Package checker reads JSON with comments against a description of its fields.
// It finds all faults of a file at once, each with its line, its path and a
// remedy, and sets nothing that is out of range.
package checker

import (
	"bytes"
	"regexp"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Field is one member of an object.
type Field struct {
	Name string
	// Doc says what the field means, with its unit and range.
	Doc      string
	Required bool

	read func(c *cursor)
}

// Schema describes the members that an object may have.
type Schema []Field

// Constraint is a condition on several fields. It is checked when each of them is
// in range.
type Constraint struct {
	// Field is the one that is reported, a member of the root object.
	Field   string
	Holds   func() bool
	Problem string
	Remedy  string
}

// Check reads src, the content of the named file, into the variables that the
// fields point to.
func Check(file string, src []byte, root Schema, relations ...Constraint) ErrorList {
	value, err := hujson.Parse(src)
	if err != nil {
		return ErrorList{syntaxFault(file, err)}
	}
	r := &reader{file: file, src: src}
	c := &cursor{reader: r, value: &value}
	root.read(c)
	if len(r.faults) == 0 {
		c.relate(relations)
	}
	r.faults.sort()
	return r.faults
}

func (c *cursor) relate(relations []Constraint) {
	for _, rel := range relations {
		if rel.Holds() {
			continue
		}
		at := c.value.Find("/" + rel.Field)
		if at == nil {
			at = c.value
		}
		c.member(rel.Field, at).fault(rel.Problem, rel.Remedy)
	}
}

type reader struct {
	file   string
	src    []byte
	faults ErrorList
}

// cursor is a place in the file.
type cursor struct {
	*reader

	value *hujson.Value
	path  string
}

func (c *cursor) fault(problem, remedy string) {
	c.faultAt(c.value.StartOffset, problem, remedy)
}

func (c *cursor) faultAt(offset int, problem, remedy string) {
	before := c.src[:min(offset, len(c.src))]
	c.faults = append(c.faults, Error{
		File:    c.file,
		Line:    bytes.Count(before, []byte("\n")) + 1,
		Column:  len(before) - bytes.LastIndexByte(before, '\n'),
		Path:    c.path,
		Problem: problem,
		Remedy:  remedy,
	})
}

func (c *cursor) member(name string, value *hujson.Value) *cursor {
	path := name
	if c.path != "" {
		path = c.path + "." + name
	}
	return &cursor{reader: c.reader, value: value, path: path}
}

// literal returns the text of a string, or of a number, true or false.
func (c *cursor) literal() (hujson.Literal, bool) {
	l, ok := c.value.Value.(hujson.Literal)
	return l, ok
}

// members returns the members of an object, and reports those that stand twice.
func (c *cursor) members() ([]hujson.ObjectMember, bool) {
	o, ok := c.value.Value.(*hujson.Object)
	if !ok {
		c.fault("this is not an object", "write { \"name\": value, ... }")
		return nil, false
	}
	seen := make(map[string]bool)
	for i := range o.Members {
		name := memberName(&o.Members[i])
		if seen[name] {
			c.member(name, &o.Members[i].Name).fault("the name stands twice", "keep one of the two")
		}
		seen[name] = true
	}
	return o.Members, true
}

func memberName(m *hujson.ObjectMember) string {
	l, _ := m.Name.Value.(hujson.Literal)
	return l.String()
}

func (o Schema) read(c *cursor) {
	members, ok := c.members()
	if !ok {
		return
	}
	present := make(map[string]bool)
	for i := range members {
		m := &members[i]
		name := memberName(m)
		present[name] = true
		if f := o.find(name); f != nil {
			f.read(c.member(name, &m.Value))
			continue
		}
		c.member(name, &m.Name).fault("there is no such field", o.suggest(name))
	}
	for _, f := range o {
		if f.Required && !present[f.Name] {
			c.member(f.Name, c.value).fault("the field is missing", "add it: "+f.Doc)
		}
	}
}

func (o Schema) find(name string) *Field {
	for i := range o {
		if o[i].Name == name {
			return &o[i]
		}
	}
	return nil
}

func (o Schema) suggest(name string) string {
	names := make([]string, len(o))
	for i, f := range o {
		names[i] = f.Name
	}
	if near := nearest(name, names); near != "" {
		return "did you mean " + strconv.Quote(near) + "?"
	}
	return "the fields are " + strings.Join(names, ", ")
}

var syntaxPlace = regexp.MustCompile(`line (\d+), column (\d+): (.*)$`)

func syntaxFault(file string, err error) Error {
	f := Error{File: file, Line: 1, Column: 1, Problem: err.Error(), Remedy: "write JSON; comments and trailing commas are allowed"}
	if m := syntaxPlace.FindStringSubmatch(err.Error()); m != nil {
		f.Line, _ = strconv.Atoi(m[1])
		f.Column, _ = strconv.Atoi(m[2])
		f.Problem = m[3]
	}
	return f
}
