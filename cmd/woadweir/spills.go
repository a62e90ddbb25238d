package main

import (
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"woadweir/internal/state"
)

type spillsCmd struct{ files }

func (c *spillsCmd) Run() error {
	s, _, err := c.load()
	if err != nil {
		return badSettings{err}
	}
	list, err := state.NewClient(s.Services.State).Spills(statusTimeout)
	if err != nil {
		return err
	}
	out := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(out, "JOB\tHOME\tGUEST\tSTATE\tTOKEN\tSINCE")
	for _, r := range list {
		home, guest := "here", r.Cell
		if !r.Out {
			home, guest = r.Cell, "here"
		}
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%d\t%s\n", r.Job, home, guest, r.State, r.Token, r.Since.Format(time.RFC3339))
	}
	return out.Flush()
}
