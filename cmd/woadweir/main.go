// Command woadweir runs one controller of the cluster scheduler.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"runtime/debug"
	"strings"

	"github.com/alecthomas/kong"

	"woadweir"
	"woadweir/internal/config"
	"woadweir/internal/controller"
)

// cli has the commands. kong derives their names and flags from the field names.
type cli struct {
	Run     runCmd     `cmd:"" default:"withargs" help:"Run a controller until it is killed (default command)."`
	Duties  dutiesCmd  `cmd:"" help:"Show which controller holds each single-holder duty, since when, and why the previous holder lost it."`
	Spills  spillsCmd  `cmd:"" help:"List the jobs lent to other cells and borrowed from them, since when, and with which token."`
	Check   checkCmd   `cmd:"" help:"Validate the settings files and print the first error."`
	Version versionCmd `cmd:"" help:"Print the version."`
}

// files are the flags that name the settings files.
type files struct {
	Config   string `required:"" placeholder:"PATH" help:"Platform settings file (TOML)."`
	Operator string `placeholder:"PATH" help:"Operator settings file (XML). Without it, the defaults apply."`
	Duties   string `placeholder:"PATH" help:"File that says which controllers hold single-holder duties (XML). Without it, the leader performs all duties."`
	Spill    string `placeholder:"PATH" help:"File that names the cells to lend jobs to and borrow jobs from (XML). Without it, no jobs are lent or borrowed."`
}

// loadSettings reads and validates all settings files.
func (f *files) loadSettings() (*config.Settings, *config.OperatorSettings, error) {
	settings, err := config.Load(f.Config)
	if err != nil {
		return nil, nil, err
	}
	operator, err := config.LoadOperatorSettings(f.Operator)
	if err != nil {
		return nil, nil, err
	}
	if operator.Duties, err = config.LoadDuties(f.Duties, settings, operator); err != nil {
		return nil, nil, err
	}
	operator.Spill, err = config.LoadSpill(f.Spill, settings)
	return settings, operator, err
}

// settingsError is an error in the settings or the command line. It leads to exit status 2.
type settingsError struct{ error }

// runCmd runs a controller.
type runCmd struct{ files }

// memoryLimitShare is the share of the memory quota that is set as the Go runtime's memory
// limit, unless GOMEMLIMIT sets one.
const memoryLimitShare = 0.7

func (c *runCmd) Run() error {
	settings, operator, err := c.loadSettings()
	if err != nil {
		return settingsError{err}
	}
	if mb := settings.Params.Quota.RAMMB; mb > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(mb * memoryLimitShare * 1e6))
	}
	return controller.Run(context.Background(), settings, operator)
}

// checkCmd validates the settings.
type checkCmd struct{ files }

func (c *checkCmd) Run() error {
	if _, _, err := c.loadSettings(); err != nil {
		return settingsError{err}
	}
	fmt.Println("settings are good")
	return nil
}

// versionCmd prints the version.
type versionCmd struct{}

func (versionCmd) Run() error {
	fmt.Println("woadweir", woadweir.Version)
	return nil
}

// logLevel returns the log level that LOG_LEVEL names. The default is error.
func logLevel() slog.Level {
	switch strings.ToLower(os.Getenv("LOG_LEVEL")) {
	case "debug":
		return slog.LevelDebug
	case "info":
		return slog.LevelInfo
	}
	return slog.LevelError
}

func main() {
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: logLevel()})))
	var commands cli
	parser, err := kong.New(&commands, kong.Name("woadweir"), kong.Description("Runs and inspects a controller of the woadweir cluster scheduler."))
	if err != nil {
		panic(err)
	}
	ctx, err := parser.Parse(os.Args[1:])
	if err == nil {
		err = ctx.Run()
	} else {
		err = settingsError{err}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "woadweir:", strings.ReplaceAll(err.Error(), "\n", " "))
		if errors.As(err, new(settingsError)) {
			os.Exit(2)
		}
		os.Exit(1)
	}
}
