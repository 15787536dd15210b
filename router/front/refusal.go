// Package front serves callers: the chat completions API, plain services by
// path, and the health of the router.
package front

import (
	"strconv"

	"github.com/gofiber/fiber/v2"

	"camphorpulley.org/core"
)

// errorBody is the error form of the chat completions API.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
}

// headerOutcome says whether a refused request ran.
const headerOutcome = "X-Outcome"

func bodyOf(r *core.Refusal) errorBody {
	return errorBody{Error: errorDetail{Message: r.Message, Type: r.Certainty.String(), Code: r.Code}}
}

// refuse shows a refusal.
func refuse(c *fiber.Ctx, r *core.Refusal) error {
	c.Set(headerOutcome, r.Certainty.String())
	if r.RetryAfter > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(r.RetryAfter))
	}
	return c.Status(r.Status).JSON(bodyOf(r))
}

// rejected is the refusal of a request that is wrong in itself.
func rejected(status int, code, message string) *core.Refusal {
	return &core.Refusal{Status: status, Certainty: core.NotRun, Code: code, Message: message}
}
