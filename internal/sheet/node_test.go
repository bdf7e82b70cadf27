package sheet_test

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/sheet"
	"arbutusstep.example/arbutusstep/pkg/fleet"
	"arbutusstep.example/arbutusstep/pkg/member"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

const completeNode = `{"host":"lsn-a-1","region":"ch-west","zone":"lsn-a","address":"10.0.0.1:7000","trip":"2ms","linkBytesPerSecond":1000,"storeEra":2,"version":7,` +
	`"beside":{"instance":"i-2","sequence":1,"service":"orders","release":"v2","address":"10.0.1.1:81","state":"ready","slots":8},` +
	`"upstream":{"instance":"i-1","sequence":3,"service":"orders","address":"10.0.0.1:80","state":"ready","slots":9,"coldMilliseconds":1500}}`

func TestDecodeNode(t *testing.T) {
	n, err := sheet.DecodeNode([]byte(completeNode))
	assert.NilError(t, err)
	assert.DeepEqual(t, n, fleet.Node{
		Host: "lsn-a-1", Place: mesh.Place{Region: "ch-west", Zone: "lsn-a"}, Address: netip.MustParseAddrPort("10.0.0.1:7000"),
		PlatformRTT: 2 * time.Millisecond, LinkRate: 1000, StoreEra: 2, Version: 7, Upstream: fleet.Upstream{
			Instance: "i-1", Sequence: 3, Service: "orders", Address: netip.MustParseAddrPort("10.0.0.1:80"),
			State: member.Ready, Slots: 9, ColdRemaining: 1500 * time.Millisecond,
		}, Beside: fleet.Upstream{
			Instance: "i-2", Sequence: 1, Service: "orders", Release: "v2", Address: netip.MustParseAddrPort("10.0.1.1:81"), State: member.Ready, Slots: 8,
		},
	}, cmpopts.EquateComparable(netip.AddrPort{}, time.Time{}))
	encoded, err := sheet.EncodeNode(n)
	assert.NilError(t, err)
	again, err := sheet.DecodeNode(encoded)
	assert.NilError(t, err)
	assert.DeepEqual(t, again, n, cmpopts.EquateComparable(netip.AddrPort{}, time.Time{}))
}

func TestDecodeNodeRejectsOddRecords(t *testing.T) {
	tests := []struct {
		name, old, replacement string
	}{
		{name: "port 0", old: "10.0.0.1:7000", replacement: "10.0.0.1:0"},
		{name: "port 65536", old: "10.0.0.1:7000", replacement: "10.0.0.1:65536"},
		{name: "negative port", old: "10.0.0.1:7000", replacement: "10.0.0.1:-1"},
		{name: "no port", old: "10.0.0.1:7000", replacement: "10.0.0.1"},
		{name: "address of no host", old: "10.0.0.1:7000", replacement: "0.0.0.0:7000"},
		{name: "multicast address", old: "10.0.0.1:7000", replacement: "224.0.0.1:7000"},
		{name: "upstream with port 0", old: "10.0.0.1:80", replacement: "10.0.0.1:0"},
		{name: "upstream with port 65536", old: "10.0.0.1:80", replacement: "10.0.0.1:65536"},
		{name: "slots beyond any number", old: `"slots":9`, replacement: `"slots":1e400`},
		{name: "slots beyond any upstream", old: `"slots":9`, replacement: `"slots":9223372036854775807`},
		{name: "no slots", old: `"slots":9`, replacement: `"slots":0`},
		{name: "negative slots", old: `"slots":9`, replacement: `"slots":-9`},
		{name: "sequence too large", old: `"sequence":3`, replacement: `"sequence":18446744073709551616`},
		{name: "link rate beyond any link", old: `"linkBytesPerSecond":1000`, replacement: `"linkBytesPerSecond":9223372036854775807`},
		{name: "negative link rate", old: `"linkBytesPerSecond":1000`, replacement: `"linkBytesPerSecond":-1`},
		{name: "negative trip", old: `"trip":"2ms"`, replacement: `"trip":"-2ms"`},
		{name: "impossible trip", old: `"trip":"2ms"`, replacement: `"trip":"1ns"`},
		{name: "cold for centuries", old: "1500}", replacement: "9223372036854775807}"},
		{name: "negative cold time", old: "1500}", replacement: "-1}"},
		{name: "unknown state", old: `"ready"`, replacement: `"odd"`},
		{name: "host is a path", old: "lsn-a-1", replacement: "../x"},
		{name: "long host", old: "lsn-a-1", replacement: strings.Repeat("x", 1<<20)},
		{name: "host is null", old: `"lsn-a-1"`, replacement: "null"},
		{name: "upstream is a list", old: `"upstream":{`, replacement: `"upstream":[],"x":{`},
		{name: "very deep", old: `"upstream":{`, replacement: `"x":` + strings.Repeat("[", 1_000_000) + strings.Repeat("]", 1_000_000) + `,"upstream":{`},
		{name: "truncated", old: "1500}}", replacement: ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			data := strings.Replace(completeNode, tt.old, tt.replacement, 1)
			assert.Assert(t, data != completeNode)
			_, err := sheet.DecodeNode([]byte(data))
			assert.Assert(t, err != nil)
		})
	}
}
