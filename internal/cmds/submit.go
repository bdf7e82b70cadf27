package cmds

import (
	"context"
	"crypto/rand"
	"errors"
	"flag"
	"fmt"
	"os"
	"time"

	"arbutusstep.example/arbutusstep/internal/client"
	"arbutusstep.example/arbutusstep/internal/forms"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/relay"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

// maxSubmitAttempts bounds how often a change is submitted while its outcome is
// unknown.
const maxSubmitAttempts = 5

// changeFlags holds the flags of the commands that change the settings tree.
type changeFlags struct {
	nodeFlags
	base    versionFlag
	author  *string
	note    *string
	id      *string
	wait    *bool
	timeout *time.Duration
}

func newChangeFlags(flags *flag.FlagSet) *changeFlags {
	author := os.Getenv("USER")
	if author == "" {
		author = "operator"
	}
	f := &changeFlags{
		nodeFlags: newNodeFlags(flags),
		author:    flags.String("author", author, "`NAME` of the author in the history"),
		note:      flags.String("note", "", "`TEXT` that describes the change in the history"),
		id:        flags.String("id", "", "`ID` of the change, which is applied once however often it is repeated (default random)"),
		wait:      flags.Bool("wait", false, "follow the change until it is in force everywhere"),
		timeout:   flags.Duration("timeout", defaultFollowTimeout, "how long --wait follows the change"),
	}
	flags.Var(&f.base, "base", "`VERSION` that the change builds on (default the current one)")
	return f
}

// submit submits the edits as one change, prints its version, and follows the
// rollout if --wait is given.
func (f *changeFlags) submit(ctx context.Context, c invocation, edits []tree.Edit, locate func(tree.Violation) string) (err error) {
	change := forms.Change{
		ID: mesh.ChangeID(*f.id), Author: *f.author, Note: *f.note, Base: f.base.version, Edits: forms.FromTreeEdits(edits),
	}
	if change.ID == "" {
		change.ID = mesh.ChangeID(rand.Text())
	}
	if !f.base.given {
		history, errRead := f.client().History(ctx)
		if errRead != nil {
			return describeError(errRead, nil)
		}
		change.Base = history.Version
	}
	accepted, err := submitWithRetries(ctx, f.client(), change)
	if err != nil {
		return describeError(err, locate)
	}
	err = f.print(c, accepted, func() error {
		_, errPrint := fmt.Fprintf(c.out, "accepted as version %d\n", accepted.Version)
		return errPrint
	})
	if err != nil || !*f.wait {
		return err
	}
	return followRollout(ctx, c, f.nodeFlags, accepted.Version, *f.timeout)
}

// submitWithRetries submits the change until its outcome is known. This is safe,
// since a change ID is accepted only once.
func submitWithRetries(ctx context.Context, node *client.Client, change forms.Change) (accepted forms.Accepted, err error) {
	var backoff relay.Backoff
	for range maxSubmitAttempts {
		accepted, err = node.Submit(ctx, change)
		if !outcomeUnknown(err) {
			return accepted, err
		}
		select {
		case <-ctx.Done():
			return accepted, errors.Join(err, ctx.Err())
		case <-time.After(backoff.Next()):
		}
	}
	return accepted, fmt.Errorf("change %s: %w", change.ID, err)
}

func outcomeUnknown(err error) bool {
	var problem *client.ProblemError
	if errors.As(err, &problem) {
		return problem.Problem.Code == forms.CodeUnknown
	}
	return errors.Is(err, client.ErrNoResponse)
}
