package tree_test

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "7")
	flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func ExampleTree_EffectiveSettings() {
	t, err := (*tree.Tree)(nil).Apply([]tree.Edit{
		{Path: "trauerhaus", Key: "timeout", Value: "4s"},
		{Path: "trauerhaus/ch-west/archive", Key: "priority", Value: "low"},
	})
	if err != nil {
		panic(err)
	}
	effective, err := t.EffectiveSettings("trauerhaus/ch-west/archive")
	if err != nil {
		panic(err)
	}
	fmt.Println(effective.Settings.Timeout, effective.Settings.Priority, effective.Settings.MaxAttempts)
	// Output: 4s low 3
}

var (
	somePaths  = []tree.Path{"", "a", "a/x", "a/x/s", "a/x/t", "a/y", "a/y/s", "b", "b/x", "b/x/s"}
	someValues = map[tree.Key][]string{
		"description":      {"", "one", "two"},
		"timeout":          {"1s", "2s", "1m"},
		"priority":         {"low", "urgent"},
		"retry.attempts":   {"1", "2"},
		"remote":           {"allow", "deny"},
		"routes.r.once":    {"true", "false"},
		"routes.r.timeout": {"1s", "2s"},
	}
)

// someEdits draws edits that are valid but may be of the same key.
func someEdits(keys ...tree.Key) *rapid.Generator[[]tree.Edit] {
	if len(keys) == 0 {
		keys = slices.Sorted(maps.Keys(someValues))
	}
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) tree.Edit {
		e := tree.Edit{
			Path:  rapid.SampledFrom(somePaths).Draw(t, "path"),
			Key:   rapid.SampledFrom(keys).Draw(t, "key"),
			Unset: rapid.IntRange(0, 3).Draw(t, "unset") == 0,
		}
		if !e.Unset {
			e.Value = rapid.SampledFrom(someValues[e.Key]).Draw(t, "value")
		}
		return e
	}), 1, 12)
}

// place names a value in the naive model, which is one flat map.
type place struct {
	path tree.Path
	key  tree.Key
}

type flat map[place]string

func (f flat) apply(edits []tree.Edit) flat {
	f = maps.Clone(f)
	for _, e := range edits {
		if e.Unset {
			delete(f, place{e.Path, e.Key})
		} else {
			f[place{e.Path, e.Key}] = e.Value
		}
	}
	return f
}

func flatOf(t *tree.Tree) flat {
	f := flat{}
	for _, s := range t.Scopes() {
		f = f.apply(t.Chunk(s).Values())
	}
	return f
}

func mustApply(t assert.TestingT, from *tree.Tree, edits []tree.Edit) *tree.Tree {
	next, err := from.Apply(edits)
	assert.NilError(t, err)
	return next
}

func TestApplyAndDiffAgreeWithAFlatMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := someEdits().Draw(t, "first"), someEdits().Draw(t, "second")
		a := mustApply(t, nil, first)
		b := mustApply(t, a, second)
		assert.DeepEqual(t, flatOf(a), flat{}.apply(first))
		assert.DeepEqual(t, flatOf(b), flat{}.apply(first).apply(second))
		assert.DeepEqual(t, flatOf(a).apply(tree.Diff(a, b)), flatOf(b))
		again := mustApply(t, a, tree.Diff(a, b))
		assert.Equal(t, again.Manifest(1).RootDigest(), b.Manifest(1).RootDigest())
		assert.Equal(t, len(tree.Diff(b, again)), 0)
		touched := map[tree.Path]bool{}
		for _, e := range second {
			touched[e.Path.Scope()] = true
		}
		for _, s := range a.Scopes() {
			assert.Assert(t, touched[s] || a.Chunk(s) == b.Chunk(s), "chunk of %s is shared", s)
		}
	})
}

func TestChunkSurvivesItsEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole := mustApply(t, nil, someEdits().Draw(t, "edits"))
		chunks := map[tree.Path]*tree.Chunk{"ignored": {}}
		for _, s := range whole.Scopes() {
			chunk, err := tree.DecodeChunk(whole.Chunk(s).Encode())
			assert.NilError(t, err)
			assert.Equal(t, chunk.Digest(), whole.Chunk(s).Digest())
			chunks[s] = chunk
		}
		assert.DeepEqual(t, flatOf(tree.New(chunks)), flatOf(whole))
	})
}

