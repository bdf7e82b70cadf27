package cmds

import (
	"cmp"
	"fmt"
	"slices"

	"arbutusstep.example/arbutusstep/pkg/tree"
)

// difference is a change of one value; Old or New is nil if it is not set.
type difference struct {
	Path tree.Path `json:"path"`
	Key  tree.Key  `json:"key"`
	Old  *string   `json:"old"`
	New  *string   `json:"new"`
}

// changedValues combines the edits of a change with their inverse. Edits without
// an inverse changed nothing and are left out.
func changedValues(edits, inverse []tree.Edit) (list []difference) {
	for _, i := range inverse {
		d := difference{Path: i.Path, Key: i.Key, Old: editValue(i)}
		for _, e := range edits {
			if e.Path == i.Path && e.Key == i.Key {
				d.New = editValue(e)
			}
		}
		list = append(list, d)
	}
	return list
}

func editValue(edit tree.Edit) *string {
	if edit.Unset {
		return nil
	}
	return &edit.Value
}

// mergeDifferences merges successive differences of the same key and drops those
// without effect.
func mergeDifferences(steps []difference) (list []difference) {
	for _, s := range steps {
		i := slices.IndexFunc(list, func(d difference) bool { return d.Path == s.Path && d.Key == s.Key })
		if i < 0 {
			list = append(list, s)
			continue
		}
		list[i].New = s.New
	}
	slices.SortFunc(list, func(a, b difference) int {
		return cmp.Or(cmp.Compare(a.Path, b.Path), cmp.Compare(a.Key, b.Key))
	})
	return slices.DeleteFunc(list, difference.empty)
}

func (d difference) empty() bool {
	if d.Old == nil || d.New == nil {
		return d.Old == d.New
	}
	return *d.Old == *d.New
}

// String returns the difference as one line.
func (d difference) String() string {
	switch {
	case d.Old == nil:
		return fmt.Sprintf("+ %s %s = %s", d.Path, d.Key, *d.New)
	case d.New == nil:
		return fmt.Sprintf("- %s %s = %s", d.Path, d.Key, *d.Old)
	default:
		return fmt.Sprintf("~ %s %s = %s, was %s", d.Path, d.Key, *d.New, *d.Old)
	}
}

func printDifferences(c invocation, f nodeFlags, list []difference) error {
	if list == nil {
		list = []difference{}
	}
	return f.print(c, list, func() (err error) {
		for _, d := range list {
			if _, err = fmt.Fprintln(c.out, d); err != nil {
				return err
			}
		}
		if len(list) == 0 {
			_, err = fmt.Fprintln(c.out, "nothing differs")
		}
		return err
	})
}
