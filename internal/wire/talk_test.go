package wire

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/talk"
	"arbutusstep.example/arbutusstep/pkg/member"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/relay"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

var (
	talkNode   = netip.MustParseAddrPort("10.0.0.1:8081")
	talkPlace  = mesh.Place{Region: "ch-west", Zone: "lsn-a"}
	talkID     = mesh.ServiceID{Customer: "trauerhaus", Service: "notices"}
	talkRecord = member.Record{
		Host: "lsn-a-1", ID: talkID, Place: talkPlace, Node: talkNode, Relay: "lsn-a-2",
		Stamp: mesh.Stamp{Incarnation: 7, Sequence: 2}, State: member.Ready, Slots: 9, Connections: 110,
	}
	talkEdit = tree.Edit{Path: "trauerhaus", Key: "timeout", Value: "1s"}
)

// talkMessages lists a message of each kind, in the form that decoding gives.
func talkMessages() []talk.Message {
	return []talk.Message{
		talk.Hello{Host: "a", Place: talkPlace, Node: talkNode, Incarnation: 3, Relay: true, Whole: true, Reached: true, Protocol: talk.Protocol},
		talk.Beat{Upstream: talkRecord, Version: 9, Refused: 10, Reason: "no such service"},
		talk.Beat{Version: 9},
		talk.Held{Version: 9, Scopes: []talk.Scope{{Path: "trauerhaus", Digest: mesh.Digest{1}}, {Path: ""}}, Services: []mesh.ServiceID{talkID}, Reset: true},
		talk.Config{Base: 1, Version: 2, Root: mesh.Digest{2}, Chunks: []talk.ChunkChange{
			{Scope: "trauerhaus", Digest: mesh.Digest{3}, Base: mesh.Digest{4}, Edits: []tree.Edit{talkEdit, {Path: "trauerhaus", Key: "priority", Unset: true}}},
			{Scope: "a", Removed: true},
			{Scope: "b", Digest: mesh.Digest{5}, DigestOnly: true},
		}},
		talk.Members{Records: []member.Record{talkRecord}, Complete: []mesh.ServiceID{talkID}},
		talk.Relays{Relays: []relay.Relay{{Host: "a", Place: talkPlace, Node: talkNode}}},
		talk.Digests{Services: []talk.ServiceDigest{{ID: talkID, Digest: 77}}},
		talk.Later{After: 3 * time.Second},
		talk.Invite{Slot: 2},
	}
}

func TestTalkComesBackAsItWasSent(t *testing.T) {
	for _, m := range talkMessages() {
		data, err := proto.Marshal(EncodeTalk(m))
		assert.NilError(t, err)
		var control Control
		assert.NilError(t, proto.Unmarshal(data, &control))
		got, err := DecodeTalk(&control)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, m, cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b }))
	}
}

func TestBrokenTalkIsRefused(t *testing.T) {
	tests := []struct {
		name    string
		control *Control
	}{
		{name: "no body", control: &Control{}},
		{name: "hello without an address", control: &Control{Body: &Control_Hello{Hello: &Hello{Host: "a", Region: "r", Zone: "z"}}}},
		{name: "hello with a bad name", control: &Control{Body: &Control_Hello{Hello: &Hello{Host: "A_B", Region: "r", Zone: "z", Node: encodeAddress(talkNode)}}}},
		{name: "record without a stamp", control: &Control{Body: &Control_Beat{Beat: &Beat{Upstream: &Upstream{Host: "a", Customer: "c", Service: "s", Region: "r", Zone: "z", Node: encodeAddress(talkNode)}}}}},
		{name: "digest of the wrong length", control: &Control{Body: &Control_Config{Config: &Config{Root: []byte{1}}}}},
		{name: "chunk that is no chunk", control: &Control{Body: &Control_Config{Config: &Config{Chunks: []*ChunkChange{{Content: []byte("x")}}}}}},
		{name: "scope that is no path", control: &Control{Body: &Control_Held{Held: &Held{Scopes: []*ScopeHeld{{Scope: "a/b/c/d/e"}}}}}},
		{name: "slot out of bounds", control: &Control{Body: &Control_Invite{Invite: &Invite{Slot: 1 << 30}}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := DecodeTalk(tt.control)
			assert.ErrorContains(t, err, "control message")
		})
	}
}

func FuzzDecodeTalk(f *testing.F) {
	for _, m := range talkMessages() {
		data, err := proto.Marshal(EncodeTalk(m))
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var control Control
		if proto.Unmarshal(data, &control) != nil {
			return
		}
		if m, err := DecodeTalk(&control); err == nil {
			_, err = DecodeTalk(EncodeTalk(m))
			assert.NilError(t, err)
		}
	})
}
