package ctrl

import (
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/pkg/member"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// TestOddRecordCostsItselfAlone has another writer replace or add a record. The other
// records must stay in use, later versions must come into force, and a proxy whose
// record was replaced must write it again without a series of failed writes.
func TestOddRecordCostsItselfAlone(t *testing.T) {
	const proxies, victim = 8, "n05"
	tests := []struct {
		name, record string
		object       cells.Object
		// restored is true if the record belongs to a running proxy.
		restored bool
	}{
		{name: "record of a running proxy cannot be decoded", record: victim, object: cells.Object{Value: []byte("odd")}, restored: true},
		{name: "object of a running proxy cannot be decoded", record: victim, object: cells.Object{Malformed: errors.New("revision 1e400")}, restored: true},
		{name: "record of an unknown host", record: "n77", object: cells.Object{Value: []byte("odd")}},
		{name: "name that no host can have", record: strings.Repeat("x", 1<<20), object: cells.Object{Value: []byte("odd")}},
		{name: "no name", object: cells.Object{Malformed: errors.New("name is a number")}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t, proxies)
			s.advance(4 * time.Second)
			s.reportAll(1)
			s.advance(time.Second)
			written := s.write(cells.RecordObjects, tt.record, nil)
			tt.object.Name, tt.object.Version = written.Name, written.Version
			s.objects[cells.RecordObjects][tt.record] = tt.object
			s.advance(time.Second)
			writes := s.revision - written.Version
			if tt.restored {
				assert.Equal(t, writes, uint64(1))
				_, err := testCodec{}.DecodeNode(s.objects[cells.RecordObjects][tt.record].Value)
				assert.NilError(t, err)
			}
			s.reportAll(2)
			s.write(cells.VersionObjects, "main", []byte("2"))
			s.advance(applyDeadline)
			assert.DeepEqual(t, s.hostsBehind(2), []mesh.HostID(nil))
			for _, p := range s.proxies {
				assert.Equal(t, len(p.cells.Snapshot.Load().CandidateSets["orders"].Candidates()), proxies, "at %s", p.host)
			}
		})
	}
}

// reportAll sends a report of each proxy's upstream.
func (s *sim) reportAll(sequence uint64) {
	for _, p := range s.proxies {
		s.report(p, sequence, member.Ready, sequence)
	}
}

// TestConflictWithoutNewerObjectIsRetriedLater covers an object of which the platform
// tells neither the revision nor the content, so that every write conflicts.
func TestConflictWithoutNewerObjectIsRetriedLater(t *testing.T) {
	s := newSim(t, 4)
	s.advance(4 * time.Second)
	p := s.proxies[3]
	commands := 0
	p.cells.ObjectCommands.Handle = func(c cells.ObjectCommand) {
		if c.Action == cells.PutRecord {
			commands++
			s.pending = append(s.pending, func() {
				p.cells.ObjectEvents.Post(cells.ObjectEvent{
					Action: c.Action, Kind: c.Kind, Command: c, Result: cells.StoreConflict,
					Current: cells.Object{Name: string(p.host), Version: c.Version, Malformed: errors.New("odd")},
				})
			})
		}
	}
	s.report(p, 1, member.Ready, 1)
	s.advance(5 * time.Second)
	assert.Assert(t, commands > 1 && commands <= 20, "%d", commands)
}
