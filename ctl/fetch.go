package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"camphorpulley.org/base/wrap"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

const (
	// callTimeout bounds a call to a router.
	callTimeout = 2 * time.Second
	// maxResponseBytes bounds the body of a router's response.
	maxResponseBytes = 8 << 20
)

// errPartial reports that some routers, but not all, failed to respond.
var errPartial = errors.New("some routers did not respond; see the errors above")

// fetch reads JSON from a path at a router's operator or metrics address.
func fetch[T any](address, path string) (T, error) {
	var result T
	client := fasthttp.Client{MaxResponseBodySize: maxResponseBytes}
	status, body, err := client.GetTimeout(nil, "http://"+address+path, callTimeout)
	if err != nil {
		return result, wrap.Err(err, address)
	}
	if status != fasthttp.StatusOK {
		return result, errors.Errorf("%s: got status %d, want 200", address, status)
	}
	return result, wrap.Err(json.Unmarshal(body, &result), address)
}

// fetchAll reads JSON from all routers. It prints the error of each router that
// fails, and returns an error if all of them do.
func fetchAll[T any](routers []string, path string) ([]T, error) {
	var all []T
	var failed error
	for _, address := range routers {
		one, err := fetch[T](address, path)
		if err != nil {
			failed = err
			fmt.Fprintln(os.Stderr, err)
			continue
		}
		all = append(all, one)
	}
	if len(all) == 0 {
		return nil, wrap.Err(failed, "no router responded")
	}
	return all, nil
}
