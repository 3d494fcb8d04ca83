// Package registrar defines how processes register and introduce themselves: the roster of
// agents in the table service, and the messages that set up, keep and end a link.
package registrar

import (
	"encoding/json"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
)

// RosterPrefix is the prefix of the keys of the roster in the table service.
const RosterPrefix = "agent/"

// ProtocolVersion is the version of the link protocol. Processes with different versions
// do not link.
const ProtocolVersion = 8

// Registration is the record of an agent on the roster. Owners send tasks only to agents
// on the roster, so that an entry that takes over partitions knows which agents to seal.
type Registration struct {
	Agent       identifier.Agent       `json:"agent"`
	Incarnation identifier.Incarnation `json:"incarnation"`
	DataCentre  identifier.DataCentre  `json:"data_centre"`
	Rack        string                 `json:"rack"`
	Slots       int                    `json:"slots"`
	// Registered is when this incarnation joined, by the agent's clock.
	Registered time.Time `json:"registered"`
	// Replaced is the incarnation that this one replaced, or zero for none.
	Replaced identifier.Incarnation `json:"replaced,omitempty"`
	// Left is when this incarnation left gracefully, or zero before.
	Left time.Time `json:"left,omitzero"`
}

// RosterKey returns the key of an agent's record on the roster.
func RosterKey(agent identifier.Agent) string {
	return RosterPrefix + string(agent)
}

// ParseRegistration decodes a registration from the value of its record.
func ParseRegistration(value []byte) (Registration, error) {
	var r Registration
	err := json.Unmarshal(value, &r)
	return r, errors.Wrap(err, "parse a roster record; delete the record and restart its agent")
}

// Encode returns the registration as the value of its record.
func (r *Registration) Encode() ([]byte, error) {
	b, err := json.Marshal(r)
	return b, errors.Wrap(err, "encode a roster record")
}

// Hello is the first message on a link. It is sent by the process that dialled.
type Hello struct {
	_msgpack struct{} `msgpack:",as_array"`

	Version int
	// Entry is the name of an entry or gateway that dialled, and Agent that of an agent
	// or sidecar. The other one is empty.
	Entry       identifier.Entry
	Agent       identifier.Agent
	Incarnation identifier.Incarnation
	// Link numbers the links of one incarnation of a sidecar, which the other side may register in
	// another order. It is zero for other processes.
	Link uint64
}

// Welcome is the reply to a Hello.
type Welcome struct {
	_msgpack struct{} `msgpack:",as_array"`

	Version int
	// Entry is the name of the entry or gateway that was dialled.
	Entry       identifier.Entry
	Incarnation identifier.Incarnation
}

// Heartbeat is sent on a link without other traffic, which would be closed for its silence
// otherwise.
type Heartbeat struct {
	_msgpack struct{} `msgpack:",as_array"`
}

// Bye is the last message of a process that leaves. The other side closes the link once it
// has handled all earlier messages.
type Bye struct {
	_msgpack struct{} `msgpack:",as_array"`
}

// Peers lists all entries to an agent. Version is the version of the assignment that the
// list was read from. An agent ignores a list that is not newer than the last one.
type Peers struct {
	_msgpack struct{} `msgpack:",as_array"`

	Version uint64
	Entries []Peer
}

// Peer is a process to link to.
type Peer struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Entry is empty for a gateway, whose name is known only from its Welcome.
	Entry identifier.Entry
	Link  netip.AddrPort
}
