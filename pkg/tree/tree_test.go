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
	samplePaths  = []tree.Path{"", "a", "a/x", "a/x/s", "a/x/t", "a/y", "a/y/s", "b", "b/x", "b/x/s"}
	sampleValues = map[tree.Key][]string{
		"description":      {"", "one", "two"},
		"timeout":          {"1s", "2s", "1m"},
		"priority":         {"low", "urgent"},
		"retry.attempts":   {"1", "2"},
		"remote":           {"allow", "deny"},
		"routes.r.once":    {"true", "false"},
		"routes.r.timeout": {"1s", "2s"},
	}
)

// drawEdits generates valid edits, several of which may have the same key.
func drawEdits(keys ...tree.Key) *rapid.Generator[[]tree.Edit] {
	if len(keys) == 0 {
		keys = slices.Sorted(maps.Keys(sampleValues))
	}
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) tree.Edit {
		e := tree.Edit{
			Path:  rapid.SampledFrom(samplePaths).Draw(t, "path"),
			Key:   rapid.SampledFrom(keys).Draw(t, "key"),
			Unset: rapid.IntRange(0, 3).Draw(t, "unset") == 0,
		}
		if !e.Unset {
			e.Value = rapid.SampledFrom(sampleValues[e.Key]).Draw(t, "value")
		}
		return e
	}), 1, 12)
}

// settingID identifies a value in flatTree.
type settingID struct {
	path tree.Path
	key  tree.Key
}

// flatTree is a simple model of a tree: one map of all values.
type flatTree map[settingID]string

func (f flatTree) apply(edits []tree.Edit) flatTree {
	f = maps.Clone(f)
	for _, e := range edits {
		if e.Unset {
			delete(f, settingID{e.Path, e.Key})
		} else {
			f[settingID{e.Path, e.Key}] = e.Value
		}
	}
	return f
}

func flatten(t *tree.Tree) flatTree {
	f := flatTree{}
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

func TestApplyAndDiffMatchFlatMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := drawEdits().Draw(t, "first"), drawEdits().Draw(t, "second")
		a := mustApply(t, nil, first)
		b := mustApply(t, a, second)
		assert.DeepEqual(t, flatten(a), flatTree{}.apply(first))
		assert.DeepEqual(t, flatten(b), flatTree{}.apply(first).apply(second))
		assert.DeepEqual(t, flatten(a).apply(tree.Diff(a, b)), flatten(b))
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

func TestChunkEncodingRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		current := mustApply(t, nil, drawEdits().Draw(t, "edits"))
		chunks := map[tree.Path]*tree.Chunk{"ignored": {}}
		for _, s := range current.Scopes() {
			chunk, err := tree.DecodeChunk(current.Chunk(s).Encode())
			assert.NilError(t, err)
			assert.Equal(t, chunk.Digest(), current.Chunk(s).Digest())
			chunks[s] = chunk
		}
		assert.DeepEqual(t, flatten(tree.New(chunks)), flatten(current))
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

func TestMalformedEditsAndChunksAreRejected(t *testing.T) {
	oversizedChunk := make([]tree.Edit, 0, 400)
	for i := range cap(oversizedChunk) {
		oversizedChunk = append(oversizedChunk, tree.Edit{Path: "a", Key: tree.Key(fmt.Sprintf("k%d", i)), Value: strings.Repeat("x", tree.MaxValueLength)})
	}
	tooManyScopes := make([]tree.Edit, 0, tree.MaxScopes+1)
	for i := range cap(tooManyScopes) {
		tooManyScopes = append(tooManyScopes, tree.Edit{Path: tree.Path(fmt.Sprint("c", i)), Key: "timeout", Value: "1s"})
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
		{"chunk too large", oversizedChunk, "chunk has size"},
		{"too many scopes", tooManyScopes, "tree has size 2049"},
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

func TestPathComponents(t *testing.T) {
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

func TestTreeListsPathsWithValues(t *testing.T) {
	edits := make([]tree.Edit, 0, len(samplePaths))
	for _, p := range samplePaths {
		edits = append(edits, tree.Edit{Path: p, Key: "timeout", Value: "1s"})
	}
	current := mustApply(t, nil, edits)
	assert.DeepEqual(t, current.Scopes(), []tree.Path{"", "a", "a/x", "a/y", "b", "b/x"})
	assert.DeepEqual(t, current.Customers(), []mesh.Customer{"a", "b"})
	assert.DeepEqual(t, current.Regions("a"), []mesh.Region{"x", "y"})
	assert.DeepEqual(t, current.Services("a", "x"), []mesh.Service{"s", "t"})
	assert.Equal(t, len(current.Services("a", "")), 0)
	assert.DeepEqual(t, current.Values("a/x/t"), []tree.Edit{{Path: "a/x/t", Key: "timeout", Value: "1s"}})
}

func TestRootDigestCoversVersionAndChunks(t *testing.T) {
	a := mustApply(t, nil, []tree.Edit{{Path: "a", Key: "timeout", Value: "1s"}})
	b := mustApply(t, nil, []tree.Edit{{Path: "a", Key: "timeout", Value: "2s"}})
	roots := map[mesh.Digest]bool{a.Manifest(1).RootDigest(): true, a.Manifest(2).RootDigest(): true, b.Manifest(1).RootDigest(): true}
	assert.Equal(t, len(roots), 3)
}

func BenchmarkValidate(b *testing.B) {
	current := large(b)
	b.ReportAllocs()
	for b.Loop() {
		if violations := current.Validate(); len(violations) > 0 {
			b.Fatal(violations)
		}
	}
}

func BenchmarkValidateIncremental(b *testing.B) {
	valid := large(b)
	current := mustApply(b, valid, []tree.Edit{{Path: "c3/r1/s7", Key: "timeout", Value: "1s"}})
	b.ReportAllocs()
	for b.Loop() {
		if violations := current.ValidateIncremental(valid); len(violations) > 0 {
			b.Fatal(violations)
		}
	}
}

func BenchmarkDecodeChunk(b *testing.B) {
	data := large(b).Chunk("c3/r1").Encode()
	b.SetBytes(int64(len(data)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := tree.DecodeChunk(data); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkApplyOneEdit(b *testing.B) {
	current := large(b)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		mustApply(b, current, []tree.Edit{{Path: "c3/r1/s7", Key: "timeout", Value: fmt.Sprintf("%dms", 1+i%1000)}})
	}
}

// largeTree returns a tree of the size planned for in two years: 870 services,
// namely 29 customers with 30 services each, in 5 regions, with one route per
// service and region.
func large(t assert.TestingT) *tree.Tree {
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
