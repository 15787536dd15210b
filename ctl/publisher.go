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

// errNoRevision reports that no revision is in force.
var errNoRevision = errors.New("no revision is in force; publish a sheet first")

// conflictError reports that a proposal is void because another revision came
// into force first.
type conflictError struct {
	Void config.VoidError
}

// Error implements error.
func (e *conflictError) Error() string {
	return fmt.Sprintf("not published: %v; check the changes with camphorctl diff and publish again", &e.Void)
}

// unknownOutcomeError reports that it is not known whether a proposal is in the
// log.
type unknownOutcomeError struct {
	Cause error
}

// Error implements error.
func (e *unknownOutcomeError) Error() string {
	return fmt.Sprintf("the sheet may have been published, the outcome is unknown (%v); check with camphorctl show", e.Cause)
}

// publisher reads the configuration stream of the log service and appends
// proposals to it.
type publisher struct {
	client  logservice.Client
	tracker config.Tracker
	// next is the offset of the next record to read.
	next core.Offset
	// results holds the tracker's decision on each proposal read, by its offset;
	// nil means that the proposal came into force.
	results   map[core.Offset]error
	proposals []loggedProposal
}

type loggedProposal struct {
	offset   core.Offset
	proposal config.Proposal
}

// newPublisher returns a publisher for the log service given by the command's
// flags, after reading all records of the configuration stream.
func newPublisher(c *cli.Command) (*publisher, error) {
	p := &publisher{client: logservice.Client{LogAddress: c.String("log")}, next: 1, results: map[core.Offset]error{}}
	return p, p.read()
}

// read applies all records from offset next on.
func (p *publisher) read() error {
	for {
		page, err := p.client.Read(logservice.ConfigStream, p.next, 0)
		if err != nil {
			return err
		}
		p.tracker.LogTrimmed(page.Earliest)
		for _, r := range page.Records {
			if err := p.apply(r); err != nil {
				return err
			}
		}
		if p.next = max(p.next, page.Earliest); len(page.Records) == 0 || p.next >= page.Next {
			return nil
		}
	}
}

func (p *publisher) apply(r logservice.Record) error {
	p.next = r.Offset + 1
	entry, err := record.Decode[record.Config](r.Data)
	if err != nil {
		return wrap.Err(err, fmt.Sprintf("record %d", r.Offset))
	}
	switch {
	case entry.Proposal != nil:
		p.results[r.Offset] = p.tracker.ApplyProposal(r.Offset, *entry.Proposal)
		p.proposals = append(p.proposals, loggedProposal{r.Offset, *entry.Proposal})
	case entry.Snapshot != nil:
		p.tracker.ApplySnapshot(*entry.Snapshot)
		p.tracker.Skip(r.Offset)
	default:
		p.tracker.Skip(r.Offset)
	}
	return nil
}

const (
	// readBackTries is how often the stream is read after an append to find out
	// the decision on the proposal.
	readBackTries = 20
	// readBackPause is the time after each of these reads.
	readBackPause = 250 * time.Millisecond
)

// publish appends a proposal, then reads the stream until the proposal is
// decided. It returns the number of the new revision, a conflictError if another
// revision came into force first, or an unknownOutcomeError. If the append got
// no response, the proposal is searched for among the records read since.
func (p *publisher) publish(base core.Offset, text []byte) (core.Offset, error) {
	proposal := config.Proposal{Base: base, Author: author(), Text: text}
	data, err := record.Encode(record.Config{Proposal: &proposal})
	if err != nil {
		return 0, err
	}
	readBefore := len(p.proposals)
	offset, appendErr := p.client.Append(logservice.ConfigStream, data)
	for range readBackTries {
		err = p.read()
		if err == nil && offset == 0 {
			offset = p.find(readBefore, proposal)
		}
		if result, decided := p.results[offset]; err == nil && decided {
			return offset, publishError(result)
		}
		if err == nil && appendErr == nil {
			err = errors.New("the proposal is not in the log yet")
		}
		time.Sleep(readBackPause)
	}
	if appendErr != nil {
		err = appendErr
	}
	return 0, &unknownOutcomeError{Cause: err}
}

// find returns the offset of the wanted proposal, or zero if it is not there. It
// skips the given number of proposals, which were read before the append.
func (p *publisher) find(skip int, wanted config.Proposal) core.Offset {
	for _, r := range p.proposals[skip:] {
		if r.proposal.Base == wanted.Base && r.proposal.Author == wanted.Author && bytes.Equal(r.proposal.Text, wanted.Text) {
			return r.offset
		}
	}
	return 0
}

// publishError returns a conflictError for a void proposal, and any other
// result unchanged.
func publishError(result error) error {
	var void *config.VoidError
	if errors.As(result, &void) {
		return &conflictError{Void: *void}
	}
	return result
}