func FuzzDecodeChunk(f *testing.F) {
	t := mustApply(f, nil, []tree.Edit{
		{Path: "a/x", Key: "timeout", Value: "1s"}, {Path: "a/x/s", Key: "routes.r.path", Value: "/"}, {Path: "a/x/t", Key: "priority", Value: "low"},
	})
	f.Add(t.Chunk("a/x").Encode())
	f.Add((&tree.Chunk{}).Encode())
	f.Fuzz(func(t *testing.T, data []byte) {
		chunk, err := tree.DecodeChunk(data)
		if err != nil {
			return
		}
		assert.Equal(t, string(chunk.Encode()), string(data))
		patched, err := (*tree.Chunk)(nil).Patch(chunk.Values())
		assert.NilError(t, err)
		assert.Equal(t, patched.Digest(), chunk.Digest())
	})
}

func TestMalformedIsRefused(t *testing.T) {
	many := make([]tree.Edit, 0, 400)
	for i := range cap(many) {
		many = append(many, tree.Edit{Path: "a", Key: tree.Key(fmt.Sprintf("k%d", i)), Value: strings.Repeat("x", tree.MaxValueLength)})
	}
	crowd := make([]tree.Edit, 0, tree.MaxScopes+1)
	for i := range cap(crowd) {
		crowd = append(crowd, tree.Edit{Path: tree.Path(fmt.Sprint("c", i)), Key: "timeout", Value: "1s"})
	}
	tests := []struct {
		name  string
		edits []tree.Edit
		want  string
	}{
		{"four names", []tree.Edit{{Path: "a/b/c/d", Key: "timeout"}}, "more than 3 names"},
		{"empty name", []tree.Edit{{Path: "a//c", Key: "timeout"}}, "must be lower-case"},
		{"leading slash", []tree.Edit{{Path: "/a", Key: "timeout"}}, "no leading slash"},
		{"space in a key", []tree.Edit{{Key: "time out"}}, "camelCase"},
		{"empty key", []tree.Edit{{}}, "camelCase"},
		{"empty word in a key", []tree.Edit{{Key: "a..b"}}, "camelCase"},
		{"key that ends with a dot", []tree.Edit{{Key: "a."}}, "camelCase"},
		{"digit before a word", []tree.Edit{{Key: "a.1b"}}, "camelCase"},
		{"long key", []tree.Edit{{Key: tree.Key(strings.Repeat("a", 129))}}, "key has size 129"},
		{"long value", []tree.Edit{{Key: "k", Value: strings.Repeat("a", 1025)}}, "value has size 1025"},
		{"control character", []tree.Edit{{Key: "k", Value: "a\nb"}}, "control characters"},
		{"not UTF-8", []tree.Edit{{Key: "k", Value: "\xff"}}, "not UTF-8"},
		{"unset with a value", []tree.Edit{{Key: "k", Value: "a", Unset: true}}, "is unset and has a value"},
		{"chunk too large", many, "chunk has size"},
		{"too many scopes", crowd, "tree has size 2049"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := (&tree.Tree{}).Apply(tt.edits)
			assert.ErrorContains(t, err, tt.want)
		})
	}
	for _, data := range []string{"", "\x02", "\x01\x01", "\x01\x03a/x\x03s/t\x01\x01k\x00", "\x01\x01a\x01s\x01\x01k\x00", "\x01\x01a\x00\x01\x01K\x00", "\x01\x05a/x/s\x00\x01\x01k\x00", "\x01\x01a"} {
		_, err := tree.DecodeChunk([]byte(data))
		assert.ErrorContains(t, err, "decode chunk", "%q", data)
	}
	_, err := (*tree.Chunk)(nil).Patch([]tree.Edit{{Path: "a", Key: "k"}, {Path: "b", Key: "k"}})
	assert.ErrorContains(t, err, "outside of the scope")
}

