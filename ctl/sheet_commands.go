package main

import (
	"context"
	"fmt"
	"os"
	"strings"

	"camphorpulley.org/base/wrap"

	"github.com/pmezard/go-difflib/difflib"
	"github.com/urfave/cli/v3"

	"camphorpulley.org/base/sheet"
	"camphorpulley.org/core"
	"camphorpulley.org/core/datacentre"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:        "check",
		Usage:       "check a sheet and report all problems",
		Description: "Example: camphorctl check deploy/trust.ini",
		Arguments:   fileArgument(),
		Action: func(_ context.Context, c *cli.Command) error {
			path, _, err := readSheet(c)
			if err == nil {
				fmt.Printf("%s: no problems\n", path)
			}
			return err
		},
	}
}

// readSheet reads the sheet in the command's argument and checks it. It returns
// the path and the text; the error is a usageError if the argument is missing or
// the file cannot be read, or a settings.Error if the sheet has problems.
func readSheet(c *cli.Command) (string, []byte, error) {
	path, err := requiredArgument(c, "file")
	if err != nil {
		return "", nil, err
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return "", nil, &usageError{Text: err.Error()}
	}
	_, err = sheet.Parse(path, text)
	return path, text, err
}

// author returns the name under which proposals are made.
func author() string {
	if name := os.Getenv("USER"); name != "" {
		return name
	}
	return "operator"
}

func publishCommand() *cli.Command {
	return &cli.Command{
		Name:  "publish",
		Usage: "publish a sheet, so that it comes into force",
		Description: "The sheet counts as edited from the revision in force now, or from --base. If another revision " +
			"comes into force first, the command fails and changes nothing.\n" +
			"Example: camphorctl publish deploy/trust.ini",
		Arguments: fileArgument(),
		Flags: []cli.Flag{logFlag, &cli.Uint64Flag{
			Name: "base", Usage: "number of the revision that the sheet was edited from (default: the one in force)",
		}},
		Action: func(_ context.Context, c *cli.Command) error {
			path, text, err := readSheet(c)
			if err != nil {
				return err
			}
			p, err := newPublisher(c)
			if err != nil {
				return err
			}
			base := p.tracker.InForce().Number
			if c.IsSet("base") {
				base = core.Offset(c.Uint64("base"))
			}
			number, err := p.publish(base, text)
			if err == nil {
				fmt.Printf("%s is revision %d\n", path, number)
			}
			return err
		},
	}
}

func diffCommand() *cli.Command {
	return &cli.Command{
		Name:        "diff",
		Usage:       "show the difference between the sheet in force and another one",
		Description: "Example: camphorctl diff deploy/trust.ini",
		Arguments:   fileArgument(),
		Flags:       []cli.Flag{logFlag},
		Action: func(_ context.Context, c *cli.Command) error {
			path, text, err := readSheet(c)
			if err != nil {
				return err
			}
			p, err := newPublisher(c)
			if err != nil {
				return err
			}
			r := p.tracker.InForce()
			diff, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
				A: difflib.SplitLines(string(r.Text)), B: difflib.SplitLines(string(text)),
				FromFile: fmt.Sprintf("revision %d", r.Number), ToFile: path, Context: 2,
			})
			fmt.Print(diff)
			return wrap.Err(err, "diff")
		},
	}
}

// serviceCommand returns the command that takes a data centre into or out of
// service by publishing the sheet in force with one key changed.
func serviceCommand(service, usage string) *cli.Command {
	return &cli.Command{
		Name:        service,
		Usage:       usage,
		Description: "Example: camphorctl " + service + " kandy",
		Arguments:   []cli.Argument{&cli.StringArg{Name: "datacentre", UsageText: "DATACENTRE"}},
		Flags:       []cli.Flag{logFlag},
		Action: func(_ context.Context, c *cli.Command) error {
			name, err := requiredArgument(c, "datacentre")
			if err != nil {
				return err
			}
			p, err := newPublisher(c)
			if err != nil {
				return err
			}
			r := p.tracker.InForce()
			if r.Number == 0 {
				return errNoRevision
			}
			text, err := sheet.SetService(r.Text, core.DataCentre(name), datacentre.ServiceState(service))
			if err != nil {
				return &usageError{Text: err.Error()}
			}
			number, err := p.publish(r.Number, text)
			if err == nil {
				fmt.Printf("%s is %s as of revision %d\n", strings.TrimSpace(name), service, number)
			}
			return err
		},
	}
}
