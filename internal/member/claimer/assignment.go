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

// AssignmentKey is the key of the assignment in the table service.
const AssignmentKey = "assignment"

// Assignment says which entries there are and which of them owns each partition.
// The whole of it is one record of the table service, so that one read confirms
// everything and one conditional write changes it.
type Assignment struct {
	Entries    map[identifier.Entry]Member `json:"entries"`
	Partitions []Ownership                 `json:"partitions"`
}

// Member is an entry that has joined.
type Member struct {
	Incarnation identifier.Incarnation `json:"incarnation"`
	Link        netip.AddrPort         `json:"link"`
	DataCentre  identifier.DataCentre  `json:"data_centre"`
	// Leaving entries own what they have until another entry claims it.
	Leaving bool `json:"leaving,omitempty"`
}

// Ownership says who owns a partition. The zero value has no owner.
type Ownership struct {
	Owner       identifier.Entry       `json:"owner"`
	Incarnation identifier.Incarnation `json:"incarnation"`
	Epoch       identifier.Epoch       `json:"epoch"`
}

// ParseAssignment reads an assignment from a record's value.
func ParseAssignment(value []byte) (Assignment, error) {
	var a Assignment
	err := json.Unmarshal(value, &a)
	return a, errors.Wrap(err, "parse the assignment; restore the record from the table service's history")
}

// Encode returns the value of the record.
func (a *Assignment) Encode() ([]byte, error) {
	b, err := json.Marshal(a)
	return b, errors.Wrap(err, "encode the assignment")
}

// EntryNames returns the entries in the order of their names.
func (a *Assignment) EntryNames() []identifier.Entry {
	names := make([]identifier.Entry, 0, len(a.Entries))
	for name := range a.Entries {
		names = append(names, name)
	}
	sort.Slice(names, func(i, k int) bool { return names[i] < names[k] })
	return names
}

// OwnedBy reports whether ownership o is that of the named process.
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

// Peers returns the entries to link to, in the order of their names.
func (a *Assignment) Peers() []registrar.Peer {
	var peers []registrar.Peer
	for _, name := range a.EntryNames() {
		peers = append(peers, registrar.Peer{Entry: name, Link: a.Entries[name].Link})
	}
	return peers
}
