package wire

import (
	"fmt"

	"arbutusstep.example/arbutusstep/internal/talk"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

func encodeRoster(m talk.Roster) *Roster {
	roster := &Roster{Revision: m.Revision, Whole: m.Whole, Entries: make([]*RosterEntry, len(m.Entries))}
	for i, e := range m.Entries {
		roster.Entries[i] = &RosterEntry{Host: string(e.Host), Version: e.Version, Record: e.Record}
	}
	return roster
}

func decodeRoster(r *Roster) (message talk.Message, err error) {
	m := talk.Roster{Revision: r.GetRevision(), Whole: r.GetWhole(), Entries: make([]talk.RosterEntry, len(r.GetEntries()))}
	for i, e := range r.GetEntries() {
		if err = mesh.CheckName(e.GetHost()); err != nil {
			return nil, fmt.Errorf("roster: %w", err)
		}
		m.Entries[i] = talk.RosterEntry{Host: mesh.HostID(e.GetHost()), Version: e.GetVersion(), Record: e.GetRecord()}
	}
	return m, nil
}
