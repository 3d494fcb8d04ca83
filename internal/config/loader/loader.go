// Package loader reads the settings file of a process. Each role has its own fields.
// Every field is checked against a range, and has a default unless only the operator
// can know the value.
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
	// Fields returns the schema of the settings file, which stores values in the
	// receiver.
	Fields() checker.Schema
	// Constraints returns the conditions on several fields.
	Constraints() []checker.Constraint
	// Role returns the role that the file must name.
	Role() Role
}

// roleField is the name of the field, required in every settings file, that names
// the role.
const roleField = "role"

// Load reads the named file into settings, which the caller has filled with defaults.
func Load(file string, settings Settings) error {
	src, err := os.ReadFile(file)
	if err != nil {
		return readError(file, err)
	}
	return Parse(file, src, settings).Err()
}

// Parse decodes src, the content of the named file, into settings.
func Parse(file string, src []byte, settings Settings) checker.ErrorList {
	var role string
	fields := append(checker.Schema{
		checker.Require(checker.OneOf(roleField, &role, []string{string(settings.Role())}, "the role of the process")),
	}, settings.Fields()...)
	return checker.Check(file, src, fields, settings.Constraints()...)
}

// Check returns the errors of a settings file for any role of this package or any of the
// additional settings.
func Check(file string, additional ...Settings) checker.ErrorList {
	src, err := os.ReadFile(file)
	if err != nil {
		return readError(file, err)
	}
	for _, s := range append(additional, DefaultEntry(), DefaultAgent(), DefaultStandInPlatform(), DefaultStandInBackend(), DefaultGateway(), DefaultSidecar()) {
		errs := Parse(file, src, s)
		if !hasRoleError(errs) {
			return errs
		}
	}
	return roleErrors(file, src)
}

func readError(file string, err error) checker.ErrorList {
	return checker.ErrorList{{File: file, Line: 1, Column: 1, Problem: "cannot read the file: " + err.Error(), Remedy: "name a file that exists"}}
}

// hasRoleError reports whether errs has an error in the role: the file names no role, or
// another one than it was parsed for.
func hasRoleError(errs checker.ErrorList) bool {
	for _, e := range errs {
		if e.Path == roleField {
			return true
		}
	}
	return false
}

// roleErrors returns the errors in the role of a file that fits no settings. The other
// fields are not checked, as the role decides which fields there are.
func roleErrors(file string, src []byte) checker.ErrorList {
	var role string
	roles := []string{string(RoleEntry), string(RoleAgent), string(RolePlatform), string(RoleBackend), string(RoleLoad), string(RoleGateway), string(RoleSidecar)}
	errs := checker.Check(file, src, checker.Schema{
		checker.Require(checker.OneOf(roleField, &role, roles, "the role of the process")),
	})
	var kept checker.ErrorList
	for _, e := range errs {
		if e.Path == roleField || strings.HasPrefix(e.Problem, "invalid") {
			kept = append(kept, e)
		}
	}
	return kept
}
