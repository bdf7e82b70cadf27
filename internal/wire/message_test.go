package wire

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/ctlmsg"
	"arbutusstep.example/arbutusstep/pkg/member"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/relay"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

var (
	sampleNode    = netip.MustParseAddrPort("10.0.0.1:8081")
	samplePlace   = mesh.Place{Region: "ch-west", Zone: "lsn-a"}
	sampleService = mesh.ServiceID{Customer: "trauerhaus", Service: "notices"}
	sampleRecord  = member.Record{
		Host: "lsn-a-1", ID: sampleService, Place: samplePlace, Node: sampleNode, Relay: "lsn-a-2",
		Stamp: mesh.Stamp{Incarnation: 7, Sequence: 2}, State: member.Ready, Slots: 9, Connections: 110,
	}
	sampleEdit = tree.Edit{Path: "trauerhaus", Key: "timeout", Value: "1s"}
)

// sampleMessages returns valid messages of the tree deployments, as decoding
// returns them.
func sampleMessages() []ctlmsg.Message {
	return []ctlmsg.Message{
		ctlmsg.Hello{Host: "a", Place: samplePlace, Node: sampleNode, Incarnation: 3, Relay: true, WantsAll: true, PlatformReachable: true, ProtocolVersion: ctlmsg.ProtocolVersion},
		ctlmsg.Heartbeat{Upstream: sampleRecord, Version: 9, RefusedVersion: 10, RefusalReason: "no such service"},
		ctlmsg.Heartbeat{Version: 9},
		ctlmsg.ConfigRequest{Version: 9, Chunks: []ctlmsg.ChunkRequest{{Scope: "trauerhaus", Digest: mesh.Digest{1}}, {Scope: ""}}, Services: []mesh.ServiceID{sampleService}, FullChunks: true},
		ctlmsg.Config{Base: 1, Version: 2, RootDigest: mesh.Digest{2}, Chunks: []ctlmsg.ChunkChange{
			{Scope: "trauerhaus", Digest: mesh.Digest{3}, Base: mesh.Digest{4}, Edits: []tree.Edit{sampleEdit, {Path: "trauerhaus", Key: "priority", Unset: true}}},
			{Scope: "a", Removed: true},
			{Scope: "b", Digest: mesh.Digest{5}, DigestOnly: true},
		}},
		ctlmsg.MemberRecords{Records: []member.Record{sampleRecord}, CompleteServices: []mesh.ServiceID{sampleService}},
		ctlmsg.RelayList{Relays: []relay.Relay{{Host: "a", Place: samplePlace, Node: sampleNode}}},
		ctlmsg.MembershipDigests{Services: []ctlmsg.ServiceDigest{{ID: sampleService, Digest: 77}}},
		ctlmsg.RetryLater{After: 3 * time.Second},
		ctlmsg.RelayInvite{Slot: 2},
		ctlmsg.Subscribe{Version: 3, DocumentOnly: true},
		ctlmsg.ReaderHeartbeat{Version: 3, Revision: 4, Era: 2, VersionEra: 1},
		ctlmsg.Document{Version: 3, Compressed: []byte("x"), Era: 2},
		ctlmsg.Roster{Revision: 9, Era: 2, Complete: true, Entries: []ctlmsg.RosterEntry{
			{Host: "a", Version: 5, Era: 2, Written: mesh.StoreTime{Era: 2, Revision: 5}, Record: []byte("x")},
			{Host: "b", Version: 5, Era: 2, Written: mesh.StoreTime{Revision: 7}, Retired: true, Record: []byte("x")},
			{Host: "c", Version: 8, Era: 1, Written: mesh.StoreTime{Era: 1, Revision: 8}, Record: []byte("x")},
		}},
	}
}

func TestControlMessagesRoundTrip(t *testing.T) {
	for _, m := range sampleMessages() {
		data, err := proto.Marshal(EncodeControl(m))
		assert.NilError(t, err)
		var control Control
		assert.NilError(t, proto.Unmarshal(data, &control))
		got, err := DecodeControl(&control)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, m, cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b }))
	}
}

func TestInvalidControlMessagesAreRejected(t *testing.T) {
	tests := []struct {
		name    string
		control *Control
	}{
		{name: "no body", control: &Control{}},
		{name: "hello without an address", control: &Control{Body: &Control_Hello{Hello: &Hello{Host: "a", Region: "r", Zone: "z"}}}},
		{name: "hello with an invalid host name", control: &Control{Body: &Control_Hello{Hello: &Hello{Host: "A_B", Region: "r", Zone: "z", Node: encodeAddress(sampleNode)}}}},
		{name: "record without a stamp", control: &Control{Body: &Control_Beat{Beat: &Beat{Upstream: &Upstream{Host: "a", Customer: "c", Service: "s", Region: "r", Zone: "z", Node: encodeAddress(sampleNode)}}}}},
		{name: "digest of the wrong length", control: &Control{Body: &Control_Config{Config: &Config{Root: []byte{1}}}}},
		{name: "undecodable chunk", control: &Control{Body: &Control_Config{Config: &Config{Chunks: []*ChunkChange{{Content: []byte("x")}}}}}},
		{name: "invalid scope path", control: &Control{Body: &Control_Held{Held: &Held{Scopes: []*ScopeHeld{{Scope: "a/b/c/d/e"}}}}}},
		{name: "record of an era after that of the roster", control: &Control{Body: &Control_Roster{Roster: &Roster{Era: 1, Entries: []*RosterEntry{{Host: "a", Era: 2}}}}}},
		{name: "record written after its era", control: &Control{Body: &Control_Roster{Roster: &Roster{Era: 2, Entries: []*RosterEntry{{Host: "a", Era: 1, WrittenEra: 2}}}}}},
		{name: "relay slot out of range", control: &Control{Body: &Control_Invite{Invite: &Invite{Slot: 1 << 30}}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := DecodeControl(tt.control)
			assert.ErrorContains(t, err, "control message")
		})
	}
}

func FuzzDecodeControl(f *testing.F) {
	for _, m := range sampleMessages() {
		data, err := proto.Marshal(EncodeControl(m))
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var control Control
		if proto.Unmarshal(data, &control) != nil {
			return
		}
		if m, err := DecodeControl(&control); err == nil {
			_, err = DecodeControl(EncodeControl(m))
			assert.NilError(t, err)
		}
	})
}
