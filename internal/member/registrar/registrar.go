// Package registrar holds how agents and entries make themselves known: the
// roster of agents in the table service, and the first messages on a link.
package registrar

import (
	"encoding/json"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
)

// RosterPrefix begins the keys of the roster in the table service.
const RosterPrefix = "agent/"

// ProtocolVersion is the version of the messages between the system's processes.
const ProtocolVersion = 2

// Registration is an agent's record in the roster. An owner sends work only to agents
// that are on the roster, so that whoever takes over knows whom to ask.
type Registration struct {
	Agent       identifier.Agent       `json:"agent"`
	Incarnation identifier.Incarnation `json:"incarnation"`
	DataCentre  identifier.DataCentre  `json:"data_centre"`
	Rack        string                 `json:"rack"`
	Slots       int                    `json:"slots"`
	// Registered is when this incarnation joined, by the agent's clock.
	Registered time.Time `json:"registered"`
	// Replaced is the incarnation whose place it took, zero for none.
	Replaced identifier.Incarnation `json:"replaced,omitempty"`
	// Left is when it left in good order, zero before.
	Left time.Time `json:"left,omitzero"`
}

// RosterKey returns the key of an agent's record.
func RosterKey(agent identifier.Agent) string {
	return RosterPrefix + string(agent)
}

// ParseRegistration reads a member from a record's value.
func ParseRegistration(value []byte) (Registration, error) {
	var m Registration
	err := json.Unmarshal(value, &m)
	return m, errors.Wrap(err, "parse a roster record; delete it and restart its agent")
}

// Encode returns the value of the record.
func (m *Registration) Encode() ([]byte, error) {
	b, err := json.Marshal(m)
	return b, errors.Wrap(err, "encode a roster record")
}

// Hello is the first message on a link, sent by the side that dialled.
type Hello struct {
	_msgpack struct{} `msgpack:",as_array"`

	Version int
	// Entry or Agent is set, according to who dialled.
	Entry       identifier.Entry
	Agent       identifier.Agent
	Incarnation identifier.Incarnation
}

// Welcome answers a Hello.
type Welcome struct {
	_msgpack struct{} `msgpack:",as_array"`

	Version     int
	Entry       identifier.Entry
	Incarnation identifier.Incarnation
}

// Heartbeat keeps a link without other traffic from counting as silent.
type Heartbeat struct {
	_msgpack struct{} `msgpack:",as_array"`
}

// Bye is the last message of a process that leaves. The other side closes the
// link when it has handled all that came before.
type Bye struct {
	_msgpack struct{} `msgpack:",as_array"`
}

// Peers tells an agent which entries there are. Version is that of the
// assignment it was read from; an agent ignores an older one.
type Peers struct {
	_msgpack struct{} `msgpack:",as_array"`

	Version uint64
	Entries []Peer
}

// Peer is an entry to link to.
type Peer struct {
	_msgpack struct{} `msgpack:",as_array"`

	Entry identifier.Entry
	Link  netip.AddrPort
}
