package frontend

import (
	"math"
	"strconv"

	"github.com/gofiber/fiber/v2"

	"camphorpulley.org/core"
)

// errorBody is the error format of the chat completions API.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
}

// headerOutcome names the header that states whether a refused request may have
// run.
const headerOutcome = "X-Outcome"

func newErrorBody(r *core.Refusal) errorBody {
	return errorBody{Error: errorDetail{Message: r.Message, Type: r.Certainty.String(), Code: r.Code}}
}

// refuse writes a refusal as the response.
func refuse(c *fiber.Ctx, r *core.Refusal) error {
	c.Set(headerOutcome, r.Certainty.String())
	if r.RetryAfter > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	return c.Status(r.Status).JSON(newErrorBody(r))
}

// invalidRequest returns the refusal of a request that was not sent to any
// upstream, because it is malformed, not authenticated or matches no pool.
func invalidRequest(status int, code, message string) *core.Refusal {
	return &core.Refusal{Status: status, Certainty: core.NotRun, Code: code, Message: message}
}
