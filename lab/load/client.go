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
	// Temperature zero says that every run gives the same answer, so that a
	// broken stream may be run again elsewhere.
	Temperature float64 `json:"temperature"`
}

// result is what the caller saw of one request.
type result struct {
	FirstToken time.Duration
	Prompt     int
	Cached     int
	Answer     string
	Engine     string
	// Whole is set if the answer came to its end mark.
	Whole bool
	// Code is the code of a refusal, or "broken".
	Code string
}

type chunk struct {
	Model   string `json:"model"`
	Choices []struct {
		Delta message `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		Prompt  int `json:"prompt_tokens"`
		Details struct {
			Cached int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// requestTimeout bounds one request.
const requestTimeout = 60 * time.Second

// maxConns is the largest number of connections to one address.
const maxConns = 4096

func newClient() *fasthttp.Client {
	return &fasthttp.Client{StreamResponseBody: true, MaxConnsPerHost: maxConns, MaxIdemponentCallAttempts: 1}
}

// send sends a request and reads the stream to its end.
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
	begun := time.Now()
	if err := client.Do(req, resp); err != nil {
		fmt.Fprintf(os.Stderr, "no answer from %s: %v\n", address, err)
		return result{Code: "no_answer"}
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return result{Code: refusalCode(resp.BodyStream())}
	}
	res.read(begun, bufio.NewReader(resp.BodyStream()))
	return res
}

func refusalCode(body io.Reader) string {
	var refusal struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if err := json.NewDecoder(body).Decode(&refusal); err != nil || refusal.Error.Code == "" {
		return "broken"
	}
	return refusal.Error.Code
}

// read reads a stream of events.
func (res *result) read(begun time.Time, r *bufio.Reader) {
	var answer bytes.Buffer
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
			res.Whole = true
			res.Answer = answer.String()
			return
		}
		if res.FirstToken == 0 {
			res.FirstToken = time.Since(begun)
		}
		var c chunk
		if json.Unmarshal(data, &c) != nil || len(c.Choices) == 0 {
			res.Code = refusalCode(bytes.NewReader(data))
			continue
		}
		res.Engine = c.Model
		answer.WriteString(c.Choices[0].Delta.Content)
		if c.Usage != nil {
			res.Prompt, res.Cached = c.Usage.Prompt, c.Usage.Details.Cached
		}
	}
}
