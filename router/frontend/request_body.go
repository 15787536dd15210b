package frontend

import (
	"io"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/gofiber/fiber/v2"
	"github.com/valyala/fasthttp"

	"camphorpulley.org/core"
	"camphorpulley.org/router/blocks"
	"camphorpulley.org/router/budget"
)

// memoryRetryAfter is when a caller whose request was refused because memory was short may come
// back: bodies that make no progress have been dropped by then.
const memoryRetryAfter = time.Second

// localHolding is the key of the *budget.Holding of a request's body in its locals, until a
// response that outlives the handler takes it.
const localHolding = "holding"

// readBody reads the body of a request within the budget before the request is handled. It
// refuses a request whose body is larger than maxBody bytes.
func (s *Server) readBody(maxBody int) fiber.Handler {
	return func(c *fiber.Ctx) error {
		counted, _ := c.Context().Conn().(*countedConn)
		stream := c.Context().RequestBodyStream()
		if stream == nil || c.Request().Header.ContentLength() == 0 {
			counted.setBusy()
			return c.Next()
		}
		// A connection whose body stops short may be closed as one without a request.
		counted.setIdle()
		holding, refusal := s.holdBody(c, stream, maxBody)
		counted.setBusy()
		if refusal != nil {
			c.Context().SetConnectionClose()
			return refuse(c, refusal)
		}
		c.Locals(localHolding, holding)
		defer func() { takeHolding(c).Release() }()
		return c.Next()
	}
}

// takeHolding returns the holding of a request's body, which the caller must release; nil if
// there is none or it was taken before.
func takeHolding(c *fiber.Ctx) *budget.Holding {
	h, _ := c.Locals(localHolding).(*budget.Holding)
	c.Locals(localHolding, nil)
	return h
}

// holdBody reads the body of a request into the memory of a holding and makes it the body of
// the request.
func (s *Server) holdBody(c *fiber.Ctx, stream io.Reader, maxBody int) (*budget.Holding, *core.Refusal) {
	length := c.Request().Header.ContentLength()
	if length > maxBody {
		return nil, bodyRefusal(fasthttp.ErrBodyTooLarge)
	}
	conn := c.Context().Conn()
	holding := s.Memory.Begin(c.Context().RemoteIP().String(), func() {
		// A deadline in the past ends the wait for the caller's next bytes.
		_ = conn.SetReadDeadline(time.Unix(1, 0))
	})
	body, err := blocks.Reader{
		Source: io.LimitReader(stream, int64(maxBody)+1), Length: int64(length),
		Acquire: func(n, bytes int) error { return holding.Acquire(n, int64(bytes)) },
	}.ReadAll()
	if err == nil && body.Len() > maxBody {
		err = fasthttp.ErrBodyTooLarge
	}
	if err == nil && len(body) > 1 {
		// The copy in one piece takes as much again.
		err = holding.Acquire(body.Len(), int64(body.Len()))
	}
	if pinErr := holding.Pin(); pinErr != nil {
		err = pinErr
	}
	if err != nil {
		body.Recycle()
		holding.Release()
		return nil, bodyRefusal(err)
	}
	c.Request().SetBodyRaw(body.Bytes())
	if len(body) > 1 {
		body.Recycle()
	}
	if err := decodeBody(c, holding, maxBody); err != nil {
		holding.Release()
		return nil, bodyRefusal(err)
	}
	return holding, nil
}

// decodeBody replaces an encoded body by its content, of maxBody bytes at most.
func decodeBody(c *fiber.Ctx, holding *budget.Holding, maxBody int) error {
	stated := header(c, fiber.HeaderContentEncoding)
	if stated == "" {
		return nil
	}
	if err := holding.Acquire(maxBody, 0); err != nil {
		return err
	}
	defer c.Request().Header.Set(fiber.HeaderContentEncoding, stated)
	for encoding := range strings.SplitSeq(stated, ",") {
		c.Request().Header.Set(fiber.HeaderContentEncoding, strings.ToLower(strings.TrimSpace(encoding)))
		plain, err := c.Request().BodyUncompressedWithLimit(maxBody)
		if errors.Is(err, fasthttp.ErrContentEncodingUnsupported) {
			return nil
		}
		if err != nil {
			return err
		}
		c.Request().SetBodyRaw(append([]byte{}, plain...))
	}
	return nil
}

// bodyRefusal returns the refusal of a request whose body couldn't be read.
func bodyRefusal(err error) *core.Refusal {
	var short *budget.ShortError
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return invalidRequest(fiber.StatusRequestEntityTooLarge, "body_too_large", err.Error())
	case errors.As(err, &short):
		return &core.Refusal{
			Status: fiber.StatusServiceUnavailable, Certainty: core.NotRun, Code: "memory_short", Message: err.Error(), RetryAfter: memoryRetryAfter,
		}
	default:
		return invalidRequest(fiber.StatusBadRequest, "bad_request", "the body could not be read")
	}
}
