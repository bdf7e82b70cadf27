package ctrl

import (
	"slices"
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/ctlmsg"
	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

const (
	// pulseInterval is the time between two pulses on a link.
	pulseInterval = 250 * time.Millisecond
	// libraryVersions bounds the documents that are kept as bases of packings.
	libraryVersions = 4
)

// tell passes versions and records on to the links that asked, and pulses there
// so that their far ends know how fresh this proxy's word is.
type tell struct {
	*cells.Proxy
	forms Codec
	alarm board.Alarm
	// due is the time of the next pulse.
	due time.Time
	// told holds what the far end of each asking link was told.
	told map[cells.LinkID]*toldLink
	// library holds recent documents, the oldest first.
	library []cells.ActiveVersion
	// packed holds packings of the version in force by their base.
	packed map[mesh.Version][]byte
}

// toldLink is what the far end of a link was told.
type toldLink struct {
	version mesh.Version
	// mark is the position in the roster's log, -1 when nothing was told.
	mark int
}

func newTell(set *cells.Proxy, forms Codec) board.Controller {
	t := &tell{
		Proxy: set, forms: forms, told: make(map[cells.LinkID]*toldLink), packed: make(map[mesh.Version][]byte),
	}
	return board.Controller{
		Name:   "tell",
		Reads:  []board.Ref{&set.LinkEvents, &set.ActiveVersion, &set.Roster, &set.PlatformStatus, &set.ReadsPlatform, &t.alarm},
		Writes: []board.Ref{&set.LinkCommands, &set.LogEvents, &t.alarm},
		Step:   t.step,
	}
}

func (t *tell) step(now time.Time) {
	for _, e := range t.LinkEvents.Events() {
		t.event(e)
	}
	t.keep()
	for _, l := range t.links() {
		t.tellVersion(l, t.told[l])
		t.tellRoster(l, t.told[l])
	}
	if now.Before(t.due) || len(t.told) == 0 {
		if len(t.told) > 0 {
			t.alarm.SetIfEarlier(t.due)
		}
		return
	}
	t.pulse()
	t.due = now.Add(pulseInterval)
	t.alarm.SetIfEarlier(t.due)
}

func (t *tell) event(e cells.LinkEvent) {
	if e.Kind == cells.LinkDown {
		delete(t.told, e.Link)
		return
	}
	want, ok := e.Message.(ctlmsg.Subscribe)
	if !ok {
		return
	}
	if told := t.told[e.Link]; told != nil {
		told.version = want.Version
		return
	}
	t.told[e.Link] = &toldLink{version: want.Version, mark: -1}
}

// links lists the links that asked, sorted.
func (t *tell) links() (links []cells.LinkID) {
	for l := range t.told {
		links = append(links, l)
	}
	slices.Sort(links)
	return links
}

// keep adds the version in force to the library.
func (t *tell) keep() {
	held := t.ActiveVersion.Get()
	if held.Plan == nil || len(t.library) > 0 && t.library[len(t.library)-1].Plan.Version() == held.Plan.Version() {
		return
	}
	t.library = append(t.library, held)
	if len(t.library) > libraryVersions {
		t.library = slices.Delete(t.library, 0, 1)
	}
	clear(t.packed)
}

func (t *tell) tellVersion(link cells.LinkID, told *toldLink) {
	held := t.ActiveVersion.Get()
	if held.Plan.Version() <= told.version {
		return
	}
	base, packed, err := t.pack(told.version)
	if err != nil {
		t.LogEvents.Send(cells.LogEvent{Name: "versionPackFailed", Fields: []cells.LogField{
			{Name: "version", Value: uint64(held.Plan.Version())}, {Name: "reason", Value: err.Error()},
		}})
		return
	}
	told.version = held.Plan.Version()
	proxySend(t.Proxy, link, ctlmsg.Document{Version: told.version, Base: base, Compressed: packed})
}

// pack packs the version in force against what the far end holds, if that is
// still known here.
func (t *tell) pack(has mesh.Version) (mesh.Version, []byte, error) {
	base := mesh.Version(0)
	var dictionary []byte
	for _, old := range t.library {
		if has != 0 && old.Plan.Version() == has {
			base, dictionary = has, old.Document
		}
	}
	packed, done := t.packed[base]
	if done {
		return base, packed, nil
	}
	packed, err := t.forms.Compress(t.ActiveVersion.Get().Document, dictionary)
	if err != nil {
		return 0, nil, err
	}
	t.packed[base] = packed
	return base, packed, nil
}

func (t *tell) tellRoster(link cells.LinkID, told *toldLink) {
	roster := t.Roster.Read()
	if !roster.Loaded || told.mark == roster.Position() {
		return
	}
	hosts, known := []mesh.HostID(nil), false
	if told.mark >= 0 {
		hosts, known = roster.ChangedSince(told.mark)
	}
	message := ctlmsg.Roster{Revision: roster.Revision, Complete: !known}
	if !known {
		hosts = roster.Hosts()
	}
	for _, h := range hosts {
		entry, there := roster.Get(h)
		if !there {
			entry.Version = roster.RemovedVersion(h)
		}
		message.Entries = append(message.Entries, ctlmsg.RosterEntry{Host: h, Version: entry.Version, Record: entry.Record})
	}
	told.mark = roster.Position()
	proxySend(t.Proxy, link, message)
}

func (t *tell) pulse() {
	message := ctlmsg.ReaderHeartbeat{
		Version:           t.ActiveVersion.Get().Plan.Version(),
		PlatformReachable: t.ReadsPlatform.Get() && t.PlatformStatus.Get().Reachable && t.ActiveVersion.Get().Plan != nil && t.Roster.Read().Loaded,
	}
	for _, l := range t.links() {
		proxySend(t.Proxy, l, message)
	}
}
