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

// acceptAll returns the head and tree after the changes, which have the IDs "c1",
// "c2" and so on and are each based on the version of the one before.
func acceptAll(t assert.TestingT, changes ...[]tree.Edit) (head tree.Head, current *tree.Tree) {
	for i, edits := range changes {
		change := tree.Change{ID: mesh.ChangeID(fmt.Sprint("c", i+1)), Author: "ann", Base: mesh.Version(i), Edits: edits}
		var err error
		head, current, err = head.Accept(current, change, now)
		assert.NilError(t, err)
		assert.NilError(t, head.Check())
	}
	return head, current
}

func TestAcceptTakesOrRefusesChange(t *testing.T) {
	head, current := acceptAll(t, set("a", "timeout", "1s"), set("a/x/s", "priority", "low"), set("a", "timeout", "2s"),
		[]tree.Edit{{Path: "a/x/s", Key: "routes.r.path", Value: "/r"}})
	tests := []struct {
		name   string
		change tree.Change
		want   string
	}{
		{"based on the current version", tree.Change{ID: "n", Base: 4, Edits: set("a", "timeout", "3s")}, ""},
		{"older base without a conflict", tree.Change{ID: "n", Base: 1, Edits: set("b", "timeout", "3s")}, ""},
		{
			"same key changed since",
			tree.Change{ID: "n", Author: "bo", Base: 2, Edits: set("a", "timeout", "3s")},
			"change n by bo clashes with change c3 by ann, version 3\n/a timeout = 3s, accepted: /a timeout = 2s",
		},
		{
			"same route changed since",
			tree.Change{ID: "n", Author: "bo", Base: 3, Edits: set("a/x/s", "routes.r.once", "true")},
			"change n by bo clashes with change c4 by ann, version 4\n/a/x/s routes.r.once = true, accepted: /a/x/s routes.r.path = /r",
		},
		{"repeated", tree.Change{ID: "c2", Base: 1, Edits: set("a/x/s", "priority", "low")}, "change was already accepted as version 2"},
		{"reused ID", tree.Change{ID: "c2", Base: 4, Edits: set("b", "timeout", "3s")}, "change ID c2 belongs to another change, version 2"},
		{"base in the future", tree.Change{ID: "n", Base: 5, Edits: set("b", "timeout", "3s")}, "change builds on version 5, the present one is 4"},
		{"no effect", tree.Change{ID: "n", Base: 4, Edits: set("a", "timeout", "2000ms")}, "change n changes nothing"},
		{"no edits", tree.Change{ID: "n", Base: 4}, "change n changes nothing"},
		{"no ID", tree.Change{Base: 4, Edits: set("b", "timeout", "3s")}, "change has no ID"},
		{"bad value", tree.Change{ID: "n", Base: 4, Edits: set("b", "timeout", "3")}, `/b timeout is "3", want a duration from 1ms to 10m`},
		{"one key twice", tree.Change{ID: "n", Base: 4, Edits: append(set("b", "timeout", "3s"), set("b", "timeout", "4s")...)}, `/b timeout is "4s", want one edit per key`},
		{"unset of a misspelled key", tree.Change{ID: "n", Base: 4, Edits: []tree.Edit{{Path: "a", Key: "timeot", Unset: true}}}, `/a timeot is "", want a known key`},
		{"route inherited by a region without its service", tree.Change{ID: "n", Base: 4, Edits: set("a/x", "routes.q.path", "/q")}, `/a/x routes.q.service is "", want a service that exists in /a/x`},
		{"too many edits", tree.Change{ID: "n", Base: 4, Edits: make([]tree.Edit, tree.MaxEdits+1)}, "list of edits has size 2001, the limit is 2000"},
		{"long note", tree.Change{ID: "n", Base: 4, Note: strings.Repeat("n", 1025)}, "note has size 1025, the limit is 1024"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			next, nextTree, err := head.Accept(current, tt.change, now)
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
	assert.Error(t, err, "tree does not match version 4")
}

func TestRecentChangesStayWithinLimits(t *testing.T) {
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
			head, current := acceptAll(t, changes...)
			assert.Equal(t, len(head.Recent), tt.recent)
			base := head.OldestBase()
			_, _, err := head.Accept(current, tree.Change{ID: "n", Base: base - 1, Edits: set("b", "timeout", "3s")}, now)
			var stale *tree.StaleBaseError
			assert.Assert(t, errors.As(err, &stale))
			assert.Equal(t, stale.Oldest, base)
			_, _, err = head.Accept(current, tree.Change{ID: "n", Base: base, Edits: set("b", "timeout", "3s")}, now)
			assert.NilError(t, err)
		})
	}
}

