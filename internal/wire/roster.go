package wire

import (
	"fmt"

	"arbutusstep.example/arbutusstep/internal/ctlmsg"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

func encodeRoster(m ctlmsg.Roster) *Roster {
	roster := &Roster{Revision: m.Revision, Era: m.Era, Whole: m.Complete, HasShift: m.HasRollouts, Entries: make([]*RosterEntry, len(m.Entries))}
	for i, e := range m.Entries {
		entry := &RosterEntry{Host: string(e.Host), Version: e.Version, Era: e.Era, Retired: e.Retired, Record: e.Record}
		if e.Written != (mesh.StoreTime{Era: e.Era, Revision: e.Version}) {
			entry.WrittenEra, entry.WrittenRevision = e.Written.Era, e.Written.Revision
		}
		roster.Entries[i] = entry
	}
	return roster
}

func decodeRoster(r *Roster) (message ctlmsg.Message, err error) {
	m := ctlmsg.Roster{Revision: r.GetRevision(), Era: r.GetEra(), Complete: r.GetWhole(), HasRollouts: r.GetHasShift(), Entries: make([]ctlmsg.RosterEntry, len(r.GetEntries()))}
	for i, e := range r.GetEntries() {
		if err = mesh.CheckName(e.GetHost()); err != nil {
			return nil, fmt.Errorf("roster: %w", err)
		}
		if e.GetEra() > r.GetEra() || e.GetWrittenEra() > e.GetEra() {
			return nil, fmt.Errorf("roster of era %d: record of %s of era %d, written in era %d", r.GetEra(), e.GetHost(), e.GetEra(), e.GetWrittenEra())
		}
		entry := ctlmsg.RosterEntry{Host: mesh.HostID(e.GetHost()), Version: e.GetVersion(), Era: e.GetEra(), Retired: e.GetRetired(), Record: e.GetRecord()}
		entry.Written = mesh.StoreTime{Era: e.GetWrittenEra(), Revision: e.GetWrittenRevision()}
		if entry.Written == (mesh.StoreTime{}) {
			entry.Written = mesh.StoreTime{Era: e.GetEra(), Revision: e.GetVersion()}
		}
		m.Entries[i] = entry
	}
	return m, nil
}
