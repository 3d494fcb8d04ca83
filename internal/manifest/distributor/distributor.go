// Package distributor decides how gateways pass manifests on to each other. A gateway
// announces the version that it has, and sends its manifest only to a gateway that asks for
// it, to one at a time: copies of a large manifest to every gateway would fill the network
// link of a small VM. Evacuations are short, so that the announcements hold them.
package distributor

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dandeliongrade/dandeliongrade/internal/manifest/evacuator"
)

const (
	// storePause is how long a gateway waits for the store to return a manifest that another
	// gateway has announced, before it asks that gateway. It is short compared with the time
	// within which a new manifest must be in force.
	storePause = 500 * time.Millisecond
	// firstStorePause is storePause for a gateway without a manifest, which cannot serve.
	firstStorePause = 50 * time.Millisecond
	// transferTimeout bounds the wait for a requested manifest, and for the announcement by
	// which the receiver of a manifest confirms it. A manifest of four thousand routes takes
	// a fifth of it on an idle link of 25 Mbit/s.
	transferTimeout = 500 * time.Millisecond
)

// Distributor holds what a gateway knows of the manifests of the gateways that it is linked
// to. The zero value has no links and no manifest. It is not safe for concurrent use.
type Distributor struct {
	version uint64
	// evacuations holds the rows that go with each announcement.
	evacuations []evacuator.Row
	links       map[LinkID]*link
	// outdatedSince is when a newer version was first announced. It is zero if there is none.
	outdatedSince time.Time
	// asked is the link with an unanswered request of this gateway, or zero.
	asked LinkID
	// queue holds the unanswered requests of other gateways, in order of arrival.
	queue []queuedRequest
	// receiver is the link on which the manifest was last sent, until the receiver confirms
	// it. It is zero if no transfer is under way.
	receiver LinkID
	sentAt   time.Time
}

// link is what a gateway knows of the gateway at the other end of a link.
type link struct {
	// announced is the newest version that it has announced.
	announced uint64
	// askedAt is when it was last asked for a manifest.
	askedAt time.Time
}

type queuedRequest struct {
	from    LinkID
	arrived time.Time
}

// LinkOpened adds a link to another gateway.
func (d *Distributor) LinkOpened(id LinkID) []Effect {
	if d.links == nil {
		d.links = make(map[LinkID]*link)
	}
	d.links[id] = &link{}
	if d.version == 0 && len(d.evacuations) == 0 {
		return nil
	}
	return []Effect{d.announce(id)}
}

// LinkClosed removes a link.
func (d *Distributor) LinkClosed(now time.Time, id LinkID) []Effect {
	delete(d.links, id)
	d.dequeue(id)
	if d.asked == id {
		d.asked = 0
	}
	if d.receiver == id {
		d.receiver = 0
	}
	return d.Tick(now)
}

// Adopted records the version of a manifest that the gateway has adopted.
func (d *Distributor) Adopted(version uint64) []Effect {
	d.version, d.asked = version, 0
	if len(d.newer()) == 0 {
		d.outdatedSince = time.Time{}
	}
	return d.announceToAll()
}

// EvacuationsChanged records the evacuations that the gateway knows after a change, and announces
// them, also if the gateway has no manifest. An announcement never tells a gateway of an older
// manifest, so it can be repeated.
func (d *Distributor) EvacuationsChanged(rows []evacuator.Row) []Effect {
	d.evacuations = rows
	return d.announceToAll()
}

// HandleAnnouncement handles an announcement received on a link.
func (d *Distributor) HandleAnnouncement(now time.Time, id LinkID, m *Announcement) []Effect {
	l := d.links[id]
	if l == nil {
		return nil
	}
	l.announced = max(l.announced, m.Version)
	if l.announced >= d.version {
		d.dequeue(id)
		if d.receiver == id {
			d.receiver = 0
		}
	}
	if l.announced > d.version && d.outdatedSince.IsZero() {
		d.outdatedSince = now
	}
	return d.Tick(now)
}

// HandleRequest handles a request received on a link. The manifest is sent at once if no
// other transfer is under way.
func (d *Distributor) HandleRequest(now time.Time, id LinkID, m *Request) []Effect {
	if d.links[id] == nil || m.Have >= d.version {
		return nil
	}
	d.dequeue(id)
	d.queue = append(d.queue, queuedRequest{id, now})
	return d.Tick(now)
}

// Tick asks for a newer manifest, and sends the manifest to the next gateway that has asked
// for it, when they are due.
func (d *Distributor) Tick(now time.Time) []Effect {
	return append(d.requestNewer(now), d.sendNext(now)...)
}

// requestNewer asks a gateway for a newer manifest if the store has not returned it in time.
// The gateway that was asked longest ago is next, so that one that does not answer does not
// hold up the others.
func (d *Distributor) requestNewer(now time.Time) []Effect {
	newer := d.newer()
	if len(newer) == 0 {
		return nil
	}
	pause := storePause
	if d.version == 0 {
		pause = firstStorePause
	}
	if now.Before(d.outdatedSince.Add(pause)) {
		return nil
	}
	if asked := d.links[d.asked]; asked != nil && now.Before(asked.askedAt.Add(transferTimeout)) {
		return nil
	}
	d.asked = slices.MinFunc(newer, func(a, b LinkID) int {
		return cmp.Or(d.links[a].askedAt.Compare(d.links[b].askedAt), cmp.Compare(a, b))
	})
	d.links[d.asked].askedAt = now
	return []Effect{Send{d.asked, &Request{Have: d.version}}}
}

// newer returns the links on which a newer version than the present one was announced.
func (d *Distributor) newer() []LinkID {
	var ids []LinkID
	for id, l := range d.links {
		if l.announced > d.version {
			ids = append(ids, id)
		}
	}
	return ids
}

// sendNext sends the manifest to the gateway whose request arrived first, unless a transfer is
// under way. It drops requests that have timed out at their senders.
func (d *Distributor) sendNext(now time.Time) []Effect {
	if d.receiver != 0 && now.Before(d.sentAt.Add(transferTimeout)) {
		return nil
	}
	d.receiver = 0
	for len(d.queue) > 0 {
		next := d.queue[0]
		d.queue = d.queue[1:]
		if now.Before(next.arrived.Add(transferTimeout)) {
			d.receiver, d.sentAt = next.from, now
			return []Effect{SendManifest{next.from}}
		}
	}
	return nil
}

// dequeue removes the request of a link.
func (d *Distributor) dequeue(id LinkID) {
	d.queue = slices.DeleteFunc(d.queue, func(r queuedRequest) bool { return r.from == id })
}

// announceToAll returns an announcement for each link.
func (d *Distributor) announceToAll() []Effect {
	var effects []Effect
	for _, id := range slices.Sorted(maps.Keys(d.links)) {
		effects = append(effects, d.announce(id))
	}
	return effects
}

// announce returns an announcement of the present version and evacuations.
func (d *Distributor) announce(id LinkID) Effect {
	return Send{id, &Announcement{Version: d.version, Evacuations: d.evacuations}}
}
