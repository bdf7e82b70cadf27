package sheet_test

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"arbutusstep.example/arbutusstep/internal/sheet"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/route"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "7")
	flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func ExampleParseYAML() {
	document, err := sheet.ParseYAML([]byte(`
customers:
  trauerhaus:
    settings:
      timeout: 5s
      retry: {attempts: 2}
      once: {window: null}
`))
	if err != nil {
		panic(err)
	}
	for i, e := range document.Edits {
		fmt.Println(document.Positions[i], e)
	}
	// Output:
	// 5:7 /trauerhaus timeout = 5s
	// 6:15 /trauerhaus retry.attempts = 2
	// 7:14 /trauerhaus once.window unset
}

func TestParseYAMLRejectsInvalidDocuments(t *testing.T) {
	tests := []struct {
		name     string
		document string
		want     string
	}{
		{"unknown key at a level", "regions: {}", `1:1: unknown key "regions" at the level root`},
		{"children below a service", "customers: {a: {regions: {x: {services: {s: {services: {}}}}}}}", `1:46: unknown key "services" at the level service`},
		{"bad name", "customers:\n  Bad_Name: {}", `2:3: name "Bad_Name"`},
		{"node without settings", "customers:\n  a:\n    regions:\n      x: {}", "/a/x has no settings"},
		{"missing value", "settings:\n  timeout:", "2:3: timeout has no value, write null to unset it"},
		{"bad key", "settings: {Time-Out: 1s}", `1:12: key "Time-Out"`},
		{"unset of unknown setting", "settings: {routes: null}", "1:12: no setting routes to unset"},
		{"list of lists", "settings: {timeout: [[1]]}", "1:22: a list must not contain a list"},
		{"alias", "settings: {timeout: &a 1s, priority: *a}", "expected a scalar value or a list"},
		{"duplicate key", "settings:\n  timeout: 1s\n  timeout: 2s", "3:3: "},
		{"scalar in place of a mapping", "settings: 5", "1:11: expected a mapping"},
		{"two documents", "settings: {}\n---\nsettings: {}", "a file must contain one document"},
		{"deep nesting", strings.Repeat("[", 100_000), "1:17: nested too deeply"},
		{"deep compact lists", strings.Repeat("- ", 100_000), "nested too deeply"},
		{"deep lines", deepLines(200), "nested too deeply"},
		{"too large", strings.Repeat("#", sheet.MaxDocumentBytes+1), "document has size 524289"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := sheet.ParseYAML([]byte(tt.document))
			assert.ErrorContains(t, err, tt.want)
		})
	}
}

// deepLines returns nested mappings, each on a line of its own.
func deepLines(depth int) string {
	var lines strings.Builder
	for i := range depth {
		lines.WriteString(strings.Repeat(" ", i) + "a:\n")
	}
	return lines.String()
}

func TestNullUnsetsSettingGroupOrRoute(t *testing.T) {
	tests := []struct {
		name     string
		document string
		want     []tree.Key
	}{
		{"setting", "settings: {priority: null}", []tree.Key{"priority"}},
		{"group", "settings: {retry: ~}", []tree.Key{"retry.attempts", "retry.budgetPercent"}},
		{"route", "settings: {routes: {press: null}}", []tree.Key{
			"routes.press.path", "routes.press.service", "routes.press.methods", "routes.press.priority",
			"routes.press.timeout", "routes.press.idempotent", "routes.press.once",
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			document, err := sheet.ParseYAML([]byte(tt.document))
			assert.NilError(t, err)
			var got []tree.Key
			for _, e := range document.Edits {
				assert.Assert(t, e.Unset)
				got = append(got, e.Key)
			}
			assert.DeepEqual(t, got, tt.want)
		})
	}
}

