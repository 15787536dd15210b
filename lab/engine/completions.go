package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"
)

// request holds the fields of a chat completions request that the engine uses.
type request struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
}

// defaultMaxTokens is the length of a completion if the request sets no
// max_tokens.
const defaultMaxTokens = 16

// generation is the processing of one request by an engine process.
type generation struct {
	responseID   string
	boot         string
	tokens       []string
	promptTokens int
	cachedTokens int
	// resumeFrom is the number of tokens that the caller has already received.
	resumeFrom int
	faults     faults
	prompt     []block
}

func (e *engine) handleCompletion(c *fiber.Ctx) error {
	c.Set("X-Request-Id", c.Get("X-Request-Id"))
	var r request
	if err := json.Unmarshal(c.Body(), &r); err != nil || len(r.Messages) == 0 {
		return fiber.NewError(fiber.StatusBadRequest, "body is not a chat completions request with at least one message")
	}
	g := e.startGeneration(c, r)
	c.Set("X-Engine", e.id)
	c.Set("X-Engine-Boot", g.boot)
	c.Set("X-Request-Id", g.responseID)
	if containsCrashText(r.Messages) {
		// The crash resets the connection during the second sleep, so that the caller
		// gets no response.
		time.Sleep(e.settings.DecodeTime)
		e.crash()
		time.Sleep(e.settings.RestartDelay + time.Second)
		return errCrashed
	}
	if attempt := c.Get("X-Attempt"); g.faults.ErrorOnRetry != 0 && attempt != "" && attempt != "1" {
		e.endGeneration(g, true)
		return c.Status(g.faults.ErrorOnRetry).JSON(map[string]string{"error": errorOnRetryText})
	}
	if !r.Stream {
		return e.respond(c, g)
	}
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Context().SetBodyStreamWriter(func(out *bufio.Writer) { e.stream(out, g) })
	return nil
}

// errorOnRetryText describes the error of faults.ErrorOnRetry. The empty line would end an
// event of a stream.
const errorOnRetryText = "no room\n\nleft"

func (e *engine) startGeneration(c *fiber.Ctx, r request) generation {
	prompt := promptBlocks(r.Messages)
	g := generation{responseID: c.Get("X-Request-Id"), prompt: prompt}
	g.resumeFrom, _ = strconv.Atoi(c.Get("Last-Event-ID"))
	g.boot, g.cachedTokens = e.startRequest(time.Now(), prompt)
	for _, b := range prompt {
		g.promptTokens += b.tokens
	}
	n := r.MaxTokens
	if n <= 0 {
		n = defaultMaxTokens
	}
	g.tokens = generateTokens(prompt[len(prompt)-1].hash, n)
	e.mu.Lock()
	g.faults = e.faults
	e.mu.Unlock()
	if g.faults.MismatchID {
		g.responseID = "crossed-" + g.responseID
	}
	return g
}

// generateTokens returns the n tokens of a completion, which depend only on the
// hash of the prompt.
func generateTokens(hash uint64, n int) []string {
	tokens := make([]string, n)
	for i := range tokens {
		tokens[i] = fmt.Sprintf("w%03x ", (hash>>(i%40)+uint64(i)*2654435761)&0xfff)
	}
	return tokens
}

func (e *engine) prefill(g generation) {
	time.Sleep(time.Duration(g.promptTokens-g.cachedTokens) * e.settings.PrefillTime)
}

// endGeneration caches the prompt followed by the completion, which is how the
// next request of the chat begins, and counts the request as ended. A stream that
// ended before its end mark counts as cancelled.
func (e *engine) endGeneration(g generation, cancelled bool) {
	e.mu.Lock()
	if g.boot == e.stats.Boot {
		e.cache.store(append(g.prompt, completionBlock(g.prompt, g.tokens)))
	}
	e.mu.Unlock()
	e.endRequest(time.Now(), g.boot, cancelled)
}

// completionBlock returns the block of a completion that follows a prompt.
func completionBlock(prompt []block, tokens []string) block {
	content := strings.Join(tokens, "")
	hash := extendHash(prompt[len(prompt)-1].hash, message{Role: "assistant", Content: content})
	return block{hash, countTokens(content)}
}

// usage holds the token counts of a response.
type usage struct {
	Prompt     int          `json:"prompt_tokens"`
	Completion int          `json:"completion_tokens"`
	Total      int          `json:"total_tokens"`
	Details    usageDetails `json:"prompt_tokens_details"`
}

type usageDetails struct {
	Cached int `json:"cached_tokens"`
}

func (g generation) usage() *usage {
	n := len(g.tokens)
	return &usage{Prompt: g.promptTokens, Completion: n, Total: g.promptTokens + n, Details: usageDetails{Cached: g.cachedTokens}}
}

type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (e *engine) respond(c *fiber.Ctx, g generation) error {
	e.prefill(g)
	time.Sleep(time.Duration(len(g.tokens)) * e.settings.DecodeTime)
	e.endGeneration(g, false)
	reason := "stop"
	return c.JSON(completion{
		ID: g.responseID, Object: "chat.completion", Model: e.id,
		Choices: []choice{{
			Message:      &message{Role: "assistant", Content: strings.Join(g.tokens, "")},
			FinishReason: &reason,
		}},
		Usage: g.usage(),
	})
}

func (e *engine) stream(out *bufio.Writer, g generation) {
	cancelled := true
	defer func() { e.endGeneration(g, cancelled) }()
	e.prefill(g)
	for i := g.resumeFrom; i < len(g.tokens); i++ {
		if g.faults.TruncateAfter > 0 && i-g.resumeFrom >= g.faults.TruncateAfter {
			return
		}
		if g.faults.StallAfter > 0 && i-g.resumeFrom == g.faults.StallAfter {
			time.Sleep(stallDuration)
		}
		if err := e.writeToken(out, g, i); err != nil {
			return
		}
		time.Sleep(e.settings.DecodeTime)
	}
	if err := e.writeEnd(out, g); err == nil {
		cancelled = false
	}
}

// stallDuration is how long a stalled stream sends nothing.
const stallDuration = 10 * time.Second

// writeToken writes the event of token i.
func (e *engine) writeToken(out *bufio.Writer, g generation, i int) error {
	data, err := json.Marshal(completion{
		ID: g.responseID, Object: "chat.completion.chunk", Model: e.id,
		Choices: []choice{{Delta: &message{Role: "assistant", Content: g.tokens[i]}}},
	})
	if err != nil {
		return err
	}
	copies := 1
	if g.faults.DuplicateEvents {
		copies = 2
	}
	for range copies {
		fmt.Fprintf(out, "id: %d\ndata: %s\n\n", i+1, data)
	}
	return out.Flush()
}

// writeEnd writes the event with the finish reason and the usage, and the end
// mark.
func (e *engine) writeEnd(out *bufio.Writer, g generation) error {
	reason := "stop"
	data, err := json.Marshal(completion{
		ID: g.responseID, Object: "chat.completion.chunk", Model: e.id,
		Choices: []choice{{Delta: &message{}, FinishReason: &reason}}, Usage: g.usage(),
	})
	if err != nil {
		return err
	}
	n := len(g.tokens)
	fmt.Fprintf(out, "id: %d\ndata: %s\n\nid: %d\ndata: [DONE]\n\n", n+1, data, n+2)
	return out.Flush()
}
