package tree_test

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

var now = time.Date(2026, 4, 1, 9, 0, 0, 0, time.UTC)

func set(path tree.Path, key tree.Key, value string) []tree.Edit {
	return []tree.Edit{{Path: path, Key: key, Value: value}}
}

// accept makes the head of changes with the IDs "c1", "c2" and so on, each of
// which saw the one before.
func accept(t assert.TestingT, changes ...[]tree.Edit) (head tree.Head, whole *tree.Tree) {
	for i, edits := range changes {
		change := tree.Change{ID: mesh.ChangeID(fmt.Sprint("c", i+1)), Author: "ann", Base: mesh.Version(i), Edits: edits}
		var err error
		head, whole, err = head.Accept(whole, change, now)
		assert.NilError(t, err)
		assert.NilError(t, head.Check())
	}
	return head, whole
}

func TestAcceptDecidesAboutAChange(t *testing.T) {
	head, whole := accept(t, set("a", "timeout", "1s"), set("a/x/s", "priority", "low"), set("a", "timeout", "2s"),
		[]tree.Edit{{Path: "a/x/s", Key: "routes.r.path", Value: "/r"}})
	tests := []struct {
		name   string
		change tree.Change
		want   string
	}{
		{"next", tree.Change{ID: "n", Base: 4, Edits: set("a", "timeout", "3s")}, ""},
		{"disjoint is rebased", tree.Change{ID: "n", Base: 1, Edits: set("b", "timeout", "3s")}, ""},
		{
			"same key since",
			tree.Change{ID: "n", Author: "bo", Base: 2, Edits: set("a", "timeout", "3s")},
			"change n by bo clashes with change c3 by ann, version 3\n/a timeout = 3s, accepted: /a timeout = 2s",
		},
		{
			"same route since",
			tree.Change{ID: "n", Author: "bo", Base: 3, Edits: set("a/x/s", "routes.r.once", "true")},
			"change n by bo clashes with change c4 by ann, version 4\n/a/x/s routes.r.once = true, accepted: /a/x/s routes.r.path = /r",
		},
		{"repeated", tree.Change{ID: "c2", Base: 1, Edits: set("a/x/s", "priority", "low")}, "change was already accepted as version 2"},
		{"reused ID", tree.Change{ID: "c2", Base: 4, Edits: set("b", "timeout", "3s")}, "change ID c2 belongs to another change, version 2"},
		{"base ahead", tree.Change{ID: "n", Base: 5, Edits: set("b", "timeout", "3s")}, "change builds on version 5, the present one is 4"},
		{"nothing changes", tree.Change{ID: "n", Base: 4, Edits: set("a", "timeout", "2000ms")}, "change n changes nothing"},
		{"no edits", tree.Change{ID: "n", Base: 4}, "change n changes nothing"},
		{"no ID", tree.Change{Base: 4, Edits: set("b", "timeout", "3s")}, "change has no ID"},
		{"bad value", tree.Change{ID: "n", Base: 4, Edits: set("b", "timeout", "3")}, `/b timeout is "3", want a duration from 1ms to 10m`},
		{"one key twice", tree.Change{ID: "n", Base: 4, Edits: append(set("b", "timeout", "3s"), set("b", "timeout", "4s")...)}, `/b timeout is "4s", want one edit per key`},
		{"unset of a misspelt key", tree.Change{ID: "n", Base: 4, Edits: []tree.Edit{{Path: "a", Key: "timeot", Unset: true}}}, `/a timeot is "", want a known key`},
		{"fault by inheritance", tree.Change{ID: "n", Base: 4, Edits: set("a/x", "routes.q.path", "/q")}, `/a/x routes.q.service is "", want a service that exists in /a/x`},
		{"too many edits", tree.Change{ID: "n", Base: 4, Edits: make([]tree.Edit, tree.MaxEdits+1)}, "list of edits has size 2001, the limit is 2000"},
		{"long note", tree.Change{ID: "n", Base: 4, Note: strings.Repeat("n", 1025)}, "note has size 1025, the limit is 1024"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			next, nextTree, err := head.Accept(whole, tt.change, now)
			if tt.want != "" {
				assert.Error(t, err, tt.want)
				assert.Equal(t, next.Version, mesh.Version(0))
				assert.Assert(t, nextTree == nil)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, next.Version, head.Version+1)
			assert.Equal(t, next.RootDigest(), nextTree.Manifest(next.Version).RootDigest())
			assert.Equal(t, next.Recent[4].At, now)
		})
	}
	_, _, err := head.Accept(nil, tree.Change{ID: "n", Base: 4, Edits: set("b", "timeout", "3s")}, now)
	assert.Error(t, err, "tree is not that of version 4")
}

