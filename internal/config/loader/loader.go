// Package loader reads the settings file of a process. Each role has its own
// fields; every field has a checked range, and a default unless only the operator
// can know it.
package loader

import (
	"os"
	"strings"

	"github.com/dandeliongrade/dandeliongrade/internal/config/checker"
)

// Role names the kind of process that a settings file is for.
type Role string

// The roles with a settings file.
const (
	RoleEntry    Role = "entry"
	RoleAgent    Role = "agent"
	RolePlatform Role = "platform"
	RoleBackend  Role = "backend"
	RoleLoad     Role = "load"
	RoleGateway  Role = "gateway"
	RoleSidecar  Role = "sidecar"
)

// Settings are the settings of one role.
type Settings interface {
	// Fields describes the settings file, with the receiver's variables.
	Fields() checker.Schema
	// Constraints are the conditions on several fields.
	Constraints() []checker.Constraint
	// Role returns the role that the file must name.
	Role() Role
}

// roleField is the field that every settings file has.
const roleField = "role"

// Load reads the named file into settings, which holds the defaults.
func Load(file string, settings Settings) error {
	src, err := os.ReadFile(file)
	if err != nil {
		return unreadable(file, err)
	}
	return Parse(file, src, settings).Err()
}

// Parse reads src, the content of the named file, into settings.
func Parse(file string, src []byte, settings Settings) checker.ErrorList {
	var role string
	fields := append(checker.Schema{
		checker.Require(checker.OneOf(roleField, &role, []string{string(settings.Role())}, "the kind of process that the file is for")),
	}, settings.Fields()...)
	return checker.Check(file, src, fields, settings.Constraints()...)
}

// Check finds the faults of a settings file of any role of this package, or of those
// given besides.
func Check(file string, more ...Settings) checker.ErrorList {
	src, err := os.ReadFile(file)
	if err != nil {
		return unreadable(file, err)
	}
	for _, s := range append(more, DefaultEntry(), DefaultAgent(), DefaultStandInPlatform(), DefaultStandInBackend(), DefaultGateway(), DefaultSidecar()) {
		faults := Parse(file, src, s)
		if !otherRole(faults) {
			return faults
		}
	}
	return unknownRole(file, src)
}

func unreadable(file string, err error) checker.ErrorList {
	return checker.ErrorList{{File: file, Line: 1, Column: 1, Problem: "it cannot be read: " + err.Error(), Remedy: "name a file that exists"}}
}

// otherRole reports whether the file names another role than it was read for, or
// none.
func otherRole(faults checker.ErrorList) bool {
	for _, f := range faults {
		if f.Path == roleField {
			return true
		}
	}
	return false
}

func unknownRole(file string, src []byte) checker.ErrorList {
	var role string
	roles := []string{string(RoleEntry), string(RoleAgent), string(RolePlatform), string(RoleBackend), string(RoleLoad), string(RoleGateway), string(RoleSidecar)}
	faults := checker.Check(file, src, checker.Schema{
		checker.Require(checker.OneOf(roleField, &role, roles, "the kind of process that the file is for")),
	})
	var kept checker.ErrorList
	for _, f := range faults {
		if f.Path == roleField || strings.HasPrefix(f.Problem, "invalid") {
			kept = append(kept, f)
		}
	}
	return kept
}
