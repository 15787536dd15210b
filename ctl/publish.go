package main

import (
	"bytes"
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"camphorpulley.org/base/logservice"
	"camphorpulley.org/base/record"
	"camphorpulley.org/base/wrap"
	"camphorpulley.org/core"
	"camphorpulley.org/core/config"
)

// errNothing means that no revision is in force.
var errNothing = errors.New("no revision is in force; publish a sheet first")

// conflictError reports that another revision came into force first.
type conflictError struct {
	Void config.VoidError
}

// Error implements error.
func (e *conflictError) Error() string {
	return fmt.Sprintf("not published: %v; look at the difference with camphorctl diff and publish again", &e.Void)
}

// unknownError reports a proposal of which it is not known whether it stands
// in the log.
type unknownError struct {
	Cause error
}

// Error implements error.
func (e *unknownError) Error() string {
	return fmt.Sprintf("the log did not say whether the sheet was published (%v); ask camphorctl show", e.Cause)
}

// publisher reads the configuration from the log and appends to it.
type publisher struct {
	client logservice.Client
	reader config.Reader
	next   core.Offset
	// results holds what was decided on each proposal that was read.
	results   map[core.Offset]error
	proposals []readProposal
}

type readProposal struct {
	offset   core.Offset
	proposal config.Proposal
}

// openLog returns a publisher that has read what the log of the command has.
func openLog(c *cli.Command) (*publisher, error) {
	p := &publisher{client: logservice.Client{Log: c.String("log")}, next: 1, results: map[core.Offset]error{}}
	return p, p.read()
}

// read folds what the log has.
func (p *publisher) read() error {
	for {
		page, err := p.client.Read(logservice.ConfigStream, p.next, 0)
		if err != nil {
			return err
		}
		p.reader.LogTrimmed(page.Earliest)
		for _, r := range page.Records {
			if err := p.fold(r); err != nil {
				return err
			}
		}
		if p.next = max(p.next, page.Earliest); len(page.Records) == 0 || p.next >= page.Next {
			return nil
		}
	}
}

func (p *publisher) fold(r logservice.Record) error {
	p.next = r.Offset + 1
	entry, err := record.Decode[record.Config](r.Data)
	if err != nil {
		return wrap.Err(err, fmt.Sprintf("record %d", r.Offset))
	}
	switch {
	case entry.Proposal != nil:
		p.results[r.Offset] = p.reader.ApplyProposal(r.Offset, *entry.Proposal)
		p.proposals = append(p.proposals, readProposal{r.Offset, *entry.Proposal})
	case entry.Snapshot != nil:
		p.reader.ApplySnapshot(*entry.Snapshot)
		p.reader.Skip(r.Offset)
	default:
		p.reader.Skip(r.Offset)
	}
	return nil
}

const (
	// readBackTries is how often the log is read after an append that got no
	// answer.
	readBackTries = 20
	// readBackPause is the time between two such reads.
	readBackPause = 250 * time.Millisecond
)

// publish appends a proposal and reads back what became of it. An append that
// got no answer is looked for in the log before anything is said.
func (p *publisher) publish(base core.Offset, text []byte) (core.Offset, error) {
	proposal := config.Proposal{Base: base, Author: author(), Text: text}
	data, err := record.Encode(record.Config{Proposal: &proposal})
	if err != nil {
		return 0, err
	}
	before := len(p.proposals)
	offset, appendErr := p.client.Append(logservice.ConfigStream, data)
	for range readBackTries {
		err = p.read()
		if err == nil && offset == 0 {
			offset = p.find(before, proposal)
		}
		if result, decided := p.results[offset]; err == nil && decided {
			return offset, conflict(result)
		}
		if err == nil && appendErr == nil {
			err = errors.New("the record is not in the log yet")
		}
		time.Sleep(readBackPause)
	}
	if appendErr != nil {
		err = appendErr
	}
	return 0, &unknownError{Cause: err}
}

// find returns the offset of an own proposal among those read since.
func (p *publisher) find(before int, own config.Proposal) core.Offset {
	for _, r := range p.proposals[before:] {
		if r.proposal.Base == own.Base && r.proposal.Author == own.Author && bytes.Equal(r.proposal.Text, own.Text) {
			return r.offset
		}
	}
	return 0
}

func conflict(result error) error {
	var void *config.VoidError
	if errors.As(result, &void) {
		return &conflictError{Void: *void}
	}
	return result
}
