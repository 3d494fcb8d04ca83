// Package checker decodes JSON with comments according to a schema. It reports all
// errors of a file at once, each with its line, its path and a remedy, and never
// stores a value that is out of range.
package checker

import (
	"bytes"
	"regexp"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Field describes one member of an object.
type Field struct {
	Name string
	// Doc says what the field means, with its unit and range.
	Doc      string
	Required bool

	// decode stores the value at c in the field's variable, or reports what is wrong
	// with it.
	decode func(c *cursor)
}

// Schema lists the members that an object may have.
type Schema []Field

// Constraint is a condition on several fields. Constraints are checked only if the file
// has no other errors.
type Constraint struct {
	// Field is the member of the root object at which a violation is reported.
	Field string
	// Holds reports whether the decoded values meet the condition.
	Holds   func() bool
	Problem string
	Remedy  string
}

// Check decodes src, the content of the named file, into the variables that the
// fields of root point to, and returns the errors in the order of their positions.
func Check(file string, src []byte, root Schema, constraints ...Constraint) ErrorList {
	value, err := hujson.Parse(src)
	if err != nil {
		return ErrorList{syntaxError(file, err)}
	}
	d := &document{file: file, src: src}
	c := &cursor{document: d, value: &value}
	root.decode(c)
	if len(d.errs) == 0 {
		c.checkConstraints(constraints)
	}
	d.errs.sort()
	return d.errs
}

func (c *cursor) checkConstraints(constraints []Constraint) {
	for _, con := range constraints {
		if con.Holds() {
			continue
		}
		value := c.value.Find("/" + con.Field)
		if value == nil {
			value = c.value
		}
		c.member(con.Field, value).report(con.Problem, con.Remedy)
	}
}

// document is a file and the errors found in it so far.
type document struct {
	file string
	src  []byte
	errs ErrorList
}

// cursor is a value in the document and the path that leads to it.
type cursor struct {
	*document

	value *hujson.Value
	path  string
}

func (c *cursor) report(problem, remedy string) {
	c.reportAt(c.value.StartOffset, problem, remedy)
}

func (c *cursor) reportAt(offset int, problem, remedy string) {
	before := c.src[:min(offset, len(c.src))]
	c.errs = append(c.errs, Error{
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
	return &cursor{document: c.document, value: value, path: path}
}

// literal returns the value if it is a string, a number, true, false or null.
func (c *cursor) literal() (hujson.Literal, bool) {
	l, ok := c.value.Value.(hujson.Literal)
	return l, ok
}

// members returns the members of an object and reports duplicate names.
func (c *cursor) members() ([]hujson.ObjectMember, bool) {
	o, ok := c.value.Value.(*hujson.Object)
	if !ok {
		c.report("not an object", "write { \"name\": value, ... }")
		return nil, false
	}
	seen := make(map[string]bool)
	for i := range o.Members {
		name := memberName(&o.Members[i])
		if seen[name] {
			c.member(name, &o.Members[i].Name).report("duplicate field", "remove one of the two")
		}
		seen[name] = true
	}
	return o.Members, true
}

func memberName(m *hujson.ObjectMember) string {
	l, _ := m.Name.Value.(hujson.Literal)
	return l.String()
}

func (s Schema) decode(c *cursor) {
	members, ok := c.members()
	if !ok {
		return
	}
	present := make(map[string]bool)
	for i := range members {
		m := &members[i]
		name := memberName(m)
		present[name] = true
		if f := s.find(name); f != nil {
			f.decode(c.member(name, &m.Value))
			continue
		}
		c.member(name, &m.Name).report("unknown field", s.suggest(name))
	}
	for _, f := range s {
		if f.Required && !present[f.Name] {
			c.member(f.Name, c.value).report("missing required field", "add it: "+f.Doc)
		}
	}
}

func (s Schema) find(name string) *Field {
	for i := range s {
		if s[i].Name == name {
			return &s[i]
		}
	}
	return nil
}

// suggest returns the remedy for an unknown field name.
func (s Schema) suggest(name string) string {
	names := make([]string, len(s))
	for i, f := range s {
		names[i] = f.Name
	}
	if closest := closestName(name, names); closest != "" {
		return "did you mean " + strconv.Quote(closest) + "?"
	}
	return "the fields are " + strings.Join(names, ", ")
}

var syntaxPosition = regexp.MustCompile(`line (\d+), column (\d+): (.*)$`)

// syntaxError converts an error of the parser, which has the position in its text.
func syntaxError(file string, err error) Error {
	e := Error{File: file, Line: 1, Column: 1, Problem: err.Error(), Remedy: "write JSON; comments and trailing commas are allowed"}
	if m := syntaxPosition.FindStringSubmatch(err.Error()); m != nil {
		e.Line, _ = strconv.Atoi(m[1])
		e.Column, _ = strconv.Atoi(m[2])
		e.Problem = m[3]
	}
	return e
}
