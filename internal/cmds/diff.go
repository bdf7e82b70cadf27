package cmds

import (
	"cmp"
	"fmt"
	"slices"

	"arbutusstep.example/arbutusstep/pkg/tree"
)

// difference is one value that differs; nil stands for a value that is not set.
type difference struct {
	Path tree.Path `json:"path"`
	Key  tree.Key  `json:"key"`
	Old  *string   `json:"old"`
	New  *string   `json:"new"`
}

// differences pairs what a change sets with what it replaced. Edits that
// replaced nothing are left out.
func differences(edits, inverse []tree.Edit) (list []difference) {
	for _, i := range inverse {
		d := difference{Path: i.Path, Key: i.Key, Old: valueOf(i)}
		for _, e := range edits {
			if e.Path == i.Path && e.Key == i.Key {
				d.New = valueOf(e)
			}
		}
		list = append(list, d)
	}
	return list
}

func valueOf(edit tree.Edit) *string {
	if edit.Unset {
		return nil
	}
	return &edit.Value
}

// addUp joins the steps of each key; keys that end as they began are left out.
func addUp(steps []difference) (list []difference) {
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
	return slices.DeleteFunc(list, difference.none)
}

func (d difference) none() bool {
	if d.Old == nil || d.New == nil {
		return d.Old == d.New
	}
	return *d.Old == *d.New
}

// String returns the difference in one line.
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

func printDifferences(c call, f remote, list []difference) error {
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