func TestRecentChangesStayWithinBounds(t *testing.T) {
	big := make([]tree.Edit, 0, 40)
	for i := range cap(big) {
		big = append(big, tree.Edit{Path: tree.Path(fmt.Sprint("c", i)), Key: "description", Value: strings.Repeat("x", 1000)})
	}
	tests := []struct {
		name   string
		edits  func(i int) []tree.Edit
		count  int
		recent int
	}{
		{"by count", func(i int) []tree.Edit { return set("a", "timeout", fmt.Sprint(i+1, "ms")) }, 70, tree.MaxRecentChanges},
		{"by size", func(i int) []tree.Edit { big[0].Value = fmt.Sprint(i); return slices.Clone(big) }, 5, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			changes := make([][]tree.Edit, 0, tt.count)
			for i := range tt.count {
				changes = append(changes, tt.edits(i))
			}
			head, whole := accept(t, changes...)
			assert.Equal(t, len(head.Recent), tt.recent)
			base := head.OldestBase()
			_, _, err := head.Accept(whole, tree.Change{ID: "n", Base: base - 1, Edits: set("b", "timeout", "3s")}, now)
			var old *tree.StaleBaseError
			assert.Assert(t, errors.As(err, &old))
			assert.Equal(t, old.Oldest, base)
			_, _, err = head.Accept(whole, tree.Change{ID: "n", Base: base, Edits: set("b", "timeout", "3s")}, now)
			assert.NilError(t, err)
		})
	}
}

func TestUndoRestoresOrClashes(t *testing.T) {
	first, second := set("a", "timeout", "1s"), append(set("a", "timeout", "2s"), set("a/x", "priority", "low")...)
	head, whole := accept(t, first, second)
	undo := tree.Undo(head.Recent[1], "u", "bo")
	next, nextTree, err := head.Accept(whole, undo, now)
	assert.NilError(t, err)
	assert.Equal(t, next.Version, mesh.Version(3))
	assert.DeepEqual(t, flatOf(nextTree), flat{}.apply(first))
	var clash *tree.ConflictError
	_, _, err = head.Accept(whole, tree.Undo(head.Recent[0], "v", "bo"), now)
	assert.Assert(t, errors.As(err, &clash))
	assert.Equal(t, clash.Accepted.ID, mesh.ChangeID("c2"))
}

// naiveHead keeps every state and compares a change with each edit since.
type naiveHead struct {
	states  []flat
	changes []tree.Change
}

func (n *naiveHead) accept(change tree.Change) bool {
	for _, c := range n.changes {
		if c.ID == change.ID {
			return false
		}
	}
	for _, c := range n.changes[change.Base:] {
		for _, theirs := range c.Edits {
			for _, mine := range change.Edits {
				if mine.Path == theirs.Path && routeOf(mine.Key) == routeOf(theirs.Key) {
					return false
				}
			}
		}
	}
	last := n.states[len(n.states)-1]
	next := last.apply(change.Edits)
	if fmt.Sprint(next) == fmt.Sprint(last) {
		return false
	}
	n.states, n.changes = append(n.states, next), append(n.changes, change)
	return true
}

func routeOf(key tree.Key) string {
	words := strings.Split(string(key), ".")
	if words[0] == "routes" {
		return words[1]
	}
	return string(key)
}

func TestRacingOperatorsAgreeWithANaiveHead(t *testing.T) {
	keys := []tree.Key{"description", "timeout", "priority", "retry.attempts"}
	rapid.Check(t, func(t *rapid.T) {
		naive := naiveHead{states: []flat{{}}}
		var head tree.Head
		var whole *tree.Tree
		var sent []tree.Change
		for i := range rapid.IntRange(1, 20).Draw(t, "changes") {
			base := rapid.Uint64Range(0, uint64(head.Version)).Draw(t, "base")
			change := tree.Change{ID: mesh.ChangeID(fmt.Sprint(i)), Base: mesh.Version(base), Edits: distinct(someEdits(keys...).Draw(t, "edits"))}
			if len(sent) > 0 && rapid.IntRange(0, 4).Draw(t, "repeat") == 0 {
				change = rapid.SampledFrom(sent).Draw(t, "sent")
			}
			sent = append(sent, change)
			next, nextTree, err := head.Accept(whole, change, now)
			assert.Equal(t, err == nil, naive.accept(change), "%v", err)
			if err != nil {
				continue
			}
			head, whole = next, nextTree
			assert.NilError(t, head.Check())
			assert.Equal(t, int(head.Version), len(naive.changes))
			assert.DeepEqual(t, flatOf(whole), naive.states[head.Version])
		}
	})
}

// distinct keeps the first edit of each key.
func distinct(edits []tree.Edit) (kept []tree.Edit) {
	seen := map[place]bool{}
	for _, e := range edits {
		if p := (place{e.Path, e.Key}); !seen[p] {
			seen[p] = true
			kept = append(kept, e)
		}
	}
	return kept
}

func TestHeadWithAGapIsRefused(t *testing.T) {
	head, _ := accept(t, set("a", "timeout", "1s"), set("a", "timeout", "2s"), set("a", "timeout", "3s"))
	tests := []struct {
		name string
		head tree.Head
		want string
	}{
		{"gap", tree.Head{Manifest: head.Manifest, Recent: []tree.AcceptedChange{head.Recent[0], head.Recent[2]}}, "recent change c1 has version 1, want 2"},
		{"no change", tree.Head{Manifest: head.Manifest}, "version 3 has no recent change"},
		{"chunk of a service", tree.Head{Manifest: tree.Manifest{Chunks: map[tree.Path]mesh.Digest{"a/x/s": {}}}}, `"a/x/s" is not a scope`},
		{"too many", tree.Head{Manifest: head.Manifest, Recent: make([]tree.AcceptedChange, 65)}, "list of recent changes has size 65, the limit is 64"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Error(t, tt.head.Check(), tt.want)
		})
	}
}