func TestUndoRestoresOrConflicts(t *testing.T) {
	first, second := set("a", "timeout", "1s"), append(set("a", "timeout", "2s"), set("a/x", "priority", "low")...)
	head, current := acceptAll(t, first, second)
	undo := tree.Undo(head.Recent[1], "u", "bo")
	next, nextTree, err := head.Accept(current, undo, now)
	assert.NilError(t, err)
	assert.Equal(t, next.Version, mesh.Version(3))
	assert.DeepEqual(t, flatten(nextTree), flatTree{}.apply(first))
	var conflict *tree.ConflictError
	_, _, err = head.Accept(current, tree.Undo(head.Recent[0], "v", "bo"), now)
	assert.Assert(t, errors.As(err, &conflict))
	assert.Equal(t, conflict.Accepted.ID, mesh.ChangeID("c2"))
}

// referenceHead is a simple model of a head: it keeps every state and compares a
// change with each edit accepted since its base.
type referenceHead struct {
	states  []flatTree
	changes []tree.Change
}

func (h *referenceHead) accept(change tree.Change) bool {
	for _, c := range h.changes {
		if c.ID == change.ID {
			return false
		}
	}
	for _, c := range h.changes[change.Base:] {
		for _, acceptedEdit := range c.Edits {
			for _, proposedEdit := range change.Edits {
				if proposedEdit.Path == acceptedEdit.Path && conflictGroup(proposedEdit.Key) == conflictGroup(acceptedEdit.Key) {
					return false
				}
			}
		}
	}
	last := h.states[len(h.states)-1]
	next := last.apply(change.Edits)
	if fmt.Sprint(next) == fmt.Sprint(last) {
		return false
	}
	h.states, h.changes = append(h.states, next), append(h.changes, change)
	return true
}

func conflictGroup(key tree.Key) string {
	words := strings.Split(string(key), ".")
	if words[0] == "routes" {
		return words[1]
	}
	return string(key)
}

func TestConcurrentChangesMatchReferenceHead(t *testing.T) {
	keys := []tree.Key{"description", "timeout", "priority", "retry.attempts"}
	rapid.Check(t, func(t *rapid.T) {
		reference := referenceHead{states: []flatTree{{}}}
		var head tree.Head
		var current *tree.Tree
		var sent []tree.Change
		for i := range rapid.IntRange(1, 20).Draw(t, "changes") {
			base := rapid.Uint64Range(0, uint64(head.Version)).Draw(t, "base")
			change := tree.Change{ID: mesh.ChangeID(fmt.Sprint(i)), Base: mesh.Version(base), Edits: uniqueByKey(drawEdits(keys...).Draw(t, "edits"))}
			if len(sent) > 0 && rapid.IntRange(0, 4).Draw(t, "repeat") == 0 {
				change = rapid.SampledFrom(sent).Draw(t, "sent")
			}
			sent = append(sent, change)
			next, nextTree, err := head.Accept(current, change, now)
			assert.Equal(t, err == nil, reference.accept(change), "%v", err)
			if err != nil {
				continue
			}
			head, current = next, nextTree
			assert.NilError(t, head.Check())
			assert.Equal(t, int(head.Version), len(reference.changes))
			assert.DeepEqual(t, flatten(current), reference.states[head.Version])
		}
	})
}

// uniqueByKey keeps the first edit of each key.
func uniqueByKey(edits []tree.Edit) (kept []tree.Edit) {
	seen := map[settingID]bool{}
	for _, e := range edits {
		if id := (settingID{e.Path, e.Key}); !seen[id] {
			seen[id] = true
			kept = append(kept, e)
		}
	}
	return kept
}

func TestCheckRejectsInvalidHead(t *testing.T) {
	head, _ := acceptAll(t, set("a", "timeout", "1s"), set("a", "timeout", "2s"), set("a", "timeout", "3s"))
	tests := []struct {
		name string
		head tree.Head
		want string
	}{
		{"gap between versions", tree.Head{Manifest: head.Manifest, Recent: []tree.AcceptedChange{head.Recent[0], head.Recent[2]}}, "recent change c1 has version 1, want 2"},
		{"no recent change", tree.Head{Manifest: head.Manifest}, "version 3 has no recent change"},
		{"chunk of a service", tree.Head{Manifest: tree.Manifest{Chunks: map[tree.Path]mesh.Digest{"a/x/s": {}}}}, `"a/x/s" is not a scope`},
		{"too many recent changes", tree.Head{Manifest: head.Manifest, Recent: make([]tree.AcceptedChange, 65)}, "list of recent changes has size 65, the limit is 64"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Error(t, tt.head.Check(), tt.want)
		})
	}
}