func TestPathTellsItsParts(t *testing.T) {
	tests := []struct {
		text          string
		level         tree.Level
		parent, scope tree.Path
		customer      mesh.Customer
		region        mesh.Region
		service       mesh.Service
	}{
		{"/", tree.RootLevel, "", "", "", "", ""},
		{"a", tree.CustomerLevel, "", "a", "a", "", ""},
		{"/a/x", tree.RegionLevel, "a", "a/x", "a", "x", ""},
		{"a/x/s", tree.ServiceLevel, "a/x", "a/x", "a", "x", "s"},
	}
	for _, tt := range tests {
		t.Run(tt.text, func(t *testing.T) {
			p, err := tree.ParsePath(tt.text)
			assert.NilError(t, err)
			assert.Equal(t, p.Level(), tt.level)
			assert.Equal(t, p.Parent(), tt.parent)
			assert.Equal(t, p.Scope(), tt.scope)
			assert.Equal(t, p.Customer(), tt.customer)
			assert.Equal(t, p.Region(), tt.region)
			assert.Equal(t, p.Service(), tt.service)
			assert.Equal(t, tree.Join(tt.customer, tt.region, tt.service), p)
		})
	}
}

func TestTreeListsItsNodes(t *testing.T) {
	edits := make([]tree.Edit, 0, len(somePaths))
	for _, p := range somePaths {
		edits = append(edits, tree.Edit{Path: p, Key: "timeout", Value: "1s"})
	}
	whole := mustApply(t, nil, edits)
	assert.DeepEqual(t, whole.Scopes(), []tree.Path{"", "a", "a/x", "a/y", "b", "b/x"})
	assert.DeepEqual(t, whole.Customers(), []mesh.Customer{"a", "b"})
	assert.DeepEqual(t, whole.Regions("a"), []mesh.Region{"x", "y"})
	assert.DeepEqual(t, whole.Services("a", "x"), []mesh.Service{"s", "t"})
	assert.Equal(t, len(whole.Services("a", "")), 0)
	assert.DeepEqual(t, whole.Values("a/x/t"), []tree.Edit{{Path: "a/x/t", Key: "timeout", Value: "1s"}})
}

func TestRootDigestCoversVersionAndChunks(t *testing.T) {
	a := mustApply(t, nil, []tree.Edit{{Path: "a", Key: "timeout", Value: "1s"}})
	b := mustApply(t, nil, []tree.Edit{{Path: "a", Key: "timeout", Value: "2s"}})
	roots := map[mesh.Digest]bool{a.Manifest(1).RootDigest(): true, a.Manifest(2).RootDigest(): true, b.Manifest(1).RootDigest(): true}
	assert.Equal(t, len(roots), 3)
}

func BenchmarkValidate(b *testing.B) {
	whole := largeTree(b)
	b.ReportAllocs()
	for b.Loop() {
		if faults := whole.Validate(); len(faults) > 0 {
			b.Fatal(faults)
		}
	}
}

func BenchmarkValidateIncremental(b *testing.B) {
	valid := largeTree(b)
	whole := mustApply(b, valid, []tree.Edit{{Path: "c3/r1/s7", Key: "timeout", Value: "1s"}})
	b.ReportAllocs()
	for b.Loop() {
		if faults := whole.ValidateIncremental(valid); len(faults) > 0 {
			b.Fatal(faults)
		}
	}
}

func BenchmarkDecodeChunk(b *testing.B) {
	data := largeTree(b).Chunk("c3/r1").Encode()
	b.SetBytes(int64(len(data)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := tree.DecodeChunk(data); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkApplyOneEdit(b *testing.B) {
	whole := largeTree(b)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		mustApply(b, whole, []tree.Edit{{Path: "c3/r1/s7", Key: "timeout", Value: fmt.Sprintf("%dms", 1+i%1000)}})
	}
}

// largeTree has the 870 services of the two-year size in 5 regions, for 29
// customers of 30 services with a route each.
func largeTree(t assert.TestingT) *tree.Tree {
	edits := make([]tree.Edit, 0, 29*5*30*4)
	for c := range 29 {
		for r := range 5 {
			for s := range 30 {
				path := tree.Path(fmt.Sprintf("c%d/r%d/s%d", c, r, s))
				edits = append(edits,
					tree.Edit{Path: path, Key: "description", Value: "a service"},
					tree.Edit{Path: path, Key: "timeout", Value: "3s"},
					tree.Edit{Path: path, Key: "routes.own.path", Value: fmt.Sprintf("/s%d", s)},
					tree.Edit{Path: path, Key: "routes.own.methods", Value: "GET,POST"})
			}
		}
	}
	return mustApply(t, nil, edits)
}
