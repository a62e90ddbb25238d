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

type cli struct {
	Run     runCmd     `cmd:"" default:"withargs" help:"Run a controller until it is killed (the default)."`
	Duties  dutiesCmd  `cmd:"" help:"Tell who holds which single-holder duty, since when, and why the holder before lost it."`
	Spills  spillsCmd  `cmd:"" help:"Tell which jobs are lent to other cells and by them, since when, and under which token."`
	Check   checkCmd   `cmd:"" help:"Read and check the settings, and print the first thing wrong."`
	Version versionCmd `cmd:"" help:"Print the version."`
}

type files struct {
	Config   string `required:"" placeholder:"PATH" help:"The platform's settings file (TOML)."`
	Operator string `placeholder:"PATH" help:"The operators' own settings (XML). Without it, defaults hold."`
	Duties   string `placeholder:"PATH" help:"Which controllers hold single-holder duties (XML). Without it, the leader does everything."`
	Spill    string `placeholder:"PATH" help:"Which other cells jobs are lent to and taken from (XML). Without it, none."`
}

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

// badSettings is reported with exit status 2.
type settingsError struct{ error }

type runCmd struct{ files }

func (c *runCmd) Run() error {
	settings, operator, err := c.loadSettings()
	if err != nil {
		return settingsError{err}
	}
	if mb := settings.Params.Quota.RAMMB; mb > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(mb * 0.7 * 1e6))
	}
	return controller.Run(context.Background(), settings, operator)
}

type checkCmd struct{ files }

func (c *checkCmd) Run() error {
	if _, _, err := c.loadSettings(); err != nil {
		return settingsError{err}
	}
	fmt.Println("settings are good")
	return nil
}

type versionCmd struct{}

func (versionCmd) Run() error {
	fmt.Println("woadweir", woadweir.Version)
	return nil
}

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
	parser, err := kong.New(&commands, kong.Name("woadweir"), kong.Description("A cluster scheduler: one controller node."))
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
