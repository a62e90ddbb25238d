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

// statusTimeout limits each request to the state service.
const statusTimeout = 5 * model.Second

// dutiesCmd prints the holders of the single-holder duties.
type dutiesCmd struct{ files }

func (c *dutiesCmd) Run() error {
	settings, _, err := c.loadSettings()
	if err != nil {
		return settingsError{err}
	}
	statuses, err := state.NewClient(settings.Services.State).Duties(statusTimeout)
	if err != nil {
		return err
	}
	out := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(out, "DUTY\tHOLDER\tTOKEN\tSINCE\tPREVIOUS\tITS TOKEN\tWHY IT LOST THE DUTY")
	for _, d := range statuses {
		fmt.Fprintln(out, formatDuty(d))
	}
	return out.Flush()
}

// formatDuty returns the table row of a duty, its columns separated by tabs.
func formatDuty(status duty.Status) string {
	since := "-"
	if !status.Since.IsZero() {
		since = status.Since.Format(time.RFC3339)
	}
	return fmt.Sprintf("%s\t%s\t%d\t%s\t%s\t%d\t%s", status.Name, cmp.Or(status.Holder, "-"), status.Token, since, cmp.Or(status.Previous, "-"), status.PreviousToken, cmp.Or(string(status.Why), "-"))
}
