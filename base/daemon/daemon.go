// Package daemon provides what all long-running programs share: the command
// line, the settings file, the log, the handling of signals and an HTTP server.
package daemon

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"camphorpulley.org/base/logs"
	"camphorpulley.org/base/settings"
	"camphorpulley.org/base/version"
	"camphorpulley.org/base/worker"
)

// Exit codes of all programs.
const (
	// ExitFailed means that the program failed while it ran.
	ExitFailed = 1
	// ExitSettings means that a settings file or the command line is wrong.
	ExitSettings = 2
)

// ExitHelp describes the exit codes in the help text of all programs.
const ExitHelp = "Exit codes: 0 done, 1 failed, 2 a settings file or the command line is wrong."

// Program describes a program whose settings have type T.
type Program[T any] struct {
	Name  string
	Usage string
	// Example is a command line with the subcommand run.
	Example string
	// Level returns the log level in the settings; nil means "info".
	Level func(T) string
	// Check validates settings beyond their tags; nil means no further checks.
	Check func(T) error
	// Run does the work of the program and returns once Process.Context is done.
	Run func(Process, T) error
}

// Process is passed to a running program.
type Process struct {
	// Context is cancelled at the first SIGTERM or SIGINT.
	Context context.Context
	// ForceStop is closed at the second SIGTERM or SIGINT.
	ForceStop <-chan struct{}
	Log       *zap.Logger
}

// Main runs a program with the command line of the process, then exits with its
// exit code.
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

func checkExample(runExample string) string {
	return strings.Replace(runExample, " run ", " check ", 1)
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
	worker.SetPanicHandler(func(e *worker.PanicError) {
		log.Error("job_panicked", logs.Err(e), zap.ByteString("stack", e.Stack))
	})
	ctx, forceStop := stopSignals(ctx)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go p.recheck(hangups, path, log)
	err = p.Run(Process{Context: ctx, ForceStop: forceStop, Log: log}, s)
	if err != nil && !errors.Is(err, context.Canceled) {
		log.Error("program_failed", zap.String("program", p.Name), logs.Err(err))
		return ExitFailed
	}
	return 0
}

// recheck checks the settings file at each SIGHUP and logs the result. The
// program keeps the settings that it was started with.
func (p Program[T]) recheck(hangups <-chan os.Signal, path string, log *zap.Logger) {
	for range hangups {
		var err error
		if panicked := worker.Protect(func() { _, err = p.load(path) }); panicked != nil {
			err = panicked
		}
		if err != nil {
			log.Warn("settings_invalid", zap.String("file", path), logs.Err(err))
			continue
		}
		log.Info("settings_checked", zap.String("file", path), zap.String("in_force", "at the next start"))
	}
}

// stopSignals returns a context that is cancelled at the first SIGTERM or
// SIGINT, and a channel that is closed at the second one.
func stopSignals(parent context.Context) (context.Context, <-chan struct{}) {
	ctx, cancel := context.WithCancel(parent)
	forceStop := make(chan struct{})
	received := make(chan os.Signal, 2)
	signal.Notify(received, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-received
		cancel()
		<-received
		close(forceStop)
	}()
	return ctx, forceStop
}
