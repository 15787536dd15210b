package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/valyala/fasthttp"
)

// message is one message of a chat.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// request is a chat completions request.
type request struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
	CacheKey  string    `json:"prompt_cache_key"`
	// Temperature is zero, which declares that every run produces the same
	// output, so that a broken stream may be run again on another engine.
	Temperature float64 `json:"temperature"`
}

// result is the outcome of one request for the caller.
type result struct {
	FirstToken   time.Duration
	PromptTokens int
	CachedTokens int
	Content      string
	// Engine is the id of the engine, which sends it as the model.
	Engine string
	// Complete reports whether the stream was received up to its end mark.
	Complete bool
	// Code is the error code of a failed request, "no_answer" if the connection
	// gave no response, or "broken" if the response was incomplete or unreadable.
	Code string
}

// chunk holds the fields of a stream event that the load tool uses.
type chunk struct {
	Model   string `json:"model"`
	Choices []struct {
		Delta message `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens  int `json:"prompt_tokens"`
		PromptDetails struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// requestTimeout is the time limit of one request.
const requestTimeout = 60 * time.Second

// maxConns is the largest number of connections to one address.
const maxConns = 4096

func newClient() *fasthttp.Client {
	return &fasthttp.Client{StreamResponseBody: true, MaxConnsPerHost: maxConns, MaxIdemponentCallAttempts: 1}
}

// send sends a request to an address and reads the streamed response to its end.
func send(client *fasthttp.Client, address, token string, r request) result {
	var res result
	body, err := json.Marshal(r)
	if err != nil {
		return result{Code: "broken"}
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	defer func() { _ = resp.CloseBodyStream() }()
	req.SetRequestURI("http://" + address + "/v1/chat/completions")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.Header.Set("Authorization", "Bearer "+token)
	req.SetBody(body)
	req.SetTimeout(requestTimeout)
	startedAt := time.Now()
	if err := client.Do(req, resp); err != nil {
		fmt.Fprintf(os.Stderr, "request to %s failed: %v\n", address, err)
		return result{Code: "no_answer"}
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return result{Code: errorCode(resp.BodyStream())}
	}
	res.readStream(startedAt, bufio.NewReader(resp.BodyStream()))
	return res
}

// errorCode returns the error code in the body of a response, or "broken" if it
// has none.
func errorCode(body io.Reader) string {
	var failure struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if err := json.NewDecoder(body).Decode(&failure); err != nil || failure.Error.Code == "" {
		return "broken"
	}
	return failure.Error.Code
}

// readStream reads a stream of events to its end mark and records what they
// hold. startedAt is when the request was sent.
func (res *result) readStream(startedAt time.Time, r *bufio.Reader) {
	var content bytes.Buffer
	for {
		line, err := r.ReadBytes('\n')
		if err != nil {
			if res.Code == "" {
				res.Code = "broken"
			}
			return
		}
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			res.Complete = true
			res.Content = content.String()
			return
		}
		if res.FirstToken == 0 {
			res.FirstToken = time.Since(startedAt)
		}
		var c chunk
		if json.Unmarshal(data, &c) != nil || len(c.Choices) == 0 {
			res.Code = errorCode(bytes.NewReader(data))
			continue
		}
		res.Engine = c.Model
		content.WriteString(c.Choices[0].Delta.Content)
		if c.Usage != nil {
			res.PromptTokens, res.CachedTokens = c.Usage.PromptTokens, c.Usage.PromptDetails.CachedTokens
		}
	}
}
