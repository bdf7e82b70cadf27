package jscan_test

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/jscan"
)

// deep is an array in an array, and so on, with more levels than any decoder accepts.
var deep = strings.Repeat("[", 1_000_000) + strings.Repeat("]", 1_000_000)

func TestArray(t *testing.T) {
	tests := []struct {
		name, data string
		want       []string
		invalid    bool
	}{
		{name: "empty", data: " [ ] "},
		{name: "null", data: "null"},
		{name: "scalars", data: `[1, "a\"]", true ,null,1e400]`, want: []string{"1", `"a\"]"`, "true", "null", "1e400"}},
		{name: "nested", data: `[{"a":[1,{"b":"}"}]},[[]]]`, want: []string{`{"a":[1,{"b":"}"}]}`, "[[]]"}},
		{name: "very deep", data: `[1,` + deep + `,2]`, want: []string{"1", deep, "2"}},
		{name: "invalid UTF-8", data: "[\"\xff\",1]", want: []string{"\"\xff\"", "1"}},
		{name: "no array", data: `{"a":1}`, invalid: true},
		{name: "nothing", data: "", invalid: true},
		{name: "not closed", data: "[1", want: []string{"1"}, invalid: true},
		{name: "string not closed", data: `["a]`, invalid: true},
		{name: "no comma", data: "[1 2]", want: []string{"1"}, invalid: true},
		{name: "trailing comma", data: "[1,]", want: []string{"1"}, invalid: true},
		{name: "more after the end", data: "[1]x", want: []string{"1"}, invalid: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var elements []string
			err := jscan.Array([]byte(tt.data), func(value []byte) error {
				elements = append(elements, string(value))
				return nil
			})
			assert.Equal(t, errors.Is(err, jscan.ErrSyntax), tt.invalid)
			assert.Equal(t, strings.Join(elements, "|") == strings.Join(tt.want, "|"), true)
		})
	}
}

func TestObject(t *testing.T) {
	tests := []struct {
		name, data, want string
		invalid          bool
	}{
		{name: "empty", data: "{}"},
		{name: "null", data: "null"},
		{name: "members", data: ` { "a" : 1 , "b\u0063":{"x":[]} , "a":"2"} `, want: `a=1;bc={"x":[]};a="2";`},
		{name: "number as name", data: "{1:2}", invalid: true},
		{name: "no colon", data: `{"a" 1}`, invalid: true},
		{name: "no value", data: `{"a":}`, invalid: true},
		{name: "not closed", data: `{"a":1`, want: "a=1;", invalid: true},
		{name: "an array", data: "[]", invalid: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			members := ""
			err := jscan.Object([]byte(tt.data), func(name string, value []byte) error {
				members += name + "=" + string(value) + ";"
				return nil
			})
			assert.Equal(t, errors.Is(err, jscan.ErrSyntax), tt.invalid)
			assert.Equal(t, members, tt.want)
		})
	}
}

func TestCheckDepth(t *testing.T) {
	tests := []struct {
		name, data string
		want       error
	}{
		{name: "at the limit", data: `{"a":[1,"[[["]}`},
		{name: "above the limit", data: `{"a":[[1]]}`, want: jscan.ErrDepth},
		{name: "wide", data: "[[],[],[]]"},
		{name: "very deep", data: deep, want: jscan.ErrDepth},
		{name: "string not closed", data: `["`, want: jscan.ErrSyntax},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Assert(t, errors.Is(jscan.CheckDepth([]byte(tt.data), 2), tt.want))
		})
	}
}

// FuzzArray compares the elements with those that encoding/json finds.
func FuzzArray(f *testing.F) {
	for _, seed := range []string{`[1,"a",{"b":[null]}]`, "[]", " null", `["\u0000\\"]`, "[1,]", "[{]", "[\"\xff\"]"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var elements []json.RawMessage
		err := jscan.Array(data, func(value []byte) error {
			elements = append(elements, value)
			return nil
		})
		var want []json.RawMessage
		if json.Unmarshal(data, &want) != nil {
			return
		}
		assert.NilError(t, err)
		assert.Equal(t, len(elements), len(want))
		for i := range want {
			assert.Equal(t, string(elements[i]), string(want[i]))
		}
	})
}
