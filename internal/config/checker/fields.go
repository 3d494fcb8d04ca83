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

// Name describes a name: small letters, digits, dashes and underscores.
func Name[T ~string](name string, to *T, doc string) Field {
	doc += "; a name of small letters, digits, - and _"
	return Field{Name: name, Doc: doc, read: func(c *cursor) {
		s, ok := c.text()
		if !ok {
			return
		}
		if !validName.MatchString(s) {
			c.fault(strconv.Quote(s)+" is not a name", "use up to 63 small letters, digits, - and _, beginning with a letter")
			return
		}
		*to = T(s)
	}}
}

var validName = regexp.MustCompile(`^[a-z][a-z0-9_-]{0,62}$`)

// Path describes an HTTP path.
func Path(name string, to *string, doc string) Field {
	doc += "; an HTTP path"
	return Field{Name: name, Doc: doc, read: func(c *cursor) {
		s, ok := c.text()
		if !ok {
			return
		}
		if !validPath.MatchString(s) {
			c.fault(strconv.Quote(s)+" is not an HTTP path", "begin with / and use letters, digits, - _ . and /")
			return
		}
		*to = s
	}}
}

var validPath = regexp.MustCompile(`^/[A-Za-z0-9/_.-]*$`)

// AddrPort describes an IP address with a port.
func AddrPort(name string, to *netip.AddrPort, doc string) Field {
	doc += "; an IP address and port, such as \"127.0.0.1:7100\""
	return Field{Name: name, Doc: doc, read: func(c *cursor) {
		s, ok := c.text()
		if !ok {
			return
		}
		addr, err := netip.ParseAddrPort(s)
		if err != nil {
			c.fault(strconv.Quote(s)+" is not an IP address with a port", "write it like \"127.0.0.1:7100\"; host names are not looked up")
			return
		}
		*to = addr
	}}
}

// AddrPorts describes a list of IP addresses with ports.
func AddrPorts(name string, to *[]netip.AddrPort, doc string) Field {
	doc += "; a list of IP addresses with ports, such as [\"127.0.0.1:7100\"]"
	return Field{Name: name, Doc: doc, read: func(c *cursor) {
		list, ok := c.value.Value.(*hujson.Array)
		if !ok {
			c.fault("this is not a list", "write it in square brackets")
			return
		}
		for i := range list.Elements {
			var addr netip.AddrPort
			element := &cursor{reader: c.reader, value: &list.Elements[i], path: c.path + "." + strconv.Itoa(i)}
			AddrPort(name, &addr, doc).read(element)
			*to = append(*to, addr)
		}
	}}
}

// Duration describes a time span within a range.
func Duration(name string, to *time.Duration, least, most time.Duration, doc string) Field {
	doc += fmt.Sprintf("; a duration from %s to %s", least, most)
	return Field{Name: name, Doc: doc, read: func(c *cursor) {
		s, ok := c.text()
		if !ok {
			return
		}
		d, err := time.ParseDuration(s)
		if err != nil {
			c.fault(strconv.Quote(s)+" is not a duration", "write a number and a unit, such as \"250ms\" or \"5s\"")
			return
		}
		if d < least || d > most {
			c.fault(d.String()+" is out of range", fmt.Sprintf("choose from %s to %s", least, most))
			return
		}
		*to = d
	}}
}

// Integer describes a whole number within a range.
func Integer(name string, to *int, least, most int, doc string) Field {
	doc += fmt.Sprintf("; a whole number from %d to %d", least, most)
	return Field{Name: name, Doc: doc, read: func(c *cursor) {
		l, ok := c.literal()
		if !ok || l.Kind() != '0' {
			c.fault("this is not a number", "write a whole number without quotes")
			return
		}
		n, err := strconv.Atoi(string(l))
		if err != nil {
			c.fault(string(l)+" is not a whole number", "write a whole number")
			return
		}
		if n < least || n > most {
			c.fault(strconv.Itoa(n)+" is out of range", fmt.Sprintf("choose from %d to %d", least, most))
			return
		}
		*to = n
	}}
}

// Number describes a number within a range.
func Number(name string, to *float64, least, most float64, doc string) Field {
	doc += fmt.Sprintf("; a number from %g to %g", least, most)
	return Field{Name: name, Doc: doc, read: func(c *cursor) {
		l, ok := c.literal()
		if !ok || l.Kind() != '0' {
			c.fault("this is not a number", "write a number without quotes")
			return
		}
		n := l.Float()
		if n < least || n > most {
			c.fault(string(l)+" is out of range", fmt.Sprintf("choose from %g to %g", least, most))
			return
		}
		*to = n
	}}
}

// Boolean describes true or false.
func Boolean(name string, to *bool, doc string) Field {
	doc += "; true or false"
	return Field{Name: name, Doc: doc, read: func(c *cursor) {
		l, ok := c.literal()
		if !ok || (l.Kind() != 't' && l.Kind() != 'f') {
			c.fault("this is neither true nor false", "write true or false without quotes")
			return
		}
		*to = l.Bool()
	}}
}

// Map describes an object whose members have names of the operator's choice.
// Member is called for each name and returns the description of its value, which
// is an object.
func Map(name string, doc string, member func(name string) Schema) Field {
	return Field{Name: name, Doc: doc, read: func(c *cursor) {
		members, ok := c.members()
		if !ok {
			return
		}
		for i := range members {
			key := memberName(&members[i])
			if !validName.MatchString(key) {
				c.member(key, &members[i].Name).fault(strconv.Quote(key)+" is not a name", "use up to 63 small letters, digits, - and _, beginning with a letter")
				continue
			}
			member(key).read(c.member(key, &members[i].Value))
		}
	}}
}

// OneOf describes a text that is one of a few.
func OneOf(name string, to *string, choices []string, doc string) Field {
	doc += "; one of " + strings.Join(choices, ", ")
	return Field{Name: name, Doc: doc, read: func(c *cursor) {
		s, ok := c.text()
		if !ok {
			return
		}
		if !slices.Contains(choices, s) {
			c.fault(strconv.Quote(s)+" is not a choice here", "choose one of "+strings.Join(choices, ", "))
			return
		}
		*to = s
	}}
}

// Then adds an action after a field was read.
func Then(f Field, act func()) Field {
	read := f.read
	f.read = func(c *cursor) {
		read(c)
		act()
	}
	return f
}

// Require marks a field as one that must be present.
func Require(f Field) Field {
	f.Required = true
	return f
}

func (c *cursor) text() (string, bool) {
	l, ok := c.literal()
	if !ok || l.Kind() != '"' {
		c.fault("this is not a text", "write it in double quotes")
		return "", false
	}
	return l.String(), true
}