func TestLocateReturnsPositionOfViolation(t *testing.T) {
	document, err := sheet.ParseYAML([]byte("settings:\n  timeout: soon\n  floors:\n    low: 5"))
	assert.NilError(t, err)
	_, violations := tree.Normalize(document.Edits)
	assert.Equal(t, len(violations), 1)
	tests := []struct {
		name      string
		violation tree.Violation
		want      sheet.Position
		ok        bool
	}{
		{"setting", violations[0], sheet.Position{Line: 2, Column: 3}, true},
		{"group", tree.Violation{Key: "floors"}, sheet.Position{Line: 4, Column: 5}, true},
		{"other path", tree.Violation{Path: "a", Key: "timeout"}, sheet.Position{}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, ok := document.Locate(tt.violation)
			assert.Equal(t, got, tt.want)
			assert.Equal(t, ok, tt.ok)
		})
	}
}

// sampleTree returns the tree of a sample document, accepted as version 1.
func sampleTree(t testing.TB, name string) (*tree.Tree, tree.Head) {
	data, err := sheet.Sample(name)
	assert.NilError(t, err)
	document, err := sheet.ParseYAML(data)
	assert.NilError(t, err)
	change := tree.Change{ID: "c1", Author: "op", Note: `"quoted" <note>`, Edits: document.Edits}
	head, sample, err := tree.Head{}.Accept(nil, change, time.Unix(1e9, 5))
	assert.NilError(t, err)
	return sample, head
}

func TestSampleRoutesMatch(t *testing.T) {
	tests := []struct {
		customer, region, method, path string
		service                        mesh.Service
		priority                       mesh.Priority
		once, idempotent               bool
	}{
		{"trauerhaus", "ch-west", "GET", "/notices/17", "notices", mesh.High, false, true},
		{"trauerhaus", "ch-east", "POST", "/notices", "notices", mesh.Urgent, true, false},
		{"trauerhaus", "ch-west", "POST", "/condolences", "notices", mesh.High, true, false},
		{"trauerhaus", "ch-east", "GET", "/archive/print-9", "archive", mesh.Normal, false, true},
		{"trauerhaus", "ch-west", "GET", "/archive/lookup/9", "archive", mesh.Low, false, true},
		{"kylvoelehti", "pohjanmaa", "GET", "/stock/9", "orderdesk", mesh.Urgent, false, true},
		{"kylvoelehti", "savo", "POST", "/bookings", "orderdesk", mesh.High, true, false},
		{"kylvoelehti", "savo", "GET", "/templates/a", "patterns", mesh.Normal, false, true},
		{"kylvoelehti", "pohjanmaa", "GET", "/recipes/a", "patterns", mesh.Low, false, true},
	}
	for _, tt := range tests {
		t.Run(tt.region+" "+tt.method+" "+tt.path, func(t *testing.T) {
			sample, _ := sampleTree(t, tt.customer)
			table, violations := route.Compile(sample, mesh.Region(tt.region))
			assert.Equal(t, len(violations), 0)
			got, err := table.Match(mesh.Customer(tt.customer), tt.method, tt.path)
			assert.NilError(t, err)
			assert.Equal(t, got.Service.Service, tt.service)
			assert.Equal(t, got.Priority, tt.priority)
			assert.Equal(t, got.AtMostOnce, tt.once)
			assert.Equal(t, got.Idempotent, tt.idempotent)
		})
	}
	_, err := sheet.Sample("../sample")
	assert.ErrorContains(t, err, "no sample")
}

func TestSamplesRoundTrip(t *testing.T) {
	for _, name := range []string{"trauerhaus", "kylvoelehti"} {
		t.Run(name, func(t *testing.T) {
			sample, head := sampleTree(t, name)
			assertRendered(t, sample)
			data, err := sheet.EncodeHead(head)
			assert.NilError(t, err)
			got, err := sheet.DecodeHead(data)
			assert.NilError(t, err)
			assert.DeepEqual(t, got, head)
			data, err = sheet.EncodeChange(head.Recent[0].Change)
			assert.NilError(t, err)
			change, err := sheet.DecodeChange(data)
			assert.NilError(t, err)
			assert.DeepEqual(t, change, head.Recent[0].Change)
			for _, s := range sample.Scopes() {
				assertChunk(t, sample.Chunk(s))
			}
		})
	}
}

