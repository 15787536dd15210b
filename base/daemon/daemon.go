// Package daemon is the frame of all programs that run until they are told to
// stop: the command line, the settings file, the log and the signals.
package daemon

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"camphorpulley.org/base/logs"
	"camphorpulley.org/base/settings"
	"camphorpulley.org/base/version"
)

// Exit codes of all programs.
const (
	// ExitFailed means that the program could not do its work.
	ExitFailed = 1
	// ExitSettings means that a file or the command line is wrong.
	ExitSettings = 2
)

// ExitHelp is the text on exit codes in the help of all programs.
const ExitHelp = "Exit codes: 0 done, 1 failed, 2 a settings file or the command line is wrong."

// Program describes a program whose settings have type T.
type Program[T any] struct {
	Name    string
	Usage   string
	Example string
	// Level returns the log level that the settings ask for.
	Level func(T) string
	// Check returns further problems of settings that were read.
	Check func(T) error
	Run   func(Process, T) error
}

// Process is a running program.
type Process struct {
	// Context is done at the first SIGTERM or SIGINT.
	Context context.Context
	// Again is closed at the second one.
	Again <-chan struct{}
	Log   *zap.Logger
}

// Main runs a program with the process's command line and exits.
func Main[T any](p Program[T]) {
	os.Exit(p.main(context.Background(), os.Args))
}

func (p Program[T]) main(ctx context.Context, args []string) int {
	code := 0
	file := []cli.Argument{&cli.StringArg{Name: "file", UsageText: "FILE"}}
	app := &cli.Command{
		Name:        p.Name,
		Usage:       p.Usage,
		Version:     version.Version,
		Description: ExitHelp,
		Commands: []*cli.Command{
			{
				Name:        "run",
				Usage:       "run until SIGTERM",
				Description: "Example: " + p.Example,
				Arguments:   file,
				Action: func(ctx context.Context, c *cli.Command) error {
					code = p.run(ctx, c.StringArg("file"))
					return nil
				},
			},
			{
				Name:        "check",
				Usage:       "check a settings file and report every problem",
				Description: "Example: " + checkExample(p.Example),
				Arguments:   file,
				Action: func(_ context.Context, c *cli.Command) error {
					code = p.check(c.StringArg("file"))
					return nil
				},
			},
		},
	}
	if err := app.Run(ctx, args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitSettings
	}
	return code
}

func (p Program[T]) load(path string) (T, error) {
	s, err := settings.Load[T](path)
	if err == nil && p.Check != nil {
		err = p.Check(s)
	}
	return s, err
}

func (p Program[T]) check(path string) int {
	if _, err := p.load(path); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitSettings
	}
	fmt.Printf("%s: no problems\n", path)
	return 0
}

func (p Program[T]) run(ctx context.Context, path string) int {
	s, err := p.load(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitSettings
	}
	level := ""
	if p.Level != nil {
		level = p.Level(s)
	}
	log := logs.New(level)
	defer func() { _ = log.Sync() }()
	ctx, again := signals(ctx)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	go p.reload(reload, path, log)
	err = p.Run(Process{Context: ctx, Again: again, Log: log}, s)
	if err != nil && !errors.Is(err, context.Canceled) {
		log.Error("program_failed", zap.String("program", p.Name), logs.Err(err))
		return ExitFailed
	}
	return 0
}

// reload checks the settings file at each SIGHUP and says what it found. A
// running program keeps the settings that it was started with.
func (p Program[T]) reload(signals <-chan os.Signal, path string, log *zap.Logger) {
	for range signals {
		if _, err := p.load(path); err != nil {
			log.Warn("settings_invalid", zap.String("file", path), logs.Err(err))
			continue
		}
		log.Info("settings_checked", zap.String("file", path), zap.String("in_force", "at the next start"))
	}
}

// signals returns a context that the first signal ends and a channel that the
// second one closes.
func signals(parent context.Context) (context.Context, <-chan struct{}) {
	ctx, cancel := context.WithCancel(parent)
	again := make(chan struct{})
	received := make(chan os.Signal, 2)
	signal.Notify(received, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-received
		cancel()
		<-received
		close(again)
	}()
	return ctx, again
}
