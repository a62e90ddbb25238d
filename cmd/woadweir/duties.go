package main

import (
	"cmp"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"woadweir/internal/core/model"
	"woadweir/internal/duty"
	"woadweir/internal/state"
)

// statusTimeout is how long the state service may take for each answer.
const statusTimeout = 5 * model.Second

type dutiesCmd struct{ files }

func (c *dutiesCmd) Run() error {
	s, _, err := c.load()
	if err != nil {
		return badSettings{err}
	}
	statuses, err := state.NewClient(s.Services.State).Duties(statusTimeout)
	if err != nil {
		return err
	}
	out := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(out, "DUTY\tHOLDER\tTOKEN\tSINCE\tPREVIOUS\tITS TOKEN\tWHY IT LOST THE DUTY")
	for _, d := range statuses {
		fmt.Fprintln(out, row(d))
	}
	return out.Flush()
}

func row(d duty.Status) string {
	since := "-"
	if !d.Since.IsZero() {
		since = d.Since.Format(time.RFC3339)
	}
	return fmt.Sprintf("%s\t%s\t%d\t%s\t%s\t%d\t%s", d.Name, cmp.Or(d.Holder, "-"), d.Token, since, cmp.Or(d.Previous, "-"), d.PreviousToken, cmp.Or(string(d.Why), "-"))
}
