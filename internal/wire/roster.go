package wire

import (
	"fmt"

	"arbutusstep.example/arbutusstep/internal/ctlmsg"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

func encodeRoster(m ctlmsg.Roster) *Roster {
	roster := &Roster{Revision: m.Revision, Whole: m.Complete, HasShift: m.HasRollouts, Entries: make([]*RosterEntry, len(m.Entries))}
	for i, e := range m.Entries {
		roster.Entries[i] = &RosterEntry{Host: string(e.Host), Version: e.Version, Record: e.Record}
	}
	return roster
}

func decodeRoster(r *Roster) (message ctlmsg.Message, err error) {
	m := ctlmsg.Roster{Revision: r.GetRevision(), Complete: r.GetWhole(), HasRollouts: r.GetHasShift(), Entries: make([]ctlmsg.RosterEntry, len(r.GetEntries()))}
	for i, e := range r.GetEntries() {
		if err = mesh.CheckName(e.GetHost()); err != nil {
			return nil, fmt.Errorf("roster: %w", err)
		}
		m.Entries[i] = ctlmsg.RosterEntry{Host: mesh.HostID(e.GetHost()), Version: e.GetVersion(), Record: e.GetRecord()}
	}
	return m, nil
}