// assertRendered checks that rendering and parsing give the same tree.
func assertRendered(t rapidOrTest, want *tree.Tree) {
	data, err := sheet.RenderYAML(want)
	assert.NilError(t, err)
	document, err := sheet.ParseYAML(data)
	assert.NilError(t, err, string(data))
	got, err := (*tree.Tree)(nil).Apply(document.Edits)
	assert.NilError(t, err)
	assert.Equal(t, len(tree.Diff(want, got)), 0, "%v\n%s", tree.Diff(want, got), data)
}

// assertChunk checks that encoding and decoding give the same chunk.
func assertChunk(t rapidOrTest, chunk *tree.Chunk) {
	data, err := sheet.EncodeChunk(chunk)
	assert.NilError(t, err)
	got, err := sheet.DecodeChunk(data)
	assert.NilError(t, err)
	assert.Equal(t, got.Digest(), chunk.Digest())
}

// rapidOrTest is implemented by *testing.T and *rapid.T.
type rapidOrTest interface {
	assert.TestingT
	Helper()
}

func TestAnyTextRoundTrips(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		edits := make([]tree.Edit, rapid.IntRange(1, 8).Draw(t, "edits"))
		for i := range edits {
			edits[i] = tree.Edit{
				Path:  rapid.SampledFrom([]tree.Path{"", "a", "1/2", "a/x", "a/x/null", "a/x/7", "true/x"}).Draw(t, "path"),
				Key:   rapid.SampledFrom([]tree.Key{"description", "timeout", "routes.null.path", "routes.y.path", "true", "n"}).Draw(t, "key"),
				Value: rapid.StringMatching(`[ -~ä€𝄞]{0,12}`).Draw(t, "value"),
			}
		}
		want, err := (*tree.Tree)(nil).Apply(edits)
		assert.NilError(t, err)
		assertRendered(t, want)
		for _, s := range want.Scopes() {
			assertChunk(t, want.Chunk(s))
		}
	})
}

func TestDecodeRejectsInvalidObjects(t *testing.T) {
	_, head := sampleTree(t, "trauerhaus")
	good, err := sheet.EncodeHead(head)
	assert.NilError(t, err)
	tests := []struct {
		name   string
		decode func(data []byte) error
		data   string
		want   string
	}{
		{"head of another version", decodeHead, strings.Replace(string(good), `"version":1`, `"version":2`, 1), "root digest"},
		{"head without its change", decodeHead, `{"version":0,"root":"` + tree.Manifest{}.RootDigest().String() + `","recent":[{"version":1}]}`, "want 0"},
		{"truncated head", decodeHead, string(good[:len(good)-1]), "unexpected end"},
		{"head too large", decodeHead, strings.Repeat(" ", sheet.MaxHeadBytes+1), "limit"},
		{"chunk of a service", decodeChunk, `{"scope":"a/x/s"}`, "not a scope"},
		{"chunk with a nested name", decodeChunk, `{"scope":"a","values":{"x/s":{"timeout":"1s"}}}`, "outside of the scope"},
		{"chunk with a bad key", decodeChunk, `{"scope":"a","values":{"":{"Time":"1s"}}}`, "camelCase"},
		{"change of the wrong type", decodeChange, `{"id":7}`, "id"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.ErrorContains(t, tt.decode([]byte(tt.data)), tt.want)
		})
	}
}

