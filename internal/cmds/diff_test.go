package cmds

import (
	"testing"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/forms"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

func TestDiffVersionsMergesChanges(t *testing.T) {
	set := func(value string) forms.Edit {
		return forms.Edit{Path: "c", Key: "k.x", Value: value, Unset: value == ""}
	}
	history := forms.History{Version: 5, Changes: []forms.HistoryEntry{
		{Version: 5, Edits: []forms.Edit{{Path: "c", Key: "timeout", Unset: true}}, Inverse: []forms.Edit{{Path: "c", Key: "timeout", Value: "3s"}}},
		{Version: 4, Edits: []forms.Edit{set("1")}, Inverse: []forms.Edit{set("")}},
		{Version: 3, Edits: []forms.Edit{{Path: "c", Key: "timeout", Value: "3s"}}, Inverse: []forms.Edit{{Path: "c", Key: "timeout", Value: "2s"}}},
	}}
	tests := []struct {
		name     string
		from, to mesh.Version
		want     []string
		refused  bool
	}{
		{name: "one change", from: 2, to: 3, want: []string{"~ /c timeout = 3s, was 2s"}},
		{name: "several changes", from: 2, to: 5, want: []string{"+ /c k.x = 1", "- /c timeout = 2s"}},
		{name: "reversed", from: 5, to: 2, want: []string{"- /c k.x = 1", "+ /c timeout = 2s"}},
		{name: "the same version", from: 4, to: 4, want: []string{}},
		{name: "older than the history", from: 1, to: 5, refused: true},
		{name: "newer than the history", from: 3, to: 6, refused: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			list, err := diffVersions(history, tt.from, tt.to)
			assert.Equal(t, err != nil, tt.refused)
			got := make([]string, 0, len(list))
			for _, d := range list {
				got = append(got, d.String())
			}
			if !tt.refused {
				assert.DeepEqual(t, got, tt.want)
			}
		})
	}
}

func TestMergeDifferencesDropsUnchangedValues(t *testing.T) {
	one, two := "1", "2"
	tests := []struct {
		name  string
		steps []difference
		want  int
	}{
		{name: "changed and restored", steps: []difference{{Key: "a", Old: &one, New: &two}, {Key: "a", Old: &two, New: &one}}},
		{name: "set and unset", steps: []difference{{Key: "a", New: &two}, {Key: "a", Old: &two}}},
		{name: "two keys", steps: []difference{{Key: "a", New: &two}, {Key: "b", Old: &two}}, want: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, len(mergeDifferences(tt.steps)), tt.want)
		})
	}
}
