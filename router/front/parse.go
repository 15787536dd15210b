package front

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v2"
	"github.com/google/uuid"
	"github.com/oklog/ulid/v2"
	"github.com/tidwall/gjson"

	"camphorpulley.org/core"
	"camphorpulley.org/core/account"
	"camphorpulley.org/core/chat"
	"camphorpulley.org/core/config"
	"camphorpulley.org/core/order"
	"camphorpulley.org/core/pool"
	"camphorpulley.org/router/exchange"
)

// Names of headers that callers may send.
const (
	headerChat    = "X-Chat-Key"
	headerOnce    = "Idempotency-Key"
	headerTimeout = "X-Timeout-Ms"
	headerRequest = "X-Request-Id"
)

// header returns a copy of a header field, which stays valid after the request.
func header(c *fiber.Ctx, name string) string {
	return string(c.Request().Header.Peek(name))
}

// path returns a copy of the normalized path.
func path(c *fiber.Ctx) string {
	return string(c.Request().URI().Path())
}

// maxKey is the largest length in bytes of a key that a caller chooses.
const maxKey = 256

// checkMessage refuses requests whose framing or path two parties could read
// in different ways.
func checkMessage(c *fiber.Ctx) *core.Refusal {
	raw := bytes.ToLower(c.Request().Header.RawHeaders())
	lengths := bytes.Count(raw, []byte("\ncontent-length:"))
	encodings := bytes.Count(raw, []byte("\ntransfer-encoding:"))
	if bytes.HasPrefix(raw, []byte("content-length:")) {
		lengths++
	}
	if bytes.HasPrefix(raw, []byte("transfer-encoding:")) {
		encodings++
	}
	if lengths+encodings > 1 {
		return rejected(400, "ambiguous_length", "the request states its length more than once")
	}
	original := strings.ToLower(string(c.Request().URI().PathOriginal()))
	for _, part := range []string{"/../", "/./", "//", "%2e", "%2f", "%5c", "\\"} {
		if strings.Contains(original+"/", part) && original != "/" {
			return rejected(400, "bad_path", "the path has parts that can be read in several ways")
		}
	}
	return nil
}

// authenticate returns the account of the bearer token.
func authenticate(c *fiber.Ctx, sheet config.Sheet) (account.Account, *core.Refusal) {
	token, ok := strings.CutPrefix(header(c, fiber.HeaderAuthorization), "Bearer ")
	if !ok || token == "" {
		return account.Account{}, rejected(401, "no_token", "a bearer token is needed")
	}
	sum := sha256.Sum256([]byte(token))
	a, ok := account.ByToken(sheet.Accounts, hex.EncodeToString(sum[:]))
	if !ok {
		return a, rejected(401, "bad_token", "the bearer token is not known")
	}
	return a, nil
}

// newCall returns the parts that all requests have.
func newCall(c *fiber.Ctx, now time.Time, a account.Account, p pool.Pool) (*exchange.Call, *core.Refusal) {
	call := &exchange.Call{
		ID:      header(c, headerRequest),
		Account: a, Pool: p,
		Method:    c.Method(),
		URI:       string(c.Request().RequestURI()),
		Body:      c.Body(),
		StartedAt: now,
	}
	if call.ID == "" || len(call.ID) > maxKey {
		call.ID = uuid.NewString()
	}
	if ct := header(c, fiber.HeaderContentType); ct != "" {
		call.Header = append(call.Header, exchange.Header{Name: fiber.HeaderContentType, Value: ct})
	}
	timeout := p.Longest
	if text := header(c, headerTimeout); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 {
			return nil, rejected(400, "bad_timeout", headerTimeout+" must be a number of milliseconds")
		}
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	call.Deadline = now.Add(timeout)
	if len(header(c, headerChat)) > maxKey || len(header(c, headerOnce)) > maxKey {
		return nil, rejected(400, "key_too_long", "a key is longer than 256 bytes")
	}
	return call, nil
}

// parseChat reads a chat completions request.
func parseChat(c *fiber.Ctx, now time.Time, a account.Account, sheet config.Sheet) (*exchange.Call, *core.Refusal) {
	body := c.Body()
	if !gjson.ValidBytes(body) {
		return nil, rejected(400, "bad_json", "the body is not valid JSON")
	}
	request := gjson.ParseBytes(body)
	messages := request.Get("messages")
	if !messages.IsArray() || len(messages.Array()) == 0 {
		return nil, rejected(400, "no_messages", "messages must be an array that is not empty")
	}
	model := request.Get("model")
	if model.Type != gjson.String {
		return nil, rejected(400, "no_model", "model must be a string")
	}
	p, ok := pool.ForModel(sheet.Pools, model.String())
	if !ok {
		return nil, rejected(404, "unknown_model", "no pool serves the model")
	}
	call, refusal := newCall(c, now, a, p)
	if refusal != nil {
		return nil, refusal
	}
	key := request.Get("prompt_cache_key").String()
	if key == "" {
		key = header(c, headerChat)
	}
	call.AffinityKey = chat.Key(a.Name, key, []byte(messages.Raw))
	call.ContentDigest = core.Digest(xxhash.Sum64String(messages.Raw))
	call.Stream = request.Get("stream").Bool()
	if call.Stream {
		// A stream may be resumed after the library has reused its buffer.
		call.Body = append([]byte{}, call.Body...)
	}
	temperature := request.Get("temperature")
	call.Deterministic = request.Get("seed").Exists() || (temperature.Exists() && temperature.Float() == 0)
	return call, nil
}

// parseService reads a request to an application.
func parseService(c *fiber.Ctx, now time.Time, a account.Account, p pool.Pool) (*exchange.Call, *core.Refusal) {
	call, refusal := newCall(c, now, a, p)
	if refusal != nil {
		return nil, refusal
	}
	for name, value := range c.Request().Header.All() {
		if exchange.IsForwarded(string(name)) {
			call.Header = append(call.Header, exchange.Header{Name: string(name), Value: string(value)})
		}
	}
	key := header(c, headerChat)
	if key == "" {
		key = call.ID
	}
	call.AffinityKey = chat.Key(a.Name, key, nil)
	call.IdempotencyKey = header(c, headerOnce)
	call.AtMostOnce = p.RunsOnce(call.Method, path(c))
	call.ContentDigest = core.Digest(xxhash.Sum64String(call.Method + " " + call.URI + "\n" + string(call.Body)))
	if !call.AtMostOnce {
		call.IdempotencyKey = ""
		return call, nil
	}
	if call.IdempotencyKey == "" {
		return nil, rejected(400, "no_idempotency_key", "a request that may not be repeated needs an Idempotency-Key")
	}
	if born, dated := birth(call.IdempotencyKey); dated {
		if refusal := order.CheckBirth(now, born); refusal != nil {
			return nil, refusal
		}
	}
	return call, nil
}

// birth returns the time that a key states, if it is a UUID of version 7 or a
// ULID.
func birth(key string) (time.Time, bool) {
	if id, err := uuid.Parse(key); err == nil && id.Version() == 7 {
		sec, nsec := id.Time().UnixTime()
		return time.Unix(sec, nsec), true
	}
	if id, err := ulid.ParseStrict(key); err == nil {
		return ulid.Time(id.Time()), true
	}
	return time.Time{}, false
}
