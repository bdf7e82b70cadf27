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

// submitTries bounds how often a change of unknown outcome is repeated.
const submitTries = 5

// changeFlags holds the flags of commands that change the tree.
type changeFlags struct {
	remote
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
		remote:  remoteFlags(flags),
		author:  flags.String("author", author, "`NAME` that the history shows"),
		note:    flags.String("note", "", "`TEXT` that the history shows"),
		id:      flags.String("id", "", "`ID` of the change, which is applied once however often it is repeated (default random)"),
		wait:    flags.Bool("wait", false, "follow the change until it is in force everywhere"),
		timeout: flags.Duration("timeout", defaultFollow, "how long --wait follows the change"),
	}
	flags.Var(&f.base, "base", "`VERSION` that the change builds on (default the present one)")
	return f
}

// submit sends the edits as one change, says its version, and follows it if asked.
func (f *changeFlags) submit(ctx context.Context, c call, edits []tree.Edit, locate func(tree.Violation) string) (err error) {
	change := forms.Change{
		ID: mesh.ChangeID(*f.id), Author: *f.author, Note: *f.note, Base: f.base.version, Edits: forms.FromTreeEdits(edits),
	}
	if change.ID == "" {
		change.ID = mesh.ChangeID(rand.Text())
	}
	if !f.base.given {
		history, errRead := f.client().History(ctx)
		if errRead != nil {
			return explain(errRead, nil)
		}
		change.Base = history.Version
	}
	accepted, err := repeat(ctx, f.client(), change)
	if err != nil {
		return explain(err, locate)
	}
	err = f.print(c, accepted, func() error {
		_, errPrint := fmt.Fprintf(c.out, "accepted as version %d\n", accepted.Version)
		return errPrint
	})
	if err != nil || !*f.wait {
		return err
	}
	return follow(ctx, c, f.remote, accepted.Version, *f.timeout)
}

// repeat submits the change until its outcome is known.
func repeat(ctx context.Context, node *client.Client, change forms.Change) (accepted forms.Accepted, err error) {
	var backoff relay.Backoff
	for range submitTries {
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
	var refused *client.ProblemError
	if errors.As(err, &refused) {
		return refused.Problem.Code == forms.CodeUnknown
	}
	return errors.Is(err, client.ErrNoResponse)
}
