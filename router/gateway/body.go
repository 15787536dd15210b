package gateway

import (
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"camphorpulley.org/core"
	"camphorpulley.org/router/blocks"
	"camphorpulley.org/router/budget"
)

// defaultMaxBodyBytes bounds a request body if no catalog is loaded or the catalog
// sets no limit.
const defaultMaxBodyBytes = 4 << 20

// client returns whom the memory for a request is held for: the account of its key, or else the
// address of the caller.
func (h *Handler) client(r *http.Request, key string) string {
	if c := h.Fleet.Catalog(); c != nil && key != "" {
		if account, ok := c.Keys[key]; ok {
			return string(account.Name)
		}
	}
	if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		return host
	}
	return r.RemoteAddr
}

// readBody reads the body of a request, or returns the refusal if it is too large, unreadable, or
// was dropped because the memory is short. The holding must be released.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, client string) (blocks.Body, *budget.Holding, *core.Refusal) {
	if r.ContentLength == 0 {
		return nil, nil, nil
	}
	limit := int64(defaultMaxBodyBytes)
	if c := h.Fleet.Catalog(); c != nil && c.Limits.MaxBodyBytes > 0 {
		limit = int64(c.Limits.MaxBodyBytes)
	}
	holding := h.Memory.Begin(client, func() {
		// A deadline in the past ends the wait for the caller's next bytes.
		_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
	})
	reader := blocks.Reader{Source: http.MaxBytesReader(w, r.Body, limit), Length: r.ContentLength}
	if holding != nil {
		reader.Acquire = func(n, bytes int) error { return holding.Acquire(n, int64(bytes)) }
	}
	body, err := reader.ReadAll()
	// A holding that was dropped is released at once, and what it held may be used again.
	if pinErr := holding.Pin(); pinErr != nil {
		err = pinErr
	}
	if err == nil {
		return body, holding, nil
	}
	body.Recycle()
	holding.Release()
	return nil, nil, bodyRefusal(w, limit, err)
}

// bodyRefusal returns the refusal of a request whose body couldn't be read.
func bodyRefusal(w http.ResponseWriter, limit int64, err error) *core.Refusal {
	var large *http.MaxBytesError
	var short *budget.ShortError
	switch {
	case errors.As(err, &large):
		return &core.Refusal{
			Status: http.StatusRequestEntityTooLarge, Certainty: core.NotRun,
			Code: "body_too_large", Message: "the body is larger than the limit of " + strconv.FormatInt(limit, 10) + " bytes",
		}
	case errors.As(err, &short):
		// The rest of the body isn't read.
		w.Header().Set("Connection", "close")
		return &core.Refusal{
			Status: http.StatusServiceUnavailable, Certainty: core.NotRun, Code: "memory_short", Message: err.Error(),
		}
	default:
		return &core.Refusal{
			Status: http.StatusBadRequest, Certainty: core.NotRun, Code: "body_unreadable", Message: "the body could not be read",
		}
	}
}
