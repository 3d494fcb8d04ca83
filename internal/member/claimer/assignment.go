package claimer

import (
	"encoding/json"
	"net/netip"
	"slices"
	"sort"

	"github.com/pkg/errors"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/member/registrar"
)

// AssignmentKey is the key of the assignment record in the table service.
const AssignmentKey = "assignment"

// Assignment lists the entries and the owner of each partition. It is stored as a
// single record of the table service, so that one read confirms all of it and one
// conditional write changes it.
type Assignment struct {
	Entries    map[identifier.Entry]Member `json:"entries"`
	Partitions []Ownership                 `json:"partitions"`
}

// Member describes an entry that has joined.
type Member struct {
	Incarnation identifier.Incarnation `json:"incarnation"`
	Link        netip.AddrPort         `json:"link"`
	DataCentre  identifier.DataCentre  `json:"data_centre"`
	// Leaving means that the entry is shutting down. It keeps its partitions until
	// other entries claim them.
	Leaving bool `json:"leaving,omitempty"`
}

// Ownership is the owner of a partition and the epoch of its claim. The zero value
// has no owner.
type Ownership struct {
	Owner       identifier.Entry       `json:"owner"`
	Incarnation identifier.Incarnation `json:"incarnation"`
	Epoch       identifier.Epoch       `json:"epoch"`
}

// ParseAssignment decodes an assignment from the value of its record.
func ParseAssignment(value []byte) (Assignment, error) {
	var a Assignment
	err := json.Unmarshal(value, &a)
	return a, errors.Wrap(err, "parse the assignment; restore the record from the table service's history")
}

// Encode returns the assignment as the value of its record.
func (a *Assignment) Encode() ([]byte, error) {
	b, err := json.Marshal(a)
	return b, errors.Wrap(err, "encode the assignment")
}

// EntryNames returns the names of all entries, sorted.
func (a *Assignment) EntryNames() []identifier.Entry {
	names := make([]identifier.Entry, 0, len(a.Entries))
	for name := range a.Entries {
		names = append(names, name)
	}
	sort.Slice(names, func(i, k int) bool { return names[i] < names[k] })
	return names
}

// OwnedBy reports whether the owner is the given incarnation of an entry.
func (o Ownership) OwnedBy(entry identifier.Entry, incarnation identifier.Incarnation) bool {
	return o.Owner == entry && o.Incarnation == incarnation && o.Epoch > 0
}

func (a *Assignment) clone() Assignment {
	b := Assignment{
		Entries:    make(map[identifier.Entry]Member, len(a.Entries)),
		Partitions: slices.Clone(a.Partitions),
	}
	for name, m := range a.Entries {
		b.Entries[name] = m
	}
	return b
}

// Peers returns the names and link addresses of all entries, sorted by name.
func (a *Assignment) Peers() []registrar.Peer {
	var peers []registrar.Peer
	for _, name := range a.EntryNames() {
		peers = append(peers, registrar.Peer{Entry: name, Link: a.Entries[name].Link})
	}
	return peers
}
