package checker

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// Name describes a name of lowercase letters, digits, dashes and underscores.
func Name[T ~string](name string, dst *T, doc string) Field {
	doc += "; a name of lowercase letters, digits, - and _"
	return Field{Name: name, Doc: doc, decode: func(c *cursor) {
		s, ok := c.str()
		if !ok {
			return
		}
		if !validName.MatchString(s) {
			c.report(strconv.Quote(s)+" is not a valid name", "use up to 63 lowercase letters, digits, - and _, beginning with a letter")
			return
		}
		*dst = T(s)
	}}
}

var validName = regexp.MustCompile(`^[a-z][a-z0-9_-]{0,62}$`)

// Path describes an HTTP path.
func Path(name string, dst *string, doc string) Field {
	doc += "; an HTTP path"
	return Field{Name: name, Doc: doc, decode: func(c *cursor) {
		s, ok := c.str()
		if !ok {
			return
		}
		if !validPath.MatchString(s) {
			c.report(strconv.Quote(s)+" is not a valid HTTP path", "begin with / and use letters, digits, - _ . and /")
			return
		}
		*dst = s
	}}
}

var validPath = regexp.MustCompile(`^/[A-Za-z0-9/_.-]*$`)

// AddrPort describes an IP address with a port.
func AddrPort(name string, dst *netip.AddrPort, doc string) Field {
	doc += "; an IP address and port, such as \"127.0.0.1:7100\""
	return Field{Name: name, Doc: doc, decode: func(c *cursor) {
		s, ok := c.str()
		if !ok {
			return
		}
		addr, err := netip.ParseAddrPort(s)
		if err != nil {
			c.report(strconv.Quote(s)+" is not an IP address with a port", "write it like \"127.0.0.1:7100\"; host names are not looked up")
			return
		}
		*dst = addr
	}}
}

// AddrPorts describes a list of IP addresses with ports.
func AddrPorts(name string, dst *[]netip.AddrPort, doc string) Field {
	doc += "; a list of IP addresses with ports, such as [\"127.0.0.1:7100\"]"
	return Field{Name: name, Doc: doc, decode: func(c *cursor) {
		list, ok := c.value.Value.(*hujson.Array)
		if !ok {
			c.report("not a list", "write it in square brackets")
			return
		}
		for i := range list.Elements {
			var addr netip.AddrPort
			element := &cursor{document: c.document, value: &list.Elements[i], path: c.path + "." + strconv.Itoa(i)}
			AddrPort(name, &addr, doc).decode(element)
			*dst = append(*dst, addr)
		}
	}}
}

// Names describes a list of names, as Name describes them.
func Names(name string, dst *[]string, doc string) Field {
	doc += "; a list of names of lowercase letters, digits, - and _"
	return Field{Name: name, Doc: doc, decode: func(c *cursor) {
		list, ok := c.value.Value.(*hujson.Array)
		if !ok {
			c.report("not a list", "write it in square brackets")
			return
		}
		for i := range list.Elements {
			var s string
			element := &cursor{document: c.document, value: &list.Elements[i], path: c.path + "." + strconv.Itoa(i)}
			Name(name, &s, doc).decode(element)
			*dst = append(*dst, s)
		}
	}}
}

// Duration describes a duration within a range.
func Duration(name string, dst *time.Duration, lower, upper time.Duration, doc string) Field {
	doc += fmt.Sprintf("; a duration from %s to %s", lower, upper)
	return Field{Name: name, Doc: doc, decode: func(c *cursor) {
		s, ok := c.str()
		if !ok {
			return
		}
		d, err := time.ParseDuration(s)
		if err != nil {
			c.report(strconv.Quote(s)+" is not a duration", "write a number and a unit, such as \"250ms\" or \"5s\"")
			return
		}
		if d < lower || d > upper {
			c.report(d.String()+" is out of range", fmt.Sprintf("choose from %s to %s", lower, upper))
			return
		}
		*dst = d
	}}
}

// Integer describes a whole number within a range.
func Integer(name string, dst *int, lower, upper int, doc string) Field {
	doc += fmt.Sprintf("; a whole number from %d to %d", lower, upper)
	return Field{Name: name, Doc: doc, decode: func(c *cursor) {
		l, ok := c.literal()
		if !ok || l.Kind() != '0' {
			c.report("not a number", "write a whole number without quotes")
			return
		}
		n, err := strconv.Atoi(string(l))
		if err != nil {
			c.report(string(l)+" is not a whole number", "write a whole number")
			return
		}
		if n < lower || n > upper {
			c.report(strconv.Itoa(n)+" is out of range", fmt.Sprintf("choose from %d to %d", lower, upper))
			return
		}
		*dst = n
	}}
}

// Number describes a number within a range.
func Number(name string, dst *float64, lower, upper float64, doc string) Field {
	doc += fmt.Sprintf("; a number from %g to %g", lower, upper)
	return Field{Name: name, Doc: doc, decode: func(c *cursor) {
		l, ok := c.literal()
		if !ok || l.Kind() != '0' {
			c.report("not a number", "write a number without quotes")
			return
		}
		n := l.Float()
		if n < lower || n > upper {
			c.report(string(l)+" is out of range", fmt.Sprintf("choose from %g to %g", lower, upper))
			return
		}
		*dst = n
	}}
}

// Boolean describes true or false.
func Boolean(name string, dst *bool, doc string) Field {
	doc += "; true or false"
	return Field{Name: name, Doc: doc, decode: func(c *cursor) {
		l, ok := c.literal()
		if !ok || (l.Kind() != 't' && l.Kind() != 'f') {
			c.report("not a boolean", "write true or false without quotes")
			return
		}
		*dst = l.Bool()
	}}
}

// Map describes an object whose member names are chosen by the operator. It calls
// member for each name to get the schema of the value, which is an object.
func Map(name string, doc string, member func(name string) Schema) Field {
	return Field{Name: name, Doc: doc, decode: func(c *cursor) {
		members, ok := c.members()
		if !ok {
			return
		}
		for i := range members {
			key := memberName(&members[i])
			if !validName.MatchString(key) {
				c.member(key, &members[i].Name).report(strconv.Quote(key)+" is not a valid name", "use up to 63 lowercase letters, digits, - and _, beginning with a letter")
				continue
			}
			member(key).decode(c.member(key, &members[i].Value))
		}
	}}
}

// OneOf describes a string that is one of the given choices.
func OneOf(name string, dst *string, choices []string, doc string) Field {
	doc += "; one of " + strings.Join(choices, ", ")
	return Field{Name: name, Doc: doc, decode: func(c *cursor) {
		s, ok := c.str()
		if !ok {
			return
		}
		if !slices.Contains(choices, s) {
			c.report(strconv.Quote(s)+" is not an allowed value", "use one of "+strings.Join(choices, ", "))
			return
		}
		*dst = s
	}}
}

// Then returns f with an action that runs after the field is decoded, also when its
// value has an error.
func Then(f Field, action func()) Field {
	decode := f.decode
	f.decode = func(c *cursor) {
		decode(c)
		action()
	}
	return f
}

// Require returns f as a field that must be present.
func Require(f Field) Field {
	f.Required = true
	return f
}

// str returns the value if it is a string, and reports an error otherwise.
func (c *cursor) str() (string, bool) {
	l, ok := c.literal()
	if !ok || l.Kind() != '"' {
		c.report("not a string", "write it in double quotes")
		return "", false
	}
	return l.String(), true
}
