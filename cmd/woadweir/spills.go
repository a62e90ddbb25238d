package main

import (
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"woadweir/internal/state"
)

// spillsCmd prints the jobs that are lent to other cells or borrowed from them.
type spillsCmd struct{ files }

func (c *spillsCmd) Run() error {
	settings, _, err := c.loadSettings()
	if err != nil {
		return settingsError{err}
	}
	spills, err := state.NewClient(settings.Services.State).Spills(statusTimeout)
	if err != nil {
		return err
	}
	out := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(out, "JOB\tHOME\tGUEST\tSTATE\tTOKEN\tSINCE")
	for _, record := range spills {
		home, guest := "here", record.Cell
		if !record.Out {
			home, guest = record.Cell, "here"
		}
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%d\t%s\n", record.Job, home, guest, record.State, record.Token, record.Since.Format(time.RFC3339))
	}
	return out.Flush()
}