func TestLargestObjectsFitSizeLimits(t *testing.T) {
	long := strings.Repeat("n", mesh.MaxNameLength-4)
	var head tree.Head
	var whole *tree.Tree
	accept := func(edits []tree.Edit) {
		var err error
		change := tree.Change{ID: mesh.ChangeID(fmt.Sprint(head.Version)), Base: head.Version, Edits: edits}
		head, whole, err = head.Accept(whole, change, time.Unix(1e9, 0))
		assert.NilError(t, err)
	}
	for start := 0; start < tree.MaxScopes; start += 256 {
		edits := make([]tree.Edit, 256)
		for i := range edits {
			edits[i] = tree.Edit{Path: tree.Path(fmt.Sprintf("c%s/r%s%04d", long, long[1:], start+i)), Key: "priority", Value: "low"}
		}
		accept(edits)
	}
	for i := range 3 {
		edits := make([]tree.Edit, 38)
		for j := range edits {
			edits[j] = tree.Edit{
				Path: tree.Path(fmt.Sprintf("c%s/r%s%04d", long, long[1:], j)), Key: "description",
				Value: strings.Repeat(string(`"\`[i%2]), tree.MaxValueLength),
			}
		}
		accept(edits)
	}
	data, err := sheet.EncodeHead(head)
	assert.NilError(t, err)
	_, err = sheet.DecodeHead(data)
	assert.NilError(t, err)

	edits := make([]tree.Edit, 380)
	for i := range edits {
		edits[i] = tree.Edit{Path: "a/x", Key: tree.Key(fmt.Sprint("k", i)), Value: strings.Repeat(`"`, tree.MaxValueLength)}
	}
	whole, err = (*tree.Tree)(nil).Apply(edits)
	assert.NilError(t, err)
	assertChunk(t, whole.Chunk("a/x"))
}

func decodeHead(data []byte) (err error) {
	_, err = sheet.DecodeHead(data)
	return err
}

func decodeChunk(data []byte) (err error) {
	_, err = sheet.DecodeChunk(data)
	return err
}

func decodeChange(data []byte) (err error) {
	_, err = sheet.DecodeChange(data)
	return err
}

func FuzzParseYAML(f *testing.F) {
	for _, name := range []string{"trauerhaus", "kylvoelehti"} {
		data, err := sheet.Sample(name)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Add([]byte("settings: {timeout: [a, b], routes: {x: null}}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		document, err := sheet.ParseYAML(data)
		if err != nil {
			return
		}
		assert.Equal(t, len(document.Edits), len(document.Positions))
		if parsed, errApply := (*tree.Tree)(nil).Apply(document.Edits); errApply == nil {
			assertRendered(t, parsed)
		}
	})
}

func FuzzDecodeJSON(f *testing.F) {
	sample, head := sampleTree(f, "trauerhaus")
	data, err := sheet.EncodeHead(head)
	assert.NilError(f, err)
	f.Add(data)
	data, err = sheet.EncodeChange(head.Recent[0].Change)
	assert.NilError(f, err)
	f.Add(data)
	data, err = sheet.EncodeChunk(sample.Chunk("trauerhaus/ch-west"))
	assert.NilError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		if got, errHead := sheet.DecodeHead(data); errHead == nil {
			assert.NilError(t, got.Check())
		}
		if got, errChunk := sheet.DecodeChunk(data); errChunk == nil {
			assertChunk(t, got)
		}
		change, errChange := sheet.DecodeChange(data)
		if errChange != nil {
			return
		}
		again, errEncode := sheet.EncodeChange(change)
		if errEncode != nil {
			return
		}
		got, errAgain := sheet.DecodeChange(again)
		assert.NilError(t, errAgain)
		assert.DeepEqual(t, got, change)
	})
}

func TestSyntaxErrorIsTyped(t *testing.T) {
	_, err := sheet.ParseYAML([]byte("settings: {timeout: 1s"))
	var syntax *sheet.SyntaxError
	assert.Assert(t, errors.As(err, &syntax), "%v", err)
	assert.Equal(t, syntax.Line, 1)
}
