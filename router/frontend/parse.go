package frontend

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

// Names of request headers that callers may send.
const (
	headerChatKey        = "X-Chat-Key"
	headerIdempotencyKey = "Idempotency-Key"
	headerTimeout        = "X-Timeout-Ms"
	headerRequest        = "X-Request-Id"
)

// header returns a copy of a header field, which stays valid after the handler
// returns.
func header(c *fiber.Ctx, name string) string {
	return string(c.Request().Header.Peek(name))
}

// path returns a copy of the normalised path.
func path(c *fiber.Ctx) string {
	return string(c.Request().URI().Path())
}

// maxKeyLength is the largest length in bytes of a chat key or idempotency key in
// a header, and of a request id.
const maxKeyLength = 256

// checkAmbiguity refuses requests whose length or path could be interpreted
// differently by the router and an upstream.
func checkAmbiguity(c *fiber.Ctx) *core.Refusal {
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
		return invalidRequest(400, "ambiguous_length", "the request states its length more than once")
	}
	original := strings.ToLower(string(c.Request().URI().PathOriginal()))
	for _, part := range []string{"/../", "/./", "//", "%2e", "%2f", "%5c", "\\"} {
		if strings.Contains(original+"/", part) && original != "/" {
			return invalidRequest(400, "bad_path", "the path has parts that can be read in several ways")
		}
	}
	return nil
}

// authenticate returns the account of the request's bearer token.
func authenticate(c *fiber.Ctx, sheet config.Sheet) (account.Account, *core.Refusal) {
	token, ok := strings.CutPrefix(header(c, fiber.HeaderAuthorization), "Bearer ")
	if !ok || token == "" {
		return account.Account{}, invalidRequest(401, "no_token", "a bearer token is needed")
	}
	sum := sha256.Sum256([]byte(token))
	a, ok := account.ByToken(sheet.Accounts, hex.EncodeToString(sum[:]))
	if !ok {
		return a, invalidRequest(401, "bad_token", "the bearer token is not known")
	}
	return a, nil
}

// newCall returns a call with the fields that are set alike for chats and
// applications: id, account, pool, method, URI, body, content type, start and
// deadline.
func newCall(c *fiber.Ctx, now time.Time, a account.Account, p pool.Pool) (*exchange.Call, *core.Refusal) {
	call := &exchange.Call{
		ID:      header(c, headerRequest),
		Account: a, Pool: p,
		Method:    c.Method(),
		URI:       string(c.Request().RequestURI()),
		Body:      c.Request().Body(),
		StartedAt: now,
	}
	call.IDGiven = call.ID != "" && len(call.ID) <= maxKeyLength
	if !call.IDGiven {
		call.ID = uuid.NewString()
	}
	if ct := header(c, fiber.HeaderContentType); ct != "" {
		call.Headers = append(call.Headers, exchange.HeaderField{Name: fiber.HeaderContentType, Value: ct})
	}
	timeout := p.MaxRunTime
	if text := header(c, headerTimeout); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 {
			return nil, invalidRequest(400, "bad_timeout", headerTimeout+" must be a number of milliseconds")
		}
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	call.Deadline = now.Add(timeout)
	if len(header(c, headerChatKey)) > maxKeyLength || len(header(c, headerIdempotencyKey)) > maxKeyLength {
		return nil, invalidRequest(400, "key_too_long", "a key is longer than 256 bytes")
	}
	return call, nil
}

// parseChat parses a chat completions request. The model selects the pool.
func parseChat(c *fiber.Ctx, now time.Time, a account.Account, sheet config.Sheet) (*exchange.Call, *core.Refusal) {
	body := c.Request().Body()
	if !gjson.ValidBytes(body) {
		return nil, invalidRequest(400, "bad_json", "the body is not valid JSON")
	}
	request := gjson.ParseBytes(body)
	messages := request.Get("messages")
	if !messages.IsArray() || len(messages.Array()) == 0 {
		return nil, invalidRequest(400, "no_messages", "messages must be an array that is not empty")
	}
	model := request.Get("model")
	if model.Type != gjson.String {
		return nil, invalidRequest(400, "no_model", "model must be a string")
	}
	p, ok := pool.ForModel(sheet.Pools, model.String())
	if !ok {
		return nil, invalidRequest(404, "unknown_model", "no pool serves the model")
	}
	call, refusal := newCall(c, now, a, p)
	if refusal != nil {
		return nil, refusal
	}
	key := request.Get("prompt_cache_key").String()
	if key == "" {
		key = header(c, headerChatKey)
	}
	call.AffinityKey = chat.Key(a.Name, key, []byte(messages.Raw))
	call.ContentDigest = core.Digest(xxhash.Sum64String(messages.Raw))
	call.Stream = request.Get("stream").Bool()
	temperature := request.Get("temperature")
	call.Deterministic = request.Get("seed").Exists() || (temperature.Exists() && temperature.Float() == 0)
	return call, nil
}

// parseApplication parses a request to an application. It refuses a request
// that may run at most once if its idempotency key is missing or has a time
// that is out of bounds.
func parseApplication(c *fiber.Ctx, now time.Time, a account.Account, p pool.Pool) (*exchange.Call, *core.Refusal) {
	call, refusal := newCall(c, now, a, p)
	if refusal != nil {
		return nil, refusal
	}
	for name, value := range c.Request().Header.All() {
		if exchange.IsForwarded(string(name)) {
			call.Headers = append(call.Headers, exchange.HeaderField{Name: string(name), Value: string(value)})
		}
	}
	key := header(c, headerChatKey)
	if key == "" {
		key = call.ID
	}
	call.AffinityKey = chat.Key(a.Name, key, nil)
	call.IdempotencyKey = header(c, headerIdempotencyKey)
	call.AtMostOnce = p.IsAtMostOnce(call.Method, path(c))
	call.ContentDigest = core.Digest(xxhash.Sum64String(call.Method + " " + call.URI + "\n" + string(call.Body)))
	if !call.AtMostOnce {
		call.IdempotencyKey = ""
		return call, nil
	}
	if call.IdempotencyKey == "" {
		return nil, invalidRequest(400, "no_idempotency_key", "a request that may not be repeated needs an Idempotency-Key")
	}
	if created, dated := keyTimestamp(call.IdempotencyKey); dated {
		if refusal := order.CheckKeyTime(now, created); refusal != nil {
			return nil, refusal
		}
	}
	return call, nil
}

// keyTimestamp returns the time encoded in an idempotency key, and reports
// whether the key has one, that is, whether it is a UUID of version 7 or a
// ULID.
func keyTimestamp(key string) (time.Time, bool) {
	if id, err := uuid.Parse(key); err == nil && id.Version() == 7 {
		sec, nsec := id.Time().UnixTime()
		return time.Unix(sec, nsec), true
	}
	if id, err := ulid.ParseStrict(key); err == nil {
		return ulid.Time(id.Time()), true
	}
	return time.Time{}, false
}
