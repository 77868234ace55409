package btconn

import (
	"context"
	"errors"
	"time"

	"github.com/valyala/fasthttp"
)

// Do sends a request and returns when the response has arrived, the timeout has passed or the
// context has ended. What ends a request without a response, such as a connection that has fallen
// silent, may have ended the client's idle connections too: it closes them, so that the next request
// opens a new one. The caller must not use resp after an error.
func Do(ctx context.Context, client *fasthttp.Client, req *fasthttp.Request, resp *fasthttp.Response, timeout time.Duration) error {
	done := make(chan error, 1)
	go func() { // fasthttp does not support cancellation
		err := client.DoTimeout(req, resp, timeout)
		if err != nil {
			client.CloseIdleConnections()
		}
		done <- err
	}()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			client.CloseIdleConnections()
		}
		return ctx.Err()
	}
}
